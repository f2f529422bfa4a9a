package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the HTTP server of a stand-in.
const (
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = time.Minute // longer than the idle timeout of the clients, so that clients close idle connections first
	maxHeaderBytes    = 64 << 10
)

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, eris.Wrapf(err, "listen on %s", address)
}

// NewServer returns an HTTP server for a stand-in, with limits on headers and idle connections.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
