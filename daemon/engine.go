package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/instancelist"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/timeline"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

// Clients holds the clients for the peers of an entry instance. Tests replace them with fakes.
type Clients struct {
	Store        store.Store
	InstanceList instancelist.Lister
	Workers      worker.API
	Entries      EntryClient
}

// EntryClient calls the other entry instances.
type EntryClient interface {
	Call(ctx context.Context, to membership.Member, request control.PeerRequest) (control.PeerReply, error)
	Timeline(ctx context.Context, to membership.Member, task, team string, since time.Time) ([]byte, error)
	Close()
}

// engine is an entry instance without its servers: the control loop and the executor of its effects.
type engine struct {
	cfg      Config
	log      *log.Logger
	loop     *control.Loop
	recorder *timeline.Recorder
	registry metrics.Registry
	meters   meters
	clients  Clients

	storeDown atomic.Bool // whether the store was last logged as unavailable

	// executor executes effects. It is the method execute, except in tests that delay effects.
	executor func(control.Effect)

	resync     chan struct{}   // requests a complete list of the configuration
	drained    chan struct{}   // closed when the drain of this instance is complete
	effectsCtx context.Context // context of all effects; canceled by stop
	stop       context.CancelFunc
}

func newEngine(cfg Config, logger *log.Logger, clients Clients) *engine {
	now := time.Now()
	seed := cfg.Seed
	if seed == 0 {
		seed = uint64(now.UnixNano())
	}
	registry := cfg.Registry
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	clients.Store = meteredStore{clients.Store, meters{registry}}
	d := &engine{cfg: cfg, log: logger, clients: clients, registry: registry, meters: meters{registry},
		recorder: timeline.NewRecorder(cfg.Self.Instance, cfg.Self.Incarnation, cfg.TimelineEvents),
		resync:   make(chan struct{}, 1), drained: make(chan struct{})}
	state := control.New(now, cfg.Control, cfg.Components, cfg.Self, d.recorder, rand.New(rand.NewPCG(seed, 0)))
	d.executor = d.execute
	d.loop = control.NewLoop(state, cfg.TickInterval, d.registry, func(e control.Effect) { d.executor(e) })
	registerGauges(registry, d.loop, d.recorder, clients.Entries)
	d.effectsCtx, d.stop = context.WithCancel(context.Background())
	return d
}

// run runs the control loop, the configuration watch and the poll of the instance list until ctx is
// done.
func (d *engine) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.loop.Run(ctx) })
	group.Go(func() error { return d.watchConfig(ctx) })
	group.Go(func() error { return d.pollInstances(ctx) })
	return group.Wait()
}

// Events returns the timeline of this process.
func (d *engine) Events() []timeline.Event { return d.recorder.Events(timeline.Filter{}) }

// Snapshot returns the latest snapshot of the control state, which the traffic goroutines read.
func (d *engine) Snapshot() *control.Snapshot { return d.loop.Snapshot() }
