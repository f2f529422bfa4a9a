package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of a stand-in's connections.
const (
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = time.Minute // longer than the clients', which close first
	maxHeaderBytes    = 64 << 10
)

// Listen opens a TCP port.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// NewServer returns a server for a stand-in with explicit bounds.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
