package main

import (
	"context"
	"errors"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/mulberrydrum/mulberrydrum/standin"
)

// serve serves handler on address until the process receives SIGINT or SIGTERM. It then
// closes open connections immediately, because a stand-in does not need a graceful
// shutdown.
func serve(name, address string, handler http.Handler) error {
	listener, err := standin.Listen(address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := standin.NewServer(handler)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	log.Info("stand-in is listening", "kind", name, "address", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info("stand-in stopped", "kind", name)
	return nil
}
