package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberrydrum/mulberrydrum/standin"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// WorkerCommand runs stand-in workers, each on its own listener, and prints one line of
// JSON for each of them.
type WorkerCommand struct {
	Count          int           `help:"Number of workers." default:"1"`
	Listen         string        `help:"Address of the first worker. If its port is not 0, the other workers use the ports that follow." default:"127.0.0.1:0"`
	Prefix         string        `help:"Prefix of the worker names, followed by a number from 1." default:"worker-"`
	Region         string        `help:"Region of the workers." default:"region-1"`
	FailureDomain  string        `help:"Failure domain of the workers." default:"domain-1"`
	RackSize       int           `help:"Number of workers in a rack." default:"8"`
	RackPrefix     string        `help:"Prefix of the rack names, followed by a number from 1." default:"rack-"`
	CPU            int64         `help:"Cores of each worker." default:"32"`
	MemoryMB       int64         `help:"Memory of each worker in MB." name:"memory-mb" default:"131072"`
	Accelerators   int64         `help:"Accelerators of each worker." default:"0"`
	Slots          int64         `help:"Slots of each worker." default:"8"`
	Connections    int64         `help:"Connections of each worker." default:"64"`
	UsageLag       time.Duration `help:"Age of the usage data in reports." default:"5s"`
	IgnoreEpoch    bool          `help:"Do not reject lower epochs."`
	IgnoreValidity bool          `help:"Do not check boot, start_by and leases."`
}

// workerInfo describes one worker. It is printed as a line of JSON.
type workerInfo struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
}

// Run serves the workers until the process receives SIGINT or SIGTERM.
func (c *WorkerCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return c.serve(ctx, os.Stdout)
}

// serve starts the workers, writes the workerInfo of each to out, and waits until ctx is
// done or the server of a worker fails.
func (c *WorkerCommand) serve(ctx context.Context, out io.Writer) error {
	failed := make(chan error, c.Count)
	for i := range c.Count {
		line, stop, err := c.serveWorker(i, failed)
		if err != nil {
			return err
		}
		defer stop()
		if err := json.NewEncoder(out).Encode(line); err != nil {
			return eris.Wrap(err, "write description of worker")
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serveWorker starts worker i, counting from 0. Errors of its server are sent to
// failed.
func (c *WorkerCommand) serveWorker(i int, failed chan<- error) (line workerInfo, stop func(), err error) {
	address, err := nthAddress(c.Listen, i)
	if err != nil {
		return workerInfo{}, nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return workerInfo{}, nil, eris.Wrapf(err, "listen for worker %d", i+1)
	}
	line = workerInfo{
		Name:          fmt.Sprintf("%s%d", c.Prefix, i+1),
		Address:       listener.Addr().String(),
		Region:        c.Region,
		FailureDomain: c.FailureDomain,
		Rack:          fmt.Sprintf("%s%d", c.RackPrefix, i/max(c.RackSize, 1)+1),
	}
	w := standin.NewWorker(c.config(line.Name))
	server := &http.Server{Handler: w.Handler(), IdleTimeout: standin.WorkerIdleTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrapf(err, "serve %s", line.Name)
		}
	}()
	stop = func() {
		w.Close()
		server.Close()
	}
	return line, stop, nil
}

func (c *WorkerCommand) config(name string) standin.WorkerConfig {
	return standin.WorkerConfig{
		Name: name,
		Capacity: task.Resources{
			CPUMilli: c.CPU * 1000, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators,
			Slots: c.Slots, Connections: c.Connections,
		},
		UsageLag:       c.UsageLag,
		IgnoreEpoch:    c.IgnoreEpoch,
		IgnoreValidity: c.IgnoreValidity,
	}
}

// nthAddress returns the address listen with n added to its port, unless the port is 0.
func nthAddress(listen string, n int) (string, error) {
	address, err := net.ResolveTCPAddr("tcp", listen)
	if err != nil {
		return "", eris.Wrap(err, "resolve listen address")
	}
	if address.Port != 0 {
		address.Port += n
	}
	return address.String(), nil
}
