package instance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/clock"
	"github.com/mulberrydrum/mulberrydrum/entry"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/tombstone"
)

// Workers sends orders to workers. Each call returns when ctx ends, at the latest.
type Workers interface {
	Poll(ctx context.Context, fence int64, p schedule.Poll) schedule.PollDone
	Start(ctx context.Context, fence int64, s schedule.Start) schedule.Verdict
	Stop(ctx context.Context, fence int64, s schedule.Stop) schedule.Verdict
}

// Advisor calls the advice service, which issues a ticket for each of the given workers
// that may run a step.
type Advisor interface {
	RequestAdvice(ctx context.Context, step string, workers []string) (tickets map[string]string, valid time.Duration, err error)
}

// Directory lists the existing workers.
type Directory interface {
	Workers(ctx context.Context) ([]schedule.Worker, error)
}

// Configuration watches the operators' configuration until ctx ends.
type Configuration interface {
	Follow(ctx context.Context, handler ConfigurationHandler) error
}

// ConfigurationHandler receives what operators have configured. All methods are called from one
// goroutine.
type ConfigurationHandler interface {
	// EvacuationsChanged receives the complete set of evacuations. It is called before the first
	// configuration, even if there are none.
	EvacuationsChanged(job.Evacuations)
	// CatalogChanged receives a configuration.
	CatalogChanged(*job.Catalog)
	// Synced reports that every change acknowledged up to the given time was delivered.
	Synced(at time.Time)
}

// Config configures an Instance.
type Config struct {
	Name          string
	FailureDomain string
	Cores         float64 // processor cores available to this process; may be fractional
	Incarnation   string  // unique to this process
	Listen        string  // numeric address and port for calls from other instances
	Store         store.Store
	Workers       Workers
	Advisor       Advisor
	Directory     Directory
	Configuration Configuration
	Journal       *Journal
	Metrics       metrics.Registry
	Timing        Timing
	MaxValueBytes int // largest value that the store accepts; 0 if unknown
	Schedule      schedule.Config
	GatePeers     func(net.Listener) net.Listener // limits the connections of other instances; nil for no limit
}

// Timing holds the timeouts and intervals of an instance.
type Timing struct {
	OwnershipTTL        time.Duration // of the lease of the ownership record
	DirectoryInterval   time.Duration // between reads of the directory, on the owner
	ViewPollInterval    time.Duration // between polls of the owner for changes
	OwnerRequestTimeout time.Duration // of a request to the owner
	CancelTimeout       time.Duration // of a cancellation, which waits for a commit
	OrderTimeout        time.Duration // of an order to a worker
	PollMargin          time.Duration // timeout of a poll of a worker, in addition to the time for which the worker may delay its report
	AdviceTimeout       time.Duration // of a call to the advice service
	ResignTimeout       time.Duration // of the removal of the ownership record
}

// DefaultTiming returns values that meet the platform's time limits.
func DefaultTiming() Timing {
	return Timing{
		// The shortest TTL that tolerates three lost renewals.
		OwnershipTTL: 1200 * time.Millisecond,
		// A leaving worker must receive no new tasks later than 2.5 s after its notice.
		DirectoryInterval: 700 * time.Millisecond,
		// The job status shown to callers lags by this interval and the latency to
		// another region.
		ViewPollInterval:    100 * time.Millisecond,
		OwnerRequestTimeout: 500 * time.Millisecond,
		CancelTimeout:       1500 * time.Millisecond,
		OrderTimeout:        700 * time.Millisecond,
		// If a report is lost, ended tasks of its worker go undetected until the poll
		// times out.
		PollMargin:    400 * time.Millisecond,
		AdviceTimeout: 3 * time.Second,
		ResignTimeout: 800 * time.Millisecond,
	}
}

