package httpjson

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/jsonc"
	"github.com/mulberrydrum/mulberrydrum/listen"
)

const (
	// decodeFactor is the memory in bytes that is charged for each byte of a body while it is decoded, which
	// covers copies of its strings.
	decodeFactor = 4
	// valueBytes is the memory that the decoder uses for each value: a node of the syntax tree, in a list
	// that grows, and its position.
	valueBytes = 300
	// MaxValues bounds the values of a body. A document of 1 MB with a value in every 20 bytes has as many;
	// real ones have hundreds.
	MaxValues = 50_000
	// retryAfterOverload is the retry hint for a call that found the memory for bodies exhausted.
	// Connections without progress are closed within about a second.
	retryAfterOverload = time.Second
)

// countValues returns an upper bound for the number of values in a JSON text.
func countValues(body []byte) int {
	n := 1
	for _, b := range body {
		if b == ',' || b == '[' || b == '{' {
			n++
		}
	}
	return n
}

// ReadBody reads the complete body of r. Its error states the cause and the limit.
func (s *Server) ReadBody(r *http.Request) ([]byte, error) {
	limit := fmt.Sprintf("%d bytes", s.limits.MaxRequestBytes)
	if r.ContentLength > s.limits.MaxRequestBytes {
		return nil, errkind.New(errkind.RequestTooLarge, "the body of %d bytes is too large", r.ContentLength).WithField("body", limit)
	}
	body, err := listen.ReadBody(nil, r, s.limits.MaxRequestBytes, decodeFactor)
	values := countValues(body)
	if err == nil && values <= MaxValues {
		err = listen.Charge(r.Context(), int64(values)*valueBytes)
	}
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil && values > MaxValues:
		return nil, errkind.New(errkind.InvalidRequest, "the body has too many values").WithField("body", fmt.Sprintf("%d values", MaxValues))
	case err == nil:
		return body, nil
	case errors.Is(err, listen.ErrOverloaded):
		return nil, errkind.New(errkind.Overloaded, "%v", err).WithRetryAfter(retryAfterOverload)
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.RequestTooLarge, "the body is too large").WithField("body", limit)
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, errkind.New(errkind.RequestTimeout, "the body was not received within the read timeout").WithField("body", s.limits.ReadTimeout.String())
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errkind.New(errkind.InvalidRequest, "the body ends after %d bytes", len(body)).
			WithField("body", fmt.Sprintf("%d bytes, as Content-Length states", r.ContentLength))
	}
	return nil, errkind.New(errkind.InvalidRequest, "the body cannot be read").WithField("body", limit)
}

// ReadJSON reads the body of r, JSON without comments, and decodes it into the
// struct that dst points to.
func (s *Server) ReadJSON(r *http.Request, dst any) error {
	body, err := s.ReadBody(r)
	if err != nil {
		return err
	}
	return Decode(body, dst)
}

// Decode decodes body, JSON without comments, into the struct that dst points to.
// The error names the first invalid field.
func Decode(body []byte, dst any) error {
	_, faults := jsonc.Decode(body, dst, jsonc.WithoutComments)
	if len(faults) == 0 {
		return nil
	}
	first := faults[0]
	field := first.Path
	if field == "" {
		field = "body"
	}
	return errkind.New(errkind.InvalidRequest, "line %d, column %d: %s", first.Line, first.Column, first.Message).
		WithField(field, first.Allowed)
}

const bearerPrefix = "Bearer "

// BearerSecret returns the API key secret in the Authorization header of r, or "" if
// r has no such header.
func BearerSecret(r *http.Request) (string, error) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return "", nil
	}
	secret, ok := strings.CutPrefix(value, bearerPrefix)
	if !ok || secret == "" {
		return "", errkind.New(errkind.KeyMissing, "the Authorization header has no bearer token").WithField("Authorization", "Bearer <secret>")
	}
	return secret, nil
}

// ParseWait returns the duration in the query parameter wait of r, or 0 if it is
// absent. It rejects a duration above maxWait.
func ParseWait(r *http.Request, maxWait time.Duration) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, errkind.New(errkind.InvalidRequest, "invalid wait %.40q", text).WithField("wait", "0s to "+maxWait.String())
	}
	return wait, nil
}
