package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// Config bounds the calls. Every field must be set.
type Config struct {
	MaxRequestBytes   int64         // body of one submission
	MaxHeaderBytes    int           // request line and headers
	MaxResultBytes    int64         // result of one task
	MaxWait           time.Duration // longest wait that a caller may ask for
	CallTimeout       time.Duration // for a call without a wait, and on top of a wait
	ReadHeaderTimeout time.Duration // cuts connections that send headers slowly
	ReadTimeout       time.Duration // cuts connections that send the body slowly
	WriteTimeout      time.Duration // cuts connections that read the answer slowly
	IdleTimeout       time.Duration // of a kept connection between two calls
}

// Server answers callers.
type Server struct {
	cfg      Config
	backend  Backend
	now      func() time.Time
	draining atomic.Bool
	http     *http.Server
}

// NewServer returns a server that asks backend.
func NewServer(cfg Config, backend Backend) *Server {
	s := &Server{cfg: cfg, backend: backend, now: time.Now}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		ReadTimeout:       cfg.ReadTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
	return s
}

// Serve answers connections of ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// BeginDrain makes every further answer ask its caller to close the connection.
// Idle connections stay open: closing them would lose a request that is on its
// way.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Shutdown waits for the calls that are being answered and closes the rest.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Abort cuts every connection.
func (s *Server) Abort() { _ = s.http.Close() }

const jobPath = "/v1/teams/{team}/services/{service}/requests"

// Handler returns the handler of every call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+jobPath, s.call(s.submit))
	mux.HandleFunc("GET "+jobPath+"/{key}", s.call(s.status))
	mux.HandleFunc("GET "+jobPath+"/{key}/wait", s.call(s.wait))
	mux.HandleFunc("POST "+jobPath+"/{key}/cancel", s.call(s.cancel))
	mux.HandleFunc("GET "+jobPath+"/{key}/result", s.call(s.result))
	mux.HandleFunc(jobPath, s.call(refuseMethod("POST")))
	mux.HandleFunc(jobPath+"/{key}", s.call(refuseMethod("GET")))
	mux.HandleFunc(jobPath+"/{key}/wait", s.call(refuseMethod("GET")))
	mux.HandleFunc(jobPath+"/{key}/cancel", s.call(refuseMethod("POST")))
	mux.HandleFunc(jobPath+"/{key}/result", s.call(refuseMethod("GET")))
	mux.HandleFunc("/", s.call(refusePath))
	return mux
}

// handler answers one call with a body, or with an error.
type handler func(r *http.Request) (answer, error)

// call turns h into a handler that writes a complete answer.
func (s *Server) call(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := h(r)
		if err != nil {
			a = errorAnswer(err)
		}
		s.write(w, a)
	}
}

func refuseMethod(allowed string) handler {
	return func(r *http.Request) (answer, error) {
		return answer{}, errkind.New(errkind.NotAllowed, "method %s is not allowed here", r.Method).WithField("method", allowed)
	}
}

func refusePath(r *http.Request) (answer, error) {
	return answer{}, errkind.New(errkind.UnknownPath, "no call has this path").WithField("path", jobPath+"[/{key}[/wait|/cancel|/result]]")
}
