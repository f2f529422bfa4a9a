package caller

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

// Config holds the limits of the calls. Every field must be set.
type Config struct {
	Limits         httpjson.Limits
	MaxResultBytes int64         // result of one task
	MaxWait        time.Duration // longest wait that a caller may request
	CallTimeout    time.Duration // of a call, in addition to its wait
}

// Server serves the HTTP interface for callers. Serve, BeginDrain and Shutdown are
// promoted from the embedded httpjson.Server.
type Server struct {
	*httpjson.Server
	cfg     Config
	backend Backend
	now     func() time.Time
}

const jobsPath = "/v1/teams/{team}/services/{service}/requests"

// NewServer returns a server that passes valid calls to backend.
func NewServer(cfg Config, backend Backend) *Server {
	s := &Server{Server: httpjson.NewServer(cfg.Limits), cfg: cfg, backend: backend, now: time.Now}
	s.Handle(jobsPath, httpjson.Methods{"POST": s.submit})
	s.Handle(jobsPath+"/{key}", httpjson.Methods{"GET": s.status})
	s.Handle(jobsPath+"/{key}/wait", httpjson.Methods{"GET": s.wait})
	s.Handle(jobsPath+"/{key}/cancel", httpjson.Methods{"POST": s.cancel})
	s.Handle(jobsPath+"/{key}/result", httpjson.Methods{"GET": s.result})
	return s
}
