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
)

// Limits bound every request. Every field must be set.
type Limits struct {
	MaxRequestBytes   int64         // body of one request
	MaxHeaderBytes    int           // request line and headers
	ReadHeaderTimeout time.Duration // cuts connections that send headers slowly
	ReadTimeout       time.Duration // cuts connections that send the body slowly
	WriteTimeout      time.Duration // cuts connections that read the answer slowly
	IdleTimeout       time.Duration // of a kept connection between two calls
}

// Handler answers one call with an answer or an error.
type Handler func(r *http.Request) (Answer, error)

// Methods are the handlers of one path by method.
type Methods map[string]Handler

// Server answers the calls that are added to it.
type Server struct {
	limits   Limits
	mux      *http.ServeMux
	http     *http.Server
	paths    []string
	draining atomic.Bool

	mu    sync.Mutex
	conns int           // open connections
	none  chan struct{} // closed when there is none; nil while nobody waits
}

// NewServer returns a server that refuses every path.
func NewServer(limits Limits) *Server {
	s := &Server{limits: limits, mux: http.NewServeMux()}
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         s.count,
	}
	s.mux.HandleFunc("/", s.answer(s.refusePath))
	return s
}

// Handle adds a path. Other methods than those given are refused with a list of
// what is allowed, which the multiplexer alone would not do in our form.
func (s *Server) Handle(path string, methods Methods) {
	var allowed []string
	for method, h := range methods {
		allowed = append(allowed, method)
		s.mux.HandleFunc(method+" "+path, s.answer(h))
	}
	slices.Sort(allowed)
	s.paths = append(s.paths, path)
	s.mux.HandleFunc(path, s.answer(func(r *http.Request) (Answer, error) {
		return Answer{}, errkind.New(errkind.NotAllowed, "method %s is not allowed here", r.Method).
			WithField("method", strings.Join(allowed, ", "))
	}))
}

// Paths lists the paths that Handle added.
func (s *Server) Paths() []string { return slices.Clone(s.paths) }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// HandleRaw adds a path whose handler writes its own answers.
func (s *Server) HandleRaw(path string, h http.HandlerFunc) { s.mux.HandleFunc(path, h) }

func (s *Server) refusePath(*http.Request) (Answer, error) {
	return Answer{}, errkind.New(errkind.UnknownPath, "no call has this path").WithField("path", strings.Join(s.paths, ", "))
}

// answer turns h into a handler that writes a complete answer.
func (s *Server) answer(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, err := h(r)
		if err != nil {
			a = Error(err)
		}
		s.write(w, a)
	}
}

// Serve answers connections of ln until Shutdown, or accepts no more of them
// after ln was closed.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// count keeps the number of open connections.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
	if s.conns == 0 && s.none != nil {
		close(s.none)
		s.none = nil
	}
}

// AwaitNoConnection returns when every connection has been closed by its peer,
// or ctx ends. Its caller has closed the listener and called BeginDrain. Closing
// an idle connection from this side could cut off a request that is on its way.
func (s *Server) AwaitNoConnection(ctx context.Context) {
	s.mu.Lock()
	if s.conns == 0 {
		s.mu.Unlock()
		return
	}
	if s.none == nil {
		s.none = make(chan struct{})
	}
	none := s.none
	s.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// BeginDrain makes every further answer ask its peer to close the connection.
// Idle connections stay open: closing them would lose a request that is on its
// way.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Shutdown waits for the calls that are being answered and closes the rest.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Abort cuts every connection.
func (s *Server) Abort() { _ = s.http.Close() }
