package main

import (
	"context"
	"errors"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/standin"
)

type relayCommand struct {
	Listen  string `help:"Address to accept connections on." required:"" placeholder:"HOST:PORT"`
	Target  string `help:"Address of the server." required:"" placeholder:"HOST:PORT"`
	Control string `help:"Address of the HTTP server that controls the faults." required:"" placeholder:"HOST:PORT"`
}

// Run relays connections until the process receives SIGINT or SIGTERM.
func (c relayCommand) Run() error {
	listener, err := standin.Listen(c.Listen)
	if err != nil {
		return err
	}
	control, err := standin.Listen(c.Control)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	relay := standin.NewRelay(listener, c.Target)
	server := standin.NewServer(relay.ControlHandler())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(relay.Serve)
	group.Go(func() error {
		if err := server.Serve(control); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		relay.Close()
		return server.Close()
	})
	log.Info("relay is listening", "address", listener.Addr(), "target", c.Target, "control", control.Addr())
	return group.Wait()
}