// Instance is one entry instance.
type Instance struct {
	cfg         Config
	loop        *cell.Loop
	peers       *entry.Client
	submissions chan *pendingSubmission
	relays      *relays
	resends     *resendBudget

	view           *ownerView
	allowance      *memoryAllowance
	memoryRefusals memoryRefusals
	recordLookups  *rate.Limiter // of refused submissions
	cancelBudget   *tombstone.Budget
	tombstones     chan *pendingTombstone
	undecided      rate.Sometimes // limits the log lines about submissions that the owner did not decide

	ctx              context.Context // of all effects
	ownerCtx         context.Context // of effects of the current ownership; set by the control goroutine
	cancelOwner      context.CancelFunc
	resigned         chan struct{} // closed once the ownership record has been removed in a graceful shutdown
	resignOnce       sync.Once
	admissionQueries atomic.Int32 // in flight
	writeFailures    atomic.Int32 // consecutive failed writes of submissions
	unansweredSince  atomic.Int64 // send time of the first unanswered write of a job, Unix nanoseconds; 0 if none
	probedAt         atomic.Int64 // time at which a submission was last let through to an unresponsive store, Unix nanoseconds

	queueLengthLoggedAt atomic.Int64 // Unix nanoseconds

	metrics        requestMetrics
	failuresMu     sync.Mutex
	failuresByCall map[string]storeFailures // by call, to rate-limit log lines
}

// New returns an instance that is idle until Run is called.
func New(cfg Config) *Instance {
	self := cell.Owner{Instance: cfg.Name, Incarnation: cfg.Incarnation, Address: cfg.Listen}
	i := &Instance{
		cfg:            cfg,
		peers:          entry.NewClient(membership.Member{Instance: cfg.Name}),
		submissions:    make(chan *pendingSubmission, acceptQueueLength),
		resigned:       make(chan struct{}),
		view:           newOwnerView(),
		allowance:      newMemoryAllowance(cfg.Schedule.JobMemory),
		memoryRefusals: memoryRefusals{logEvent: cfg.Journal.Event},
		undecided:      rate.Sometimes{Interval: undecidedLogInterval},
		recordLookups:  rate.NewLimiter(recordLookupRate, recordLookupBurst),
		cancelBudget:   tombstone.NewBudget(tombstone.DefaultLimits()),
		tombstones:     make(chan *pendingTombstone, tombstoneQueueLength),
		failuresByCall: make(map[string]storeFailures),
		metrics:        newRequestMetrics(cfg.Metrics),
		resends:        newResendBudget(cfg.Metrics),
	}
	i.relays = newRelays(cfg.Name, cfg.Workers, i.peers, cfg.Journal.Event)
	cellConfig := cell.DefaultConfig(self, cfg.Cores)
	cellConfig.OwnershipTTL, cellConfig.Now, cellConfig.Schedule = cfg.Timing.OwnershipTTL, clock.Now, cfg.Schedule
	i.loop = cell.NewLoop(cell.New(cellConfig), cfg.Metrics, i.execute)
	return i
}

// Run serves until ctx ends. For a graceful shutdown, call Stop first.
func (i *Instance) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", i.cfg.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen for other instances on %s", i.cfg.Listen)
	}
	if i.cfg.GatePeers != nil {
		listener = i.cfg.GatePeers(listener)
	}
	group, ctx := errgroup.WithContext(ctx)
	i.ctx = ctx
	server := entry.NewCellServer(i)
	group.Go(func() error { return i.loop.Run(ctx) })
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		i.peers.Close()
		return nil
	})
	group.Go(func() error { return i.followCatalog(ctx) })
	group.Go(func() error { return i.followOwner(ctx) })
	group.Go(func() error { return i.followView(ctx) })
	for range submissionWriters {
		group.Go(func() error { return i.recordSubmissions(ctx) })
	}
	group.Go(func() error { return i.recordTombstones(ctx) })
	i.cfg.Journal.Event("instance started", "instance", i.cfg.Name, "incarnation", i.cfg.Incarnation)
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// Stop begins a graceful shutdown: the instance accepts no new connections and, if it is
// the owner, resigns. Stop returns when another instance can take over or ctx ends.
func (i *Instance) Stop(ctx context.Context) {
	wasOwner := i.loop.Snapshot().IsOwner
	i.loop.Post(ctx, cell.ShutdownRequested{})
	if !wasOwner {
		return
	}
	select {
	case <-i.resigned:
	case <-ctx.Done():
	}
}

