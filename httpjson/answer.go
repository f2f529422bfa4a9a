package httpjson

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// Answer is a complete answer, ready to be written.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// JSON answers with v.
func JSON(v any) (Answer, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   append(body, '\n'),
	}, nil
}

// Detailed is an error that adds details to its answer, such as the faults of a
// document.
type Detailed interface {
	error
	AddDetail(*api.Error)
}

// Error returns the answer to a call that failed with err, as the table of errkind
// defines it.
func Error(err error) Answer {
	e := withKind(err)
	detail := api.ErrorFrom(e)
	var detailed Detailed
	if errors.As(err, &detailed) {
		detailed.AddDetail(&detail)
	}
	a, encodeErr := JSON(api.ErrorReply{Error: detail})
	if encodeErr != nil {
		return Answer{Status: http.StatusInternalServerError}
	}
	a.Status = errkind.AnswerFor(e.Kind).Status
	a.Header.Set(api.HeaderError, string(e.Kind))
	if e.RetryAfter > 0 {
		a.Header.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	return a
}

// withKind returns the *errkind.Error that err wraps. An error without a kind gets the
// kind that claims least. A deadline that passed inside a backend leaves the
// outcome unknown, since the work may have been forwarded before. The text of other
// errors may hold confidential data, so it is omitted.
func withKind(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errkind.New(errkind.OutcomeUnknown, "no answer before the deadline of the call")
	}
	return errkind.New(errkind.Internal, "internal error")
}

// ceilSeconds rounds up, since Retry-After has no smaller unit and an earlier
// retry is useless.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// write sends a with its length and digest, so that the peer can tell a complete
// answer from a part of one.
func (s *Server) write(w http.ResponseWriter, a Answer) {
	// Fails only for response writers without deadlines, such as those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	sum := sha256.Sum256(a.Body)
	w.Header().Set(api.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(a.Status)
	// A failed write means that the peer has disconnected; it repeats the call.
	_, _ = w.Write(a.Body)
}
