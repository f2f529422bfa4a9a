package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/fairshare"
	"github.com/mulberrydrum/mulberrydrum/holding"
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

// ComponentConfigs contains the configurations of the packages that the state combines.
type ComponentConfigs struct {
	Ownership  ownership.Config
	Allowance  allowance.Config
	Keyring    keyring.Config
	Ledger     ledger.Config
	Queue      queue.Config
	Fairshare  fairshare.Config
	Quarantine quarantine.Config
	// PlacementMemory limits the memory of the attempts that this instance has as an owner; 0 for no limit.
	PlacementMemory int64
}

// DefaultComponentConfigs returns the default configurations of the packages for cfg.
func DefaultComponentConfigs(cfg Config) ComponentConfigs {
	partitions, shards := unitsOf(&cfg)
	return ComponentConfigs{
		Ownership: ownership.DefaultConfig(append(partitions, shards...)),
		Allowance: allowance.DefaultConfig(),
		Keyring:   keyring.DefaultConfig(),
		Ledger:    ledger.DefaultConfig(),
	}
}

// State is the control state of one entry instance. Only Apply changes it. It is not safe for
// concurrent use.
type State struct {
	outbox
	cfg        Config
	self       membership.Member
	routing    *routing
	config     *configuration
	membership *membershipState
	ownership  *ownership.Table
	freshness  *keyring.Freshness
	home       *home
	owner      *owner
	exchange   *digestExchange
	drain      drainState

	slowTickAt          time.Time
	allowancesPlannedAt time.Time
	snapshotChanged     bool // a part of the snapshot has changed since the last ResetChanged
}

// New returns the state of a process that has just started.
func New(now time.Time, cfg Config, components ComponentConfigs, self membership.Member, recorder *timeline.Recorder, rng *rand.Rand) *State {
	s := &State{cfg: cfg, self: self, outbox: outbox{now: now, recorder: recorder}, routing: newRouting(), snapshotChanged: true}
	s.ownership = ownership.New(components.Ownership, self, now)
	s.freshness = keyring.NewFreshness(components.Keyring, now)
	s.config = newConfiguration()
	s.membership = &membershipState{lastContact: now}
	s.exchange = newDigestExchange()
	allowances := allowance.New(components.Allowance)
	keys := keyChecks{isWithdrawn: s.config.isWithdrawn, areFresh: func() bool { return s.freshness.Remaining(s.now) > 0 }}
	s.home = &home{
		keys:   keys,
		outbox: &s.outbox, cfg: &s.cfg, routing: s.routing, ledger: ledger.New(components.Ledger, self.Incarnation),
		selector:     &partitionSelector{routing: s.routing, rng: rng, digestLifetime: cfg.DigestLifetime, region: self.Region},
		waitingCalls: map[uint64]*jobCall{}, waiters: map[ledger.JobKey][]uint64{}, openAttempts: map[task.Attempt]*openAttempt{},
		undispatched: map[taskRef]*undispatchedTask{}, batches: map[string][]Placement{}, reportCalls: map[uint64]*reportCall{},
		cancelled: newCancelledJobs(),
	}
	s.owner = &owner{
		outbox: &s.outbox, cfg: &s.cfg, routing: s.routing, cluster: placement.NewCluster(), shares: fairshare.New(components.Fairshare),
		queues: queue.New(components.Queue), monitor: quarantine.New(components.Quarantine), allowances: allowances,
		holds:      func(unit string) (uint64, bool) { return s.ownership.Holds(s.now, unit) },
		termEnd:    func(unit string) time.Time { return s.ownership.TermEnd(unit) },
		keys:       keys,
		partitions: map[string]*partition{}, workers: map[string]*workerState{}, attempts: map[task.Attempt]*attempt{},
		memory:         holding.New[task.Attempt](holding.Limits{Bytes: components.PlacementMemory}),
		drainedWorkers: map[string]bool{}, blocked: map[task.Team]blockReason{}, tombstones: map[task.Attempt]time.Time{}, pendingReports: map[task.Attempt]*pendingReport{},
	}
	s.recordEvent(timeline.Event{Type: timeline.ProcessStarted})
	return s
}