// Snapshot returns the latest control state for traffic goroutines.
func (i *Instance) Snapshot() *cell.Snapshot { return i.loop.Snapshot() }

// Ready reports whether the instance accepts new connections: it has a configuration,
// was recently in sync with the store and is not shutting down.
func (i *Instance) Ready() bool {
	s := i.loop.Snapshot()
	return s.Catalog != nil && !s.Stopping && clock.Now().Before(s.ReadyUntil)
}

func (i *Instance) followCatalog(ctx context.Context) error {
	return i.cfg.Configuration.Follow(ctx, &configurationPoster{ctx: ctx, loop: i.loop})
}

// configurationPoster posts the operators' configuration to the control goroutine.
type configurationPoster struct {
	ctx  context.Context
	loop *cell.Loop
}

// EvacuationsChanged implements ConfigurationHandler.
func (p *configurationPoster) EvacuationsChanged(e job.Evacuations) {
	p.loop.Post(p.ctx, cell.EvacuationsRead{Evacuations: e})
}

// CatalogChanged implements ConfigurationHandler.
func (p *configurationPoster) CatalogChanged(c *job.Catalog) {
	p.loop.Post(p.ctx, cell.CatalogRead{Catalog: c})
}

// Synced implements ConfigurationHandler.
func (p *configurationPoster) Synced(at time.Time) { p.loop.Post(p.ctx, cell.StoreSynced{At: at}) }

// ObserveInstance implements entry.CellHandler.
func (i *Instance) ObserveInstance(p entry.Peer) {
	i.relays.observePeer(p, time.Now())
}

// HandleRequest implements entry.CellHandler.
func (i *Instance) HandleRequest(ctx context.Context, request any) (cell.Reply, error) {
	if r, ok := request.(cell.ViewRequest); ok {
		i.loop.RecordFollower(r, clock.Now())
	}
	return i.loop.Call(ctx, request)
}

// CallAdviceService implements entry.CellHandler.
func (i *Instance) CallAdviceService(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	return i.cfg.Advisor.RequestAdvice(ctx, step, workers)
}

// ForwardOrder implements entry.CellHandler.
func (i *Instance) ForwardOrder(ctx context.Context, o entry.RelayOrder) entry.RelayOutcome {
	switch order := o.Order.(type) {
	case schedule.Poll:
		done := i.cfg.Workers.Poll(ctx, o.Fence, order)
		return entry.RelayOutcome{Verdict: done.Verdict, Clock: done.Clock, Incarnation: done.Incarnation, Running: done.Running, Ended: done.Ended, Partial: done.Partial}
	case schedule.Start:
		return entry.RelayOutcome{Verdict: i.cfg.Workers.Start(ctx, o.Fence, order)}
	case schedule.Stop:
		return entry.RelayOutcome{Verdict: i.cfg.Workers.Stop(ctx, o.Fence, order)}
	default:
		return entry.RelayOutcome{Verdict: schedule.Invalid}
	}
}

// callOwner sends a request to the owner, which may be this instance or another.
func (i *Instance) callOwner(ctx context.Context, timeout time.Duration, request any) (cell.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := i.loop.Snapshot()
	switch {
	case !s.OwnerFound:
		return cell.Reply{NotOwner: true}, nil
	case s.Owner.Instance == i.cfg.Name:
		return i.loop.Call(ctx, request)
	default:
		return i.peers.SendJobRequest(ctx, s.Owner.Address, request)
	}
}
