package operator

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/httpjson"
)

// Config holds the limits and the keys of a Server. Limits and the durations must
// be set.
type Config struct {
	Limits      httpjson.Limits
	MaxWait     time.Duration // longest wait that an operator may request
	CallTimeout time.Duration // of a call, in addition to its wait
	Regions     []string      // of the deployment; a document that names any other region is invalid
	Keys        []Key         // empty disables authentication, for servers on loopback addresses
	Metrics     metrics.Registry
	Pprof       bool // profiles expose memory of the process, so they are off by default
}

// Server serves the HTTP interface for operators. Serve, BeginDrain and Shutdown are
// promoted from the embedded httpjson.Server.
type Server struct {
	*httpjson.Server
	cfg     Config
	backend Backend
	now     func() time.Time
}

const (
	teamPath    = "/v1/documents/{team}"
	servicePath = teamPath + "/services/{service}"
)

// NewServer returns a server that passes valid calls to backend.
func NewServer(cfg Config, backend Backend) *Server {
	s := &Server{Server: httpjson.NewServer(cfg.Limits), cfg: cfg, backend: backend, now: time.Now}
	s.Handle("/v1/documents", httpjson.Methods{"GET": s.authenticated(s.listDocuments)})
	for _, path := range []string{teamPath, servicePath} {
		s.Handle(path, httpjson.Methods{"GET": s.authenticated(s.getDocument), "PUT": s.authenticated(s.applyDocument)})
		s.Handle(path+"/diff", httpjson.Methods{"POST": s.authenticated(s.diffDocument)})
	}
	s.Handle("/v1/keys", httpjson.Methods{"GET": s.authenticated(s.listKeys), "POST": s.authenticated(s.grantKey)})
	s.Handle("/v1/keys/{team}/{id}", httpjson.Methods{"DELETE": s.authenticated(s.withdrawKey)})
	s.Handle("/v1/drain", httpjson.Methods{"POST": s.authenticated(s.drain)})
	s.Handle("/v1/ownership/force", httpjson.Methods{"POST": s.authenticated(s.forceOwnership)})
	s.Handle("/v1/workers", httpjson.Methods{"GET": s.authenticated(s.workers)})
	s.Handle("/v1/shares", httpjson.Methods{"GET": s.authenticated(s.shares)})
	s.Handle("/v1/members", httpjson.Methods{"GET": s.authenticated(s.members)})
	s.Handle("/v1/timeline", httpjson.Methods{"GET": s.authenticated(s.timeline)})
	s.Handle("/v1/metrics", httpjson.Methods{"GET": s.authenticated(s.metrics)})
	s.Handle("/healthz", httpjson.Methods{"GET": s.probe(backend.Healthy)})
	s.Handle("/readyz", httpjson.Methods{"GET": s.probe(backend.Ready)})
	if cfg.Pprof {
		s.handlePprof()
	}
	return s
}

// call is one authenticated call of an operator.
type call struct {
	ctx      context.Context
	operator string // name of the operator
	wait     time.Duration
	*http.Request
}

// authenticated returns a handler that authenticates the operator, sets the deadline
// of the call and runs h.
func (s *Server) authenticated(h func(call) (httpjson.Response, error)) httpjson.Handler {
	return func(r *http.Request) (httpjson.Response, error) {
		operator, err := s.authenticate(r)
		if err != nil {
			return httpjson.Response{}, err
		}
		wait, err := httpjson.ParseWait(r, s.cfg.MaxWait)
		if err != nil {
			return httpjson.Response{}, err
		}
		ctx, cancel := context.WithTimeout(r.Context(), wait+s.cfg.CallTimeout)
		defer cancel()
		return h(call{ctx: ctx, operator: operator, wait: wait, Request: r})
	}
}

// probe returns the handler of a health check. It requires no key, because the
// platform's load balancer has none.
func (s *Server) probe(check func(context.Context) error) httpjson.Handler {
	return func(r *http.Request) (httpjson.Response, error) {
		ctx, cancel := context.WithTimeout(r.Context(), s.cfg.CallTimeout)
		defer cancel()
		if err := check(ctx); err != nil {
			return httpjson.Response{}, err
		}
		return httpjson.JSON(map[string]string{"state": "ok"})
	}
}

// handlePprof registers the pprof handlers explicitly: importing net/http/pprof
// registers them only with http.DefaultServeMux, which this server does not use.
func (s *Server) handlePprof() {
	handlers := map[string]http.HandlerFunc{
		"/debug/pprof/":        pprof.Index,
		"/debug/pprof/cmdline": pprof.Cmdline,
		"/debug/pprof/profile": pprof.Profile,
		"/debug/pprof/symbol":  pprof.Symbol,
		"/debug/pprof/trace":   pprof.Trace,
	}
	for path, handler := range handlers {
		s.HandleRaw(path, func(w http.ResponseWriter, r *http.Request) {
			if _, err := s.authenticate(r); err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
				return
			}
			handler(w, r)
		})
	}
}
