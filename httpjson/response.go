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

// Response is a complete HTTP response, ready to be written.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// JSON returns a response with status 200 and v as its JSON body.
func JSON(v any) (Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return Response{}, err
	}
	return Response{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   append(body, '\n'),
	}, nil
}

// DetailedError is an error that adds details to its error response, such as the
// faults of a document.
type DetailedError interface {
	error
	AddDetail(*api.Error)
}

// ErrorResponse returns the error response to a call that failed with err, as
// defined by the table in package errkind.
func ErrorResponse(err error) Response {
	e := toKindError(err)
	detail := api.ErrorFrom(e)
	var detailed DetailedError
	if errors.As(err, &detailed) {
		detailed.AddDetail(&detail)
	}
	response, encodeErr := JSON(api.ErrorReply{Error: detail})
	if encodeErr != nil {
		return Response{Status: http.StatusInternalServerError}
	}
	response.Status = errkind.ResponseFor(e.Kind).Status
	response.Header.Set(api.HeaderError, string(e.Kind))
	if e.RetryAfter > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	return response
}

// toKindError returns the *errkind.Error that err wraps. Any other error gets a kind
// whose fate is unknown. If the deadline passed inside a backend, the outcome is
// unknown, since the work may already have been forwarded. The text of other errors
// may contain confidential data, so it is omitted.
func toKindError(err error) *errkind.Error {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errkind.New(errkind.OutcomeUnknown, "no response before the deadline of the call")
	}
	return errkind.New(errkind.Internal, "internal error")
}

// ceilSeconds rounds up to seconds, the unit of Retry-After, since a retry before the
// hinted delay has passed is useless.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// write sends the response with its length and digest, so that the client can detect
// a truncated response.
func (s *Server) write(w http.ResponseWriter, response Response) {
	// Fails only for response writers without support for deadlines, such as those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	sum := sha256.Sum256(response.Body)
	w.Header().Set(api.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(response.Status)
	// A failed write means that the client has disconnected; the client retries the call.
	_, _ = w.Write(response.Body)
}
