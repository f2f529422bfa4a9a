package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

// jobCall holds the parameters that all calls on an existing job share.
type jobCall struct {
	ctx    context.Context
	secret string
	id     JobID
	wait   time.Duration
}

func (s *Server) parseJobCall(r *http.Request) (jobCall, context.CancelFunc, error) {
	secret, err := httpjson.BearerSecret(r)
	if err != nil {
		return jobCall{}, nil, err
	}
	id, err := parseJobPath(r)
	if err != nil {
		return jobCall{}, nil, err
	}
	wait, err := httpjson.ParseWait(r, s.cfg.MaxWait)
	if err != nil {
		return jobCall{}, nil, err
	}
	deadline, err := s.callDeadline(r, time.Time{})
	if err != nil {
		return jobCall{}, nil, err
	}
	ctx, cancel, wait := s.withCallDeadline(r.Context(), deadline, wait)
	return jobCall{ctx: ctx, secret: secret, id: id, wait: wait}, cancel, nil
}
