package ownership

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// Table is the ownership state of all units as one process observes it. It is not
// safe for concurrent use. Times are readings of the monotonic clock of the process.
type Table struct {
	cfg          Config
	self         membership.Member
	startedAt    time.Time
	seededFaults seededFaults

	units  []*unit
	byName map[string]*unit

	members         map[string]membership.Member // by instance, from the member keys in the store
	memberList      []membership.Member
	memberSince     map[string]time.Time // by incarnation: start of its current uninterrupted presence
	noStoreContact  map[string]bool      // by instance: it last reported that it cannot reach the store
	absentSince     map[string]time.Time // by instance: since when the store has had no member key of it
	membersObserved bool
	unlistedSince   map[string]time.Time // by instance: since when it has been missing from the instance list
	listed          map[string]bool      // by instance: in the latest instance list
	listReadAt      time.Time            // of the latest instance list

	attached         bool      // LeaseAttached was called, and LeaseLost was not called since
	attachRevision   int64     // store revision at which the member key was written
	observedRevision int64     // every change up to this store revision has been observed
	keepAliveSentAt  time.Time // read before the last successful keepalive was sent
	storeTermEnd     time.Time // end of the store term
	keepAliveFailed  bool      // the last keepalive failed

	lastMoveAt    time.Time
	queuedActions []Action // for the next Tick
}

// unit is the state of one worker partition or request shard.
type unit struct {
	name   string
	record Record

	held         bool      // a Gained was queued, and no Lost since
	gainedAt     time.Time // time of the last Gained
	lostAt       time.Time // time of the last Lost
	needsRead    bool      // no linearizable read was sent since the loss
	readRevision int64     // store revision that this read returned

	receivedPromises    map[Successor]time.Time // value: time read before the request was sent
	promiseTermEnd      time.Time               // end of the promise term
	promisesRequestedAt time.Time               // last request of promises

	promisedAt time.Time // last promise that this process gave to any owner
	promised   bool      // promisedAt is set

	pending   *pendingWrite
	retryAt   time.Time // earliest time of the next write
	releasing bool      // Release was called under the owner and epoch of the current record
	forcedAt  time.Time // when ForceTakeover was first accepted
	forced    bool      // ForceTakeover was accepted and is not void
}

// seededFaults disables individual safety rules. Only tests set it, to show that their
// checks detect the absence of each rule.
type seededFaults struct {
	skipPromiseWindowWait    bool // take over without waiting for this process's own promise to lapse
	promiseWhileUnresolved   bool // give promises despite an unresolved write
	ignoreIncarnation        bool // give and count promises for another incarnation of the instance
	ignoreClockError         bool // compute terms and waits without drift and margin
	termFromReply            bool // start terms at the reply instead of before the send
	skipMemberCompare        bool // take over without comparing the member key
	useStaleRecord           bool // act under a new lease before the records have been observed again
	requireOnlyRecorded      bool // require only the recorded successors' promises while a write of a new list is unresolved
	holdDuringHandover       bool // keep the unit until the handover is confirmed
	emptyListCountsAsPromise bool // treat an empty list of successors as if all had promised
}

// New returns the table of a process that started at startedAt and has not observed
// any record yet.
func New(cfg Config, self membership.Member, startedAt time.Time) *Table {
	t := &Table{
		cfg:            cfg,
		self:           self,
		startedAt:      startedAt,
		byName:         make(map[string]*unit, len(cfg.Units)),
		members:        make(map[string]membership.Member),
		memberSince:    make(map[string]time.Time),
		noStoreContact: map[string]bool{},
		absentSince:    make(map[string]time.Time),
		unlistedSince:  make(map[string]time.Time),
		listed:         make(map[string]bool),
	}
	for _, name := range cfg.Units {
		u := &unit{name: name, receivedPromises: make(map[Successor]time.Time)}
		t.units = append(t.units, u)
		t.byName[name] = u
	}
	return t
}

// Holds reports whether this process may act for the unit at time now, and the
// epoch under which it acts.
func (t *Table) Holds(now time.Time, name string) (epoch uint64, ok bool) {
	u := t.byName[name]
	if u == nil || !u.held {
		return 0, false
	}
	if !now.Before(t.storeTermEnd) && !now.Before(u.promiseTermEnd) {
		return 0, false
	}
	return u.record.Epoch, true
}

// TermEnd returns the time until which this process may act for the unit unless
// the term is extended, and the zero time if it does not hold the unit.
func (t *Table) TermEnd(name string) time.Time {
	u := t.byName[name]
	if u == nil || !u.held {
		return time.Time{}
	}
	return t.termEnd(u)
}

func (t *Table) termEnd(u *unit) time.Time {
	if u.promiseTermEnd.After(t.storeTermEnd) {
		return u.promiseTermEnd
	}
	return t.storeTermEnd
}

// Record returns the newest known record of the unit, and whether one is known.
func (t *Table) Record(name string) (Record, bool) {
	u := t.byName[name]
	if u == nil {
		return Record{}, false
	}
	return u.record, u.record.Revision > 0
}

// ObserveRecord applies a record that was read from the store. It ignores a record that
// is not newer than the known one, so watch batches, lists and replies may arrive in
// any order.
func (t *Table) ObserveRecord(now time.Time, r Record) {
	u := t.byName[r.Unit]
	if u == nil || r.Revision <= u.record.Revision {
		return
	}
	t.expireTerms(now)
	changed := u.record.Owner != r.Owner || u.record.Epoch != r.Epoch
	if changed && u.held {
		t.markLost(now, u, ReasonTaken)
	}
	if changed {
		u.releasing, u.forced = false, false
	}
	if u.held {
		t.queuedActions = append(t.queuedActions, RevisionChanged{Unit: u.name, Revision: r.Revision})
	}
	u.record = r
	if u.pending != nil && r.Revision > u.pending.expectedRevision {
		u.supersedePending()
	}
	t.updatePromiseTermEnd(u)
}

// ObserveThrough reports that every change of the store up to the revision has been
// passed to ObserveRecord and ObserveMembers. It is called after a complete list or a
// watch batch, also after one without changes.
func (t *Table) ObserveThrough(now time.Time, revision int64) {
	t.expireTerms(now)
	t.observedRevision = max(t.observedRevision, revision)
	t.updateStoreTermEnd()
}

func (t *Table) ownsRecord(u *unit) bool {
	return u.record.Revision > 0 && u.record.Owner == t.self.Incarnation
}
