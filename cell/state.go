package cell

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Snapshot is the immutable copy of the control state that traffic goroutines read.
type Snapshot struct {
	Catalog        *job.Catalog // nil until the first configuration is read
	SyncedAt       time.Time    // last store sync: every change acknowledged by the store up to then was delivered
	KeysValidUntil time.Time    // API keys are accepted until then
	ReadyUntil     time.Time    // new connections are accepted until then
	Owner          Owner        // zero if unknown
	OwnerFound     bool
	IsOwner        bool // this instance is the owner and has completed recovery
	// Revision of the ownership record of this instance, and when it won the ownership; only if it is the owner.
	OwnershipRevision int64
	OwnedSince        time.Time
	Stopping          bool
	Capacity          task.Resources // of the workers that accept tasks; on the owner only
	Used              task.Resources // part of Capacity that is in use; on the owner only
}

// role is the role of an instance in the ownership of the partition.
type role int

const (
	follower role = iota
	campaigning
	recovering
	owning
	resigning
)

// State is the control state of an entry instance.
type State struct {
	cfg     Config
	now     time.Time
	wall    time.Time
	effects []Effect
	changed bool

	catalog     *job.Catalog
	evacuations job.Evacuations
	syncedAt    time.Time
	stopping    bool

	owner         Owner
	ownerFound    bool
	ownerKnown    bool // the ownership record, or its absence, was read
	ownerRevision int64
	campaignAt    time.Time
	maxCores      float64 // highest recorded core count of any instance

	role              role
	ownershipRevision int64 // revision of this instance's ownership record; the fencing token of its orders
	lease             int64
	leaseGrantedAt    time.Time                     // when the grant of the lease was sent
	sequences         [schedule.CommitStreams]int64 // revisions of the sequence records
	inboxRevision     int64                         // store revision up to which every recorded job was delivered
	renewAt           time.Time
	ownedSince        time.Time
	readySince        time.Time // end of the recovery
	contact           Contact
	directoryAsOf     time.Time // see DirectoryRead
	inboxAsOf         time.Time // see JobsObserved
	storeUnavailable  bool      // the last read of the directory failed
	isOutdated        bool      // see updateOutdated
	isSuspended       bool      // see updateAuthority
	tickAt            time.Time
	core              *schedule.Core
	heldSubmissions   []Submission // received during recovery, or while the lease may have expired
	heldCancellations []job.ID     // read from the store meanwhile; their jobs may be among heldSubmissions
}

// New returns the initial state of an instance.
func New(cfg Config) *State { return &State{cfg: cfg, changed: true} }

