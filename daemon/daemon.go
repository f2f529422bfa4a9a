package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/mulberrydrum/mulberrydrum/caller"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// Daemon is one entry instance: an engine with the servers for callers, operators and the other
// entry instances.
type Daemon struct {
	*engine
	callers   *caller.Server
	operators *operator.Server
	entries   *grpc.Server
	listeners listeners
}

// listeners are opened before the instance registers in the store, so that no client is directed to
// an address that refuses connections.
type listeners struct{ caller, operator, entry net.Listener }

// New opens the listeners and builds the daemon. Port 0 in an address selects a free port;
// CallerAddress, OperatorAddress and EntryAddress return the addresses in use.
func New(cfg Config, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{}
	if err := d.listen(cfg); err != nil {
		return nil, err
	}
	cfg.Self.Incarnation = fmt.Sprintf("%s-%x", cfg.Self.Instance, time.Now().UnixNano())
	cfg.Self.Address = d.listeners.entry.Addr().String()
	cfg.Registry = metrics.NewRegistry()
	cfg.Worker.Registry = cfg.Registry
	d.engine = newEngine(cfg, logger, Clients{
		Store:        store.NewClient(cfg.Store),
		InstanceList: instancelist.NewClient(instancelist.Config{Address: cfg.InstanceListAddress, Instance: cfg.Self.Instance, CallTimeout: cfg.InstanceListTimeout}),
		Workers:      worker.NewClient(cfg.Worker),
		Entries:      entry.NewClient(cfg.Self),
	})
	d.gate(cfg, logger)
	d.callers = caller.NewServer(cfg.Caller, &callerBackend{d.engine})
	cfg.Operator.Metrics = d.registry
	d.operators = operator.NewServer(cfg.Operator, &operatorBackend{d.engine})
	d.entries = entry.NewServer(&peerHandler{d.engine})
	return d, nil
}

func (d *Daemon) listen(cfg Config) error {
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		l, err = net.Listen("tcp", address)
		return l
	}
	d.listeners.caller = open(cfg.CallerAddress)
	d.listeners.operator = open(cfg.OperatorAddress)
	d.listeners.entry = open(cfg.EntryAddress)
	return eris.Wrap(err, "open listeners")
}

// CallerAddress returns the address on which callers are served.
func (d *Daemon) CallerAddress() string { return d.listeners.caller.Addr().String() }

// OperatorAddress returns the address on which operators are served.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Addr().String() }

// EntryAddress returns the address on which the other entry instances are served.
func (d *Daemon) EntryAddress() string { return d.listeners.entry.Addr().String() }

// Abort stops the daemon immediately, as a crash of the process would: it hands over no units and
// closes all connections.
func (d *Daemon) Abort() {
	d.stop()
	d.callers.Abort()
	d.operators.Abort()
	d.entries.Stop()
	d.clients.Entries.Close()
}

// Run serves until ctx is done, then shuts down gracefully: it hands over its units, completes the
// requests in flight and closes.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.stop()
	group, groupCtx := errgroup.WithContext(d.effectsCtx)
	group.Go(func() error { return d.engine.run(groupCtx) })
	group.Go(func() error { return d.callers.Serve(d.listeners.caller) })
	group.Go(func() error { return d.operators.Serve(d.listeners.operator) })
	group.Go(func() error { return d.entries.Serve(d.listeners.entry) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.shutdown()
		case <-groupCtx.Done():
		}
		d.stop()
		return nil
	})
	d.log.Info("serving", "instance", d.cfg.Self.Instance, "incarnation", d.cfg.Self.Incarnation,
		"callers", d.CallerAddress(), "operators", d.OperatorAddress(), "entries", d.cfg.Self.Address)
	return group.Wait()
}

// shutdown performs a graceful shutdown. Callers are served until all units are handed over, so that
// requests that arrive during the handover are forwarded to the new owner.
func (d *Daemon) shutdown() {
	d.log.Info("draining", "timeout", d.cfg.DrainTimeout)
	d.callers.BeginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	if err := d.loop.Post(ctx, control.DrainRequested{}); err == nil {
		select {
		case <-d.drained:
			d.log.Info("all units handed over")
		case <-ctx.Done():
			d.log.Warn("stopping with units still held", "after", d.cfg.DrainTimeout)
		}
	}
	d.drainConnections(ctx)
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Warn("calls were cut off", "err", err)
	}
	_ = d.operators.Shutdown(ctx)
	d.entries.GracefulStop()
	d.clients.Entries.Close()
}

// drainConnections closes the listener for callers after the handover and serves the open
// connections until the callers have closed them. Every response has the header "Connection:
// close", and callers close idle connections after their idle timeout.
func (d *Daemon) drainConnections(ctx context.Context) {
	_ = d.listeners.caller.Close()
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ConnectionDrainTimeout)
	defer cancel()
	d.callers.WaitConnectionsClosed(ctx)
}
