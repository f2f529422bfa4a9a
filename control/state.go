package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/placement"
	"github.com/mulberrydrum/mulberrydrum/quarantine"
	"github.com/mulberrydrum/mulberrydrum/queue"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// Parts configures the decision packages that the state composes.
type Parts struct {
	Ownership  ownership.Config
	Allowance  allowance.Config
	Keyring    keyring.Config
	Ledger     ledger.Config
	Queue      queue.Config
	Fairshare  fairshare.Config
	Quarantine quarantine.Config
}

// DefaultParts returns the defaults of the parts for a configuration.
func DefaultParts(cfg Config) Parts {
	partitions, shards := unitsOf(&cfg)
	return Parts{
		Ownership: ownership.DefaultConfig(append(partitions, shards...)),
		Allowance: allowance.DefaultConfig(),
		Keyring:   keyring.DefaultConfig(),
		Ledger:    ledger.DefaultConfig(),
	}
}

// State is the control state of one entry instance. Apply is its only way in;
// it is not safe for concurrent use.
type State struct {
	outbox
	cfg       Config
	self      membership.Member
	routing   *routing
	config    *configuration
	members   *membershipState
	ownership *ownership.Table
	freshness *keyring.Freshness
	home      *home
	owner     *owner
	exchange  *exchange
	drain     drainState

	changed bool // a part of the snapshot has changed
}

// New returns the state of a process that has just started.
func New(now time.Time, cfg Config, parts Parts, self membership.Member, recorder *timeline.Recorder, rng *rand.Rand) *State {
	s := &State{cfg: cfg, self: self, outbox: outbox{now: now, record: recorder}, routing: newRouting(), changed: true}
	s.ownership = ownership.New(parts.Ownership, self, now)
	s.freshness = keyring.NewFreshness(parts.Keyring, now)
	s.config = newConfiguration()
	s.members = &membershipState{lastContact: now}
	s.exchange = newExchange()
	allow := allowance.New(parts.Allowance)
	s.home = &home{
		outbox: &s.outbox, cfg: &s.cfg, routing: s.routing, ledger: ledger.New(parts.Ledger, self.Incarnation),
		chooser: &chooser{routing: s.routing, rng: rng, lifetime: cfg.DigestLifetime, region: self.Region},
		calls:   map[uint64]*jobCall{}, waiters: map[ledger.JobKey][]uint64{}, open: map[task.Attempt]*openAttempt{},
		idle: map[taskRef]*idleTask{}, batches: map[string][]Placement{}, reports: map[uint64]*reportCall{},
	}
	s.owner = &owner{
		outbox: &s.outbox, cfg: &s.cfg, routing: s.routing, cluster: placement.NewCluster(), shares: fairshare.New(parts.Fairshare),
		queues: queue.New(parts.Queue), monitor: quarantine.New(parts.Quarantine), allow: allow,
		holds:      func(unit string) (uint64, bool) { return s.ownership.Holds(s.now, unit) },
		withdrawn:  s.config.isWithdrawn,
		partitions: map[string]*partition{}, workers: map[string]*workerState{}, attempts: map[task.Attempt]*attempt{},
		drained: map[string]bool{}, tombstones: map[task.Attempt]time.Time{}, outgoing: map[task.Attempt]*outgoingReport{},
	}
	s.event(timeline.Event{Type: timeline.ProcessStarted})
	return s
}

// Apply applies one event at time now and returns what has to be done. The
// slice is valid until the next call.
func (s *State) Apply(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.apply(e)
	s.actOnOwnership()
	s.flushLedger()
	s.home.flush()
	return s.effects
}

func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case PeerCall:
		s.peerCall(e)
	case PeerDone:
		s.peerDone(e)
	case Forget:
		s.home.forget(e.Token)
	case StartDone:
		s.owner.startDone(e)
	case SyncDone:
		s.owner.syncDone(e)
	case LookupDone:
		s.owner.lookupDone(e)
	case ResultDone:
		s.owner.resultDone(e)
	case LeaseGranted:
		s.leaseGranted(e)
	case KeepAliveDone:
		s.keepAliveDone(e)
	case ConfigChanged:
		s.configChanged(e)
	case InstancesListed:
		s.instancesListed(e)
	case ShardRead:
		s.shardRead(e)
	case LedgerDone:
		s.ledgerDone(e)
	case OwnershipDone:
		s.ownership.WriteDone(s.now, e.Unit, e.Result)
	case AllowanceDone:
		s.owner.allow.WriteDone(s.now, e.Writes, e.Result)
		s.owner.schedule()
	case DrainRequested:
		s.startDrain()
	case OwnershipForced:
		s.ownership.Force(s.now, e.Unit)
	default:
		panic(fmt.Sprintf("control: no case for event %T", e))
	}
}

// tick lets everything that waits for time take effect.
func (s *State) tick() {
	s.renewLease()
	s.home.tick()
	s.owner.tick()
	s.exchangeDigests()
	if writes := s.owner.allow.Plan(s.now); len(writes) > 0 {
		s.emit(WriteAllowances{Writes: writes})
	}
	s.continueDrain()
}

// peerCall answers a request of another instance, or of this process.
func (s *State) peerCall(e PeerCall) {
	switch r := e.Request.(type) {
	case SubmitRequest:
		s.submit(e.Token, r)
	case QueryRequest:
		s.home.query(e.Token, r)
	case PlaceRequest:
		s.owner.place(e.Token, r)
	case WithdrawRequest:
		s.owner.withdraw(e.Token, r)
	case LookupRequest:
		s.owner.lookup(e.Token, r)
	case PermitRequest:
		s.home.permit(e.Token, r)
	case ReportRequest:
		s.home.report(e.Token, r)
	case PromiseRequest:
		s.promise(e.Token, r)
	case DigestMessage:
		s.digestReceived(e.Token, r)
	case FetchConfigRequest:
		s.reply(e.Token, s.config.fetch())
	case BeginConfigCommit:
		s.reply(e.Token, ConfigCommitReply{Allowed: s.freshness.BeginCommit(s.now)})
	case EndConfigCommit:
		s.freshness.EndCommit()
		s.reply(e.Token, ConfigCommitReply{Allowed: true})
	case OverviewRequest:
		s.reply(e.Token, s.overview())
	default:
		panic(fmt.Sprintf("control: no case for request %T", r))
	}
}

// peerDone applies the end of a call to another instance.
func (s *State) peerDone(e PeerDone) {
	switch r := e.Send.Request.(type) {
	case PlaceRequest:
		s.home.placeDone(r, e.Reply, e.Err)
	case WithdrawRequest:
		s.home.withdrawDone(r, e.Reply, e.Err)
	case LookupRequest:
		s.home.lookupDone(r, e.Reply, e.Err)
	case PermitRequest:
		s.owner.permitDone(r, e.Reply, e.Err)
	case ReportRequest:
		s.owner.reportDone(r, e.Reply, e.Err)
	case PromiseRequest:
		s.promiseDone(e.Send, r, e.Reply, e.Err)
	case DigestMessage:
		s.digestDone(e)
	case FetchConfigRequest:
		// The daemon decodes fetched entries and delivers them as ConfigChanged.
	}
}