// Apply processes one event and returns the effects to carry out.
func (s *State) Apply(now, wall time.Time, e Event) []Effect {
	s.now, s.wall = now, wall
	if s.core != nil {
		s.core.Begin(now, wall)
	}
	if s.isIsolated() {
		s.stepDown("isolated")
	}
	s.updateAuthority()
	s.apply(e)
	s.runDueWork()
	if s.core != nil {
		s.updateOutdated()
		s.collectCoreEffects()
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) apply(e Event) {
	switch e := e.(type) {
	case Tick:
	case CatalogRead:
		s.setCatalog(e.Catalog)
	case EvacuationsRead:
		s.setEvacuations(e.Evacuations)
	case StoreSynced:
		if e.At.After(s.syncedAt) {
			s.syncedAt = e.At
			s.changed = true
		}
	case OwnerObserved:
		s.observeOwner(e)
	case CampaignDone:
		s.campaignDone(e)
	case Recovered:
		s.recovered(e)
	case RenewDone:
		if e.Gone && e.Lease == s.lease && s.role != follower {
			s.stepDown("lease_gone")
		}
	case Committed:
		s.committed(e)
	case DirectoryRead:
		if s.core != nil {
			s.directoryAsOf, s.storeUnavailable = e.AsOf, false
			s.core.SetDirectory(e.Workers)
		}
	case StoreUnavailable:
		s.storeUnavailable = true
	case JobsObserved:
		s.observeJobs(e)
	case ScheduleOutcome:
		if s.core != nil && e.OwnerRevision == s.ownershipRevision {
			s.applyOutcome(e.Event)
		}
	case RequestReceived:
		s.handleRequest(e)
	case CallerGone:
	case ShutdownRequested:
		s.stopping = true
		s.changed = true
		if s.core != nil {
			s.core.DisablePlacement()
		}
		if s.role == recovering {
			s.declineOwnership()
		}
	}
}

// declineOwnership resigns an ownership that was won during or shortly before shutdown,
// before its recovery has ended. Resigning only after recovery would leave the cluster
// without an owner for a second.
func (s *State) declineOwnership() {
	s.role = resigning
	s.heldSubmissions = nil
	s.log("ownership_declined", "fence", s.ownershipRevision, "why", "planned_stop")
	s.emit(Resign{OwnerRevision: s.ownershipRevision, Lease: s.lease})
	s.emit(CancelCalls{OwnerRevision: s.ownershipRevision})
}

// runDueWork performs the timed work of the current role that is due.
func (s *State) runDueWork() {
	switch s.role {
	case follower:
		s.maybeCampaign()
	case recovering, owning:
		if !s.now.Before(s.renewAt) {
			s.renewAt = s.now.Add(s.cfg.RenewInterval)
			s.emit(Renew{Lease: s.lease})
		}
	}
	if s.core != nil && !s.now.Before(s.tickAt) {
		s.tickAt = s.now.Add(s.cfg.TickInterval)
		s.core.ObserveInstance(s.cfg.Self.Instance)
		s.core.Tick()
	}
	if s.stopping && s.role == owning && s.core.AllCommitted() {
		s.role = resigning
		s.emit(Resign{OwnerRevision: s.ownershipRevision, Lease: s.lease})
		s.endOwnership("planned_stop")
	}
}

func (s *State) setCatalog(c *job.Catalog) {
	if s.catalog != nil && c.Revision <= s.catalog.Revision {
		return
	}
	s.catalog = c
	s.changed = true
	s.log("configuration", "version", c.Version, "revision", c.Revision)
	if s.core != nil {
		s.core.SetCatalog(c)
	}
}

// setEvacuations applies a set of evacuations unless it is older than the one in force.
func (s *State) setEvacuations(e job.Evacuations) {
	if e.Revision < s.evacuations.Revision {
		return
	}
	if !slices.Equal(e.Domains, s.evacuations.Domains) {
		s.log("evacuations", "domains", strings.Join(e.Domains, ","), "former", strings.Join(s.evacuations.Domains, ","), "revision", e.Revision)
	}
	s.evacuations = e
	if s.core != nil {
		s.core.SetEvacuated(e.Domains)
	}
}

// observeOwner processes the ownership record as read from the store. The revision
// increases with every change of the record, so a stale read is detected by its lower
// revision.
func (s *State) observeOwner(e OwnerObserved) {
	s.maxCores = max(s.maxCores, e.MaxCores)
	if s.cfg.Cores > s.maxCores {
		s.emit(RecordCores{Cores: s.cfg.Cores})
	}
	if s.ownerKnown && e.Revision < s.ownerRevision {
		return
	}
	if !s.ownerKnown || e.Found != s.ownerFound || e.Owner != s.owner {
		s.log("owner", "found", e.Found, "instance", e.Owner.Instance, "revision", e.Revision)
	}
	s.ownerKnown, s.ownerFound, s.owner, s.ownerRevision = true, e.Found, e.Owner, e.Revision
	s.changed = true
	if s.holdsOwnership() && e.Revision > s.ownershipRevision && (!e.Found || e.Owner != s.cfg.Self) {
		s.stepDown("record_replaced")
	}
	if !e.Found {
		s.campaignAt = s.now.Add(s.campaignDelay(e.Revision))
	}
}

func (s *State) holdsOwnership() bool { return s.role == recovering || s.role == owning }

// campaignDelay returns the time until the campaign slot of this instance. A hash spreads
// the instances over the slots, differently for each takeover, so that most of them
// observe the ownership record of the winner before their own slot begins.
func (s *State) campaignDelay(revision int64) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.cfg.Self.Instance)) // Write of a hash never returns an error
	_, _ = hash.Write([]byte{byte(revision), byte(revision >> 8)})
	delay := time.Duration(int(hash.Sum32()>>4)%s.cfg.CampaignSlots) * s.cfg.CampaignSlotLength
	if s.isSmall() {
		delay += s.cfg.SmallInstanceDelay
	}
	return delay
}