// Apply applies one event at time now and returns the resulting effects. The returned slice is
// valid until the next call.
func (s *State) Apply(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.apply(e)
	if _, isTick := e.(Tick); affectsOwnership(e) || isTick && s.isSlowTickDue() {
		s.executeOwnershipActions()
	}
	if s.owner.reportsDue {
		s.owner.sendReports()
	}
	s.flushLedger()
	s.home.flushPlacements()
	return s.effects
}

// affectsOwnership reports whether an event may lead to an action of the ownership table. Task
// events, which are the most frequent, do not: the end of a term is detected by Holds, which is
// called before every start.
func affectsOwnership(e Event) bool {
	switch e := e.(type) {
	case LeaseGranted, KeepAliveDone, ConfigChanged, InstancesListed, OwnershipDone, OwnershipForced:
		return true
	case PeerCall:
		_, isPromise := e.Request.(PromiseRequest)
		_, isHandover := e.Request.(HandoverNotice)
		return isPromise || isHandover
	case PeerDone:
		_, isPromise := e.Send.Request.(PromiseRequest)
		return isPromise
	default:
		return false
	}
}

func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		s.tick()
	case PeerCall:
		s.peerCall(e)
	case PeerDone:
		s.peerDone(e)
	case CallCancelled:
		s.home.cancelCall(e.Token)
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
		s.ownershipDone(e)
	case AllowanceDone:
		s.owner.allowanceDone(e)
	case DrainRequested:
		s.startDrain()
	case OwnershipForced:
		s.ownership.ForceTakeover(s.now, e.Unit)
	default:
		panic(fmt.Sprintf("control: unhandled event type %T", e))
	}
}

// tick runs the periodic work of every part of the state.
func (s *State) tick() {
	s.renewLease()
	s.home.tick()
	s.owner.tick()
	s.exchangeDigests()
	s.planAllowances()
	s.continueDrain()
}

// slowTickInterval is the interval of the periodic work that scans every unit or every team. That
// work is not urgent: the term of a unit is also checked before every start.
const slowTickInterval = 100 * time.Millisecond

// isSlowTickDue reports whether slowTickInterval has passed, and if so starts the next interval.
func (s *State) isSlowTickDue() bool {
	if s.now.Sub(s.slowTickAt) < slowTickInterval {
		return false
	}
	s.slowTickAt = s.now
	return true
}

// planAllowances requests allowance for starts that were refused for lack of it, and returns idle
// allowance.
func (s *State) planAllowances() {
	if !s.owner.allowancePlanDue && s.now.Sub(s.allowancesPlannedAt) < slowTickInterval {
		return
	}
	s.allowancesPlannedAt = s.now
	s.owner.allowancePlanDue = false
	if writes := s.owner.allowances.Plan(s.now); len(writes) > 0 {
		s.emit(WriteAllowances{Writes: writes})
	}
}

// peerCall handles a request from another instance or from this process.
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
	case HandoverNotice:
		s.applyOwnershipRecord(r.Record)
		s.reply(e.Token, HandoverReply{})
	case FetchConfigRequest:
		s.reply(e.Token, s.config.changesAfter(r.AfterRevision))
	case BeginConfigCommit:
		s.reply(e.Token, ConfigCommitReply{Allowed: s.freshness.BeginCommit(s.now)})
	case EndConfigCommit:
		s.freshness.EndCommit(r.Revision)
		s.reply(e.Token, ConfigCommitReply{Allowed: true})
	case OverviewRequest:
		s.reply(e.Token, s.overview())
	default:
		panic(fmt.Sprintf("control: unhandled request type %T", r))
	}
}

// peerDone applies the result of a call to an entry instance.
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
	case FetchConfigRequest, HandoverNotice:
		// The daemon decodes fetched entries and delivers them as ConfigChanged. If a notice is
		// lost, the watch delivers the record.
	}
}
