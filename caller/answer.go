package caller

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

// answer is a complete answer, ready to be written.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func jsonAnswer(v any) (answer, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return answer{}, err
	}
	return answer{
		status: http.StatusOK,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   append(body, '\n'),
	}, nil
}

// errorAnswer answers err by the table of errkind.
func errorAnswer(err error) answer {
	e := typedError(err)
	a, encodeErr := jsonAnswer(api.ErrorReply{Error: api.ErrorFrom(e)})
	if encodeErr != nil {
		return answer{status: http.StatusInternalServerError}
	}
	a.status = errkind.AnswerFor(e.Kind).Status
	a.header.Set(api.HeaderError, string(e.Kind))
	if e.RetryAfter > 0 {
		a.header.Set("Retry-After", strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	return a
}

// typedError gives an error without a kind the kind that claims least. A
// deadline that passed inside the backend leaves the outcome open, since the
// work may have been sent on by then.
func typedError(err error) *errkind.Error {
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return typed
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errkind.New(errkind.OutcomeUnknown, "no answer before the deadline of the call")
	}
	return errkind.New(errkind.Internal, "internal error")
}

// wholeSeconds rounds up, since Retry-After has no smaller unit and an earlier
// retry is useless.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// write sends a with its length and digest, so that the caller can tell a
// complete answer from a part of one.
func (s *Server) write(w http.ResponseWriter, a answer) {
	// Fails only for connections without deadlines, such as those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(s.now().Add(s.cfg.WriteTimeout))
	for name, values := range a.header {
		w.Header()[name] = values
	}
	sum := sha256.Sum256(a.body)
	w.Header().Set(api.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	// A caller that has gone needs no answer; it asks again with its key.
	_, _ = w.Write(a.body)
}