// isSmall reports whether another instance has, or may have, significantly more cores.
// The owner schedules for all workers of the partition, and a small instance is too slow
// for that in a large fleet.
func (s *State) isSmall() bool {
	const minCoreRatio = 0.9 // fraction of the highest core count
	if s.maxCores == 0 {
		return s.cfg.Cores > 0 // no instance has recorded its cores yet
	}
	return s.cfg.Cores < minCoreRatio*s.maxCores
}

func (s *State) maybeCampaign() {
	if !s.ownerKnown || s.ownerFound || s.catalog == nil || s.stopping || s.now.Before(s.campaignAt) {
		return
	}
	s.role = campaigning
	s.emit(Campaign{})
}

func (s *State) campaignDone(e CampaignDone) {
	if s.role != campaigning {
		return
	}
	if !e.Won {
		s.role = follower
		s.campaignAt = s.now.Add(s.cfg.CampaignRetryDelay)
		return
	}
	s.role, s.ownershipRevision, s.lease, s.leaseGrantedAt = recovering, e.Revision, e.Lease, e.GrantedAt
	s.ownedSince = s.now
	if s.stopping {
		s.declineOwnership()
		return
	}
	s.ownerKnown, s.ownerFound, s.owner, s.ownerRevision = true, true, s.cfg.Self, e.Revision
	s.renewAt = s.now
	s.changed = true
	s.log("ownership_won", "fence", e.Revision)
	s.emit(Recover{OwnerRevision: e.Revision})
}

func (s *State) recovered(e Recovered) {
	if s.role != recovering || e.Revision != s.ownershipRevision {
		return
	}
	recovery := e.State
	s.role, s.sequences, s.inboxRevision = owning, recovery.Sequences, recovery.ReadRevision
	s.heldSubmissions = slices.DeleteFunc(s.heldSubmissions, s.isDelivered)
	s.readySince = s.now
	s.core = schedule.New(s.now, s.cfg.Schedule, s.ownershipRevision, s.catalog, recovery.Roster)
	s.core.Begin(s.now, s.wall)
	s.core.SetEvacuated(s.evacuations.Domains)
	s.core.RestorePastUse(recovery.PastUse)
	if s.stopping {
		s.core.DisablePlacement()
	}
	s.core.ObserveInstance(s.cfg.Self.Instance)
	for _, recorded := range recovery.Jobs {
		s.core.RestoreJob(recorded)
	}
	for _, submitted := range s.heldSubmissions {
		s.core.HoldMemory(submitted.Job)
	}
	s.isSuspended = false
	s.updateAuthority()
	s.core.SetDirectory(recovery.Workers)
	s.directoryAsOf, s.inboxAsOf, s.storeUnavailable, s.isOutdated = recovery.AsOf, recovery.AsOf, false, false
	s.changed = true
	s.log("ownership_ready", "fence", s.ownershipRevision, "jobs", len(recovery.Jobs), "workers", len(recovery.Workers), "roster", len(recovery.Roster))
}

// isDelivered reports whether the record of a job was delivered before, by the recovery or by the watch.
// A job that was delivered and is unknown has ended.
func (s *State) isDelivered(submitted Submission) bool { return submitted.Revision <= s.inboxRevision }

func (s *State) observeJobs(e JobsObserved) {
	if s.core == nil || e.OwnerRevision != s.ownershipRevision {
		return
	}
	if !e.AsOf.IsZero() {
		s.inboxAsOf = e.AsOf
	}
	for _, submitted := range e.Jobs {
		s.submit(submitted)
	}
	for _, id := range e.Cancelled {
		s.cancelRecorded(id)
	}
	s.inboxRevision = max(s.inboxRevision, e.Revision)
	s.core.ObserveInbox(s.inboxRevision)
}

func (s *State) committed(e Committed) {
	if s.core == nil || e.OwnerRevision != s.ownershipRevision {
		return
	}
	if e.Lost {
		s.stepDown("commit_refused")
		return
	}
	s.sequences[e.Commit.Stream] = e.Sequence
	s.core.CommitDone(schedule.CommitDone{Commit: e.Commit, Revision: e.Sequence})
}

func (s *State) applyOutcome(e any) {
	switch e := e.(type) {
	case schedule.PollDone:
		if e.Verdict == schedule.Fenced {
			s.stepDown("fenced_by_worker")
			return
		}
		s.core.PollDone(e)
	case schedule.StartDone:
		if e.Verdict == schedule.Fenced {
			s.stepDown("fenced_by_worker")
			return
		}
		s.core.StartDone(e)
	case schedule.StopDone:
		s.core.StopDone(e)
	case schedule.AdviceCallDone:
		s.core.AdviceCallDone(e)
	}
}

