package httpjson

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/listen"
)

// Limits apply to every request. Every field must be set. A connection that exceeds
// a timeout is closed.
type Limits struct {
	MaxRequestBytes   int64         // body of one request
	MaxHeaderBytes    int           // request line and headers
	ReadHeaderTimeout time.Duration // for receiving the headers
	ReadTimeout       time.Duration // for receiving the headers and the body
	WriteTimeout      time.Duration // for sending the response
	IdleTimeout       time.Duration // of a connection between two calls
}

// Handler handles one call and returns a response or an error.
type Handler func(r *http.Request) (Response, error)

// Methods maps the HTTP methods of one path to their handlers.
type Methods map[string]Handler

// Server serves the paths that Handle and HandleRaw register.
type Server struct {
	limits   Limits
	mux      *http.ServeMux
	http     *http.Server
	paths    []string
	draining atomic.Bool

	mu          sync.Mutex
	conns       int           // open connections
	connsClosed chan struct{} // closed when conns reaches 0; nil unless a call waits for it
}

// NewServer returns a server without paths; it rejects every request with an error
// of kind unknown_path.
func NewServer(limits Limits) *Server {
	s := &Server{limits: limits, mux: http.NewServeMux()}
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         s.trackConnState,
	}
	listen.ConfigureStates(s.http)
	s.mux.HandleFunc("/", s.handlerFunc(s.rejectUnknownPath))
	return s
}

// Handle registers a path. Requests with other methods get an error response that
// lists the allowed methods. http.ServeMux would reject them with a plain-text
// response instead of the error format of this package.
func (s *Server) Handle(path string, methods Methods) {
	var allowed []string
	for method, h := range methods {
		allowed = append(allowed, method)
		s.mux.HandleFunc(method+" "+path, s.handlerFunc(h))
	}
	slices.Sort(allowed)
	s.paths = append(s.paths, path)
	s.mux.HandleFunc(path, s.handlerFunc(func(r *http.Request) (Response, error) {
		return Response{}, errkind.New(errkind.NotAllowed, "method %s is not allowed for this path", r.Method).
			WithField("method", strings.Join(allowed, ", "))
	}))
}

// Paths lists the paths that Handle registered.
func (s *Server) Paths() []string { return slices.Clone(s.paths) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// HandleRaw registers a path whose handler writes its own responses, without a time limit.
func (s *Server) HandleRaw(path string, h http.HandlerFunc) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		// Fails only for response writers without support for deadlines, such as those of tests.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		h(w, r)
	})
}

func (s *Server) rejectUnknownPath(*http.Request) (Response, error) {
	return Response{}, errkind.New(errkind.UnknownPath, "unknown path").WithField("path", strings.Join(s.paths, ", "))
}

// handlerFunc adapts h to an http.HandlerFunc that writes a complete response.
func (s *Server) handlerFunc(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response, err := h(r)
		if err != nil {
			response = ErrorResponse(err)
		}
		listen.Finish(w, r)
		s.write(w, response)
	}
}

// Serve serves the connections of ln until Shutdown. It returns nil after Shutdown or
// if ln was closed.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// trackConnState is called when a connection changes its state. It maintains the
// number of open connections.
func (s *Server) trackConnState(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
	if s.conns == 0 && s.connsClosed != nil {
		close(s.connsClosed)
		s.connsClosed = nil
	}
}

// WaitConnectionsClosed waits until the clients have closed every connection or ctx
// is done. The listener must be closed and BeginDrain called before. Closing an idle
// connection from this side could drop a request that is in transit.
func (s *Server) WaitConnectionsClosed(ctx context.Context) {
	s.mu.Lock()
	if s.conns == 0 {
		s.mu.Unlock()
		return
	}
	if s.connsClosed == nil {
		s.connsClosed = make(chan struct{})
	}
	connsClosed := s.connsClosed
	s.mu.Unlock()
	select {
	case <-connsClosed:
	case <-ctx.Done():
	}
}

// BeginDrain sets "Connection: close" on all further responses, which makes the
// clients close their connections. Idle connections stay open: closing them could drop a
// request that is in transit.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Shutdown closes the idle connections and waits for the calls in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Abort closes every connection at once.
func (s *Server) Abort() { _ = s.http.Close() }
