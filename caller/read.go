package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// parseJobPath returns the job ID in the path of r.
func parseJobPath(r *http.Request) (JobID, error) {
	id := JobID{
		Team:    task.Team(r.PathValue("team")),
		Service: task.Service(r.PathValue("service")),
		Key:     r.PathValue("key"),
	}
	if err := checkNames(id.Team, id.Service); err != nil {
		return id, err
	}
	return id, checkKey("key", id.Key)
}

// checkNames rejects names that are invalid in a document. A name with a slash, for
// example, could give two jobs the same ID.
func checkNames(team task.Team, service task.Service) error {
	if !document.IsValidName(string(team)) {
		return errkind.New(errkind.UnknownTeam, "there is no team %.80q", team).WithField("team", document.NameRule)
	}
	if !document.IsValidName(string(service)) {
		return errkind.New(errkind.UnknownService, "there is no service %.80q", service).WithField("service", document.NameRule)
	}
	return nil
}

// maxKeyBytes limits an idempotency key, which is stored with each record.
const maxKeyBytes = 128

// checkKey rejects a key that is not safe in a path, a log or a job ID.
func checkKey(field, key string) error {
	limit := fmt.Sprintf("1 to %d characters of A-Z a-z 0-9 . _ -", maxKeyBytes)
	if len(key) > maxKeyBytes || strings.Trim(key, ".") == "" {
		return errkind.New(errkind.InvalidRequest, "the idempotency key is empty, consists only of dots or is too long").WithField(field, limit)
	}
	for _, char := range key {
		if !isKeyCharacter(char) {
			return errkind.New(errkind.InvalidRequest, "the idempotency key contains the character %q", char).WithField(field, limit)
		}
	}
	return nil
}

func isKeyCharacter(char rune) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.ContainsRune("._-", char)
}

func parseIndex(r *http.Request) (int, error) {
	text := r.URL.Query().Get("index")
	if text == "" {
		return 0, nil
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return 0, errkind.New(errkind.InvalidRequest, "invalid index %.40q", text).
			WithField("index", "0 to the number of tasks minus 1")
	}
	return index, nil
}

// callDeadline returns the earlier of the deadline from the timeout header and the
// deadline in the body, or the zero time if neither is set. The header holds a
// duration because of the clock skew between callers and this instance.
func (s *Server) callDeadline(r *http.Request, bodyDeadline time.Time) (time.Time, error) {
	now, deadline := s.now(), bodyDeadline
	if text := r.Header.Get(api.HeaderTimeout); text != "" {
		remaining, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, errkind.New(errkind.InvalidRequest, "the timeout %.40q cannot be parsed", text).
				WithField(api.HeaderTimeout, `a duration such as "1500ms"`)
		}
		if headerDeadline := now.Add(remaining); deadline.IsZero() || headerDeadline.Before(deadline) {
			deadline = headerDeadline
		}
	}
	if !deadline.IsZero() && !deadline.After(now) {
		return time.Time{}, errkind.New(errkind.DeadlineExceeded, "the deadline had passed when the request arrived").
			WithField("deadline", "a time in the future")
	}
	return deadline, nil
}

// The part of the remaining time of a call that is reserved for sending the
// response.
const (
	responseReserveDivisor = 10
	maxResponseReserve     = 200 * time.Millisecond
)

// withCallDeadline returns the context for the backend and the wait that fits in it.
// The context ends at the deadline of the call, and never later than one call timeout
// after the wait. A wait that would exceed the deadline is shortened, so that the
// caller receives the state of its job instead of no response.
func (s *Server) withCallDeadline(ctx context.Context, deadline time.Time, wait time.Duration) (context.Context, context.CancelFunc, time.Duration) {
	now := s.now()
	latest := now.Add(wait + s.cfg.CallTimeout)
	if deadline.IsZero() || latest.Before(deadline) {
		bounded, cancel := context.WithDeadline(ctx, latest)
		return bounded, cancel, wait
	}
	remaining := deadline.Sub(now)
	bounded, cancel := context.WithDeadline(ctx, deadline)
	return bounded, cancel, max(0, min(wait, remaining-min(remaining/responseReserveDivisor, maxResponseReserve)))
}