// stepDown ends an ownership that another instance has taken over or may take over.
func (s *State) stepDown(reason string) {
	s.emit(Resign{OwnerRevision: s.ownershipRevision, Lease: s.lease})
	s.role = follower
	s.campaignAt = s.now.Add(s.cfg.CampaignRetryDelay)
	if s.ownerFound && s.owner == s.cfg.Self {
		// The last record read is this instance's own; the watch delivers the next one.
		s.ownerKnown = false
	}
	s.endOwnership(reason)
}

func (s *State) endOwnership(reason string) {
	s.log("ownership_ended", "fence", s.ownershipRevision, "why", reason, "renewal_age_ms", milliseconds(s.now.Sub(s.contact.Renewal)))
	s.emit(CancelCalls{OwnerRevision: s.ownershipRevision})
	s.emit(ShowPastUse{})
	s.emit(ShowHeldMemory{})
	s.core = nil
	s.heldSubmissions, s.heldCancellations = nil, nil
	s.changed = true
}

func (s *State) handleRequest(e RequestReceived) {
	if s.core == nil {
		if submit, ok := e.Request.(Submit); ok && s.role == recovering {
			s.heldSubmissions = append(s.heldSubmissions, submit.Submission)
			s.emit(Answer{Token: e.Token, Reply: Reply{Found: true}})
			return
		}
		s.emit(Answer{Token: e.Token, Reply: Reply{NotOwner: true}})
		return
	}
	switch request := e.Request.(type) {
	case Submit:
		s.submit(request.Submission)
		s.emit(Answer{Token: e.Token, Reply: Reply{Found: true}})
	case AdmissionQuery:
		s.emit(Answer{Token: e.Token, Reply: Reply{Found: true, Admission: s.core.Admit(request.Job, request.SpecBytes)}})
	case JobStateQuery:
		s.core.Subscribe(request.Job, request.Instance)
		state, team, queue, found := s.core.StateOf(request.Job)
		s.emit(Answer{Token: e.Token, Reply: Reply{Found: found, State: state, Team: team, Queue: queue}})
	case Cancel:
		_, team, queue, _ := s.core.StateOf(request.Job)
		if belongsToOther := queue != request.Queue || (request.Team != "" && team != "" && team != request.Team); belongsToOther || !s.core.Cancel(request.Job, e.Token) {
			s.emit(Answer{Token: e.Token, Reply: Reply{}})
		}
	case ViewRequest:
		s.core.ObserveInstance(request.Instance)
		s.core.ObserveMemoryLimit(request.JobMemory)
		for team, count := range request.Submitted {
			s.core.AddDemand(team, count)
		}
		view := s.core.ViewSince(request.Instance, request.Epoch, request.Since)
		view.OwnerTime = s.now.Sub(s.ownedSince)
		s.countHeld(view.PendingJobs)
		s.emit(Answer{Token: e.Token, Reply: Reply{Found: true, View: &view}})
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) log(event string, fields ...any) {
	s.emit(Log{schedule.Decision{Event: event, Fields: fields}})
}

// RecordProcessingTime passes the processing time of the last event to the core, which
// spaces its placement passes accordingly to leave time for further events.
func (s *State) RecordProcessingTime(d time.Duration) {
	if s.core != nil {
		s.core.RecordProcessingTime(d)
	}
}

// ResetChanged reports whether the snapshot has changed since the last call.
func (s *State) ResetChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// Snapshot returns a copy of the control state for traffic goroutines.
func (s *State) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		Catalog: s.catalog, SyncedAt: s.syncedAt, Owner: s.owner, OwnerFound: s.ownerFound,
		IsOwner: s.core != nil, Stopping: s.stopping,
	}
	if s.core != nil {
		snapshot.OwnershipRevision, snapshot.OwnedSince = s.ownershipRevision, s.ownedSince
	}
	if !s.syncedAt.IsZero() {
		snapshot.KeysValidUntil = s.syncedAt.Add(s.cfg.KeyFreshness)
		snapshot.ReadyUntil = s.syncedAt.Add(s.cfg.ReadinessTimeout)
	}
	if s.core != nil {
		snapshot.Capacity, snapshot.Used = s.core.UsableCapacity()
	}
	return snapshot
}
