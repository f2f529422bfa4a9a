package ownership

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/membership"
)

// Table is the view of one process of all units. It is not safe for concurrent
// use. Times are readings of the monotonic clock of the process.
type Table struct {
	cfg       Config
	self      membership.Member
	startedAt time.Time
	faults    faults

	units  []*unit
	byName map[string]*unit

	members      map[string]membership.Member // by instance, as the store shows them
	memberList   []membership.Member
	memberSince  map[string]time.Time // incarnation: first observed in the present row of observations
	noContact    map[string]bool      // by instance: it said that it does not reach the store
	absentSince  map[string]time.Time // instance: not among the members since
	membersKnown bool
	listGone     map[string]time.Time // instance: missing from the instance list since
	listed       map[string]bool
	listAt       time.Time

	attached       bool      // a lease with the member key exists as far as is known
	attachRevision int64     // store revision at which the member key was written
	seen           int64     // every change up to this store revision has been observed
	storeSent      time.Time // before the last successful keepalive was sent
	storeEnd       time.Time // end of the store term
	storeFailing   bool      // the last keepalive failed

	lastMove time.Time
	queued   []Action // for the next Tick
}

// unit is the state of one worker partition or request shard.
type unit struct {
	name   string
	record Record

	held         bool      // Gained was reported and Lost was not
	gainedAt     time.Time // of the last gain
	lostAt       time.Time // of the last loss
	needsRead    bool      // a linearizable read must follow the loss
	needRevision int64     // what that read returned

	promises   map[Successor]time.Time // to this process: before the request was sent
	promiseEnd time.Time
	askedAt    time.Time

	promisedAt time.Time // by this process to any owner
	promised   bool

	pending   *pending
	retryAt   time.Time
	releasing bool
	forcedAt  time.Time
	forced    bool
}

// faults disables single safety rules. Only tests set it, to show that their
// checks notice the absence of each rule.
type faults struct {
	skipWindowWait      bool // take over without waiting for the own promise to lapse
	promiseUnresolved   bool // promise in spite of an unresolved write
	anyIncarnation      bool // give and count promises for another incarnation of the instance
	noDriftMargin       bool // count terms and waits without drift and margin
	termFromReply       bool // count terms from the reply instead of from before the send
	noMemberGuard       bool // take over without comparing the member key
	trustOldRecord      bool // act under a new lease before the records were observed again
	recordedOnly        bool // ask only the recorded successors while a new list is unresolved
	holdWhileHandedOver bool // keep the unit until the handover is confirmed
	emptyListPromises   bool // treat an empty list of successors as having promised
}

// New returns the table of a process that started at startedAt and knows
// nothing of the records yet.
func New(cfg Config, self membership.Member, startedAt time.Time) *Table {
	t := &Table{
		cfg:         cfg,
		self:        self,
		startedAt:   startedAt,
		byName:      make(map[string]*unit, len(cfg.Units)),
		members:     make(map[string]membership.Member),
		memberSince: make(map[string]time.Time),
		noContact:   map[string]bool{},
		absentSince: make(map[string]time.Time),
		listGone:    make(map[string]time.Time),
		listed:      make(map[string]bool),
	}
	for _, name := range cfg.Units {
		u := &unit{name: name, promises: make(map[Successor]time.Time)}
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
	if !now.Before(t.storeEnd) && !now.Before(u.promiseEnd) {
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
	if u.promiseEnd.After(t.storeEnd) {
		return u.promiseEnd
	}
	return t.storeEnd
}

// Record returns the newest known record of the unit. Its revision is 0 if none
// is known.
func (t *Table) Record(name string) (Record, bool) {
	u := t.byName[name]
	if u == nil {
		return Record{}, false
	}
	return u.record, u.record.Revision > 0
}

// Observe takes a record as read from the store. A record that is not newer
// than the known one is ignored, so the order of watch batches, lists and
// replies does not matter.
func (t *Table) Observe(now time.Time, r Record) {
	u := t.byName[r.Unit]
	if u == nil || r.Revision <= u.record.Revision {
		return
	}
	t.expire(now)
	changed := u.record.Owner != r.Owner || u.record.Epoch != r.Epoch
	if changed && u.held {
		t.lose(now, u, ReasonTaken)
	}
	if changed {
		u.releasing, u.forced = false, false
	}
	if u.held {
		t.queued = append(t.queued, Renewed{Unit: u.name, Revision: r.Revision})
	}
	u.record = r
	if u.pending != nil && r.Revision > u.pending.expect {
		u.settlePending()
	}
	t.updatePromiseEnd(u)
}

// ObserveThrough states that every change of the store up to the revision has
// been passed to Observe and ObserveMembers. It follows a complete list or a
// watch batch, with or without changes.
func (t *Table) ObserveThrough(now time.Time, revision int64) {
	t.expire(now)
	t.seen = max(t.seen, revision)
	t.updateStoreEnd()
}

func (t *Table) ownsRecord(u *unit) bool {
	return u.record.Revision > 0 && u.record.Owner == t.self.Incarnation
}
