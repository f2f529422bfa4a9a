package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// readBody reads the whole body of r or says why it cannot.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	limit := fmt.Sprintf("%d bytes", s.cfg.MaxRequestBytes)
	if r.ContentLength > s.cfg.MaxRequestBytes {
		return nil, errkind.New(errkind.RequestTooLarge, "the body has %d bytes", r.ContentLength).WithField("body", limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, s.cfg.MaxRequestBytes))
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.RequestTooLarge, "the body is too large").WithField("body", limit)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return nil, errkind.New(errkind.RequestTimeout, "the body was sent too slowly").WithField("body", s.cfg.ReadTimeout.String())
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errkind.New(errkind.InvalidRequest, "the body ends after %d bytes", len(body)).
			WithField("body", fmt.Sprintf("%d bytes, as Content-Length states", r.ContentLength))
	}
	return nil, errkind.New(errkind.InvalidRequest, "the body cannot be read").WithField("body", limit)
}

const bearer = "Bearer "

// secretOf returns the secret of the key that came with r, or "" without one.
func secretOf(r *http.Request) (string, error) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return "", nil
	}
	secret, ok := strings.CutPrefix(value, bearer)
	if !ok || secret == "" {
		return "", errkind.New(errkind.KeyMissing, "the header has no bearer key").WithField("Authorization", "Bearer <secret>")
	}
	return secret, nil
}

// jobOf returns the job that the path of r names.
func jobOf(r *http.Request) (JobID, error) {
	id := JobID{
		Team:    task.Team(r.PathValue("team")),
		Service: task.Service(r.PathValue("service")),
		Key:     r.PathValue("key"),
	}
	return id, checkKey("key", id.Key)
}

// maxKeyBytes bounds an idempotency key, which is kept with each record.
const maxKeyBytes = 128

// checkKey refuses a key that could not stand in a path, a log or a job ID.
func checkKey(field, key string) error {
	limit := fmt.Sprintf("1 to %d characters of A-Z a-z 0-9 . _ -", maxKeyBytes)
	if len(key) > maxKeyBytes || strings.Trim(key, ".") == "" {
		return errkind.New(errkind.InvalidRequest, "the idempotency key is empty, made of dots or too long").WithField(field, limit)
	}
	for _, c := range key {
		if !isKeyCharacter(c) {
			return errkind.New(errkind.InvalidRequest, "the idempotency key has the character %q", c).WithField(field, limit)
		}
	}
	return nil
}

func isKeyCharacter(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c)
}

// waitOf returns the wait that the query of r asks for, 0 for none.
func (s *Server) waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > s.cfg.MaxWait {
		return 0, errkind.New(errkind.InvalidRequest, "the wait %.40q is not allowed", text).
			WithField("wait", "0s to "+s.cfg.MaxWait.String())
	}
	return wait, nil
}

func indexOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("index")
	if text == "" {
		return 0, nil
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "the index %.40q is not allowed", text).
			WithField("index", "0 to the number of tasks less one")
	}
	return index, nil
}

// deadlineOf returns the earlier of the deadline in the header and the one in
// the body, or zero without either. The header has a duration because the
// clocks of callers differ from ours.
func (s *Server) deadlineOf(r *http.Request, inBody time.Time) (time.Time, error) {
	now, deadline := s.now(), inBody
	if text := r.Header.Get(api.HeaderTimeout); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, errkind.New(errkind.InvalidRequest, "the timeout %.40q cannot be read", text).
				WithField(api.HeaderTimeout, `a duration such as "1500ms"`)
		}
		if inHeader := now.Add(left); deadline.IsZero() || inHeader.Before(deadline) {
			deadline = inHeader
		}
	}
	if !deadline.IsZero() && !deadline.After(now) {
		return time.Time{}, errkind.New(errkind.DeadlineExceeded, "the deadline had passed when the request came").
			WithField("deadline", "a time in the future")
	}
	return deadline, nil
}

// bounded returns the context in which the backend answers: until the deadline
// of the caller, and never longer than its wait and one call timeout.
func (s *Server) bounded(ctx context.Context, deadline time.Time, wait time.Duration) (context.Context, context.CancelFunc) {
	end := s.now().Add(wait + s.cfg.CallTimeout)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}
