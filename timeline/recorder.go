package timeline

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxClockAhead is the maximum by which a received timestamp may be ahead of the
// local wall clock. Later timestamps are ignored: a peer with a wrong clock would
// otherwise advance the clock of every process.
const MaxClockAhead = time.Minute

// Recorder keeps the latest events of one process. It is safe for concurrent
// use. Readers take no lock: the control goroutine records events and must not
// wait while an operator's query scans the ring.
type Recorder struct {
	instance    string
	incarnation string
	ring        []atomic.Pointer[Event]

	mu       sync.Mutex    // serializes writers
	clock    Timestamp     // latest timestamp of this process
	sequence atomic.Uint64 // sequence number of the latest event
}

// NewRecorder returns a Recorder that keeps the latest capacity events.
func NewRecorder(instance, incarnation string, capacity int) *Recorder {
	return &Recorder{
		instance: instance, incarnation: incarnation,
		ring: make([]atomic.Pointer[Event], max(capacity, 1)),
	}
}

// Record sets the instance, the incarnation, the sequence number and the timestamp
// of e, stores it in the ring and returns it.
func (r *Recorder) Record(now time.Time, e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Tick(now.Round(0))
	e.Instance, e.Incarnation = r.instance, r.incarnation
	e.Sequence, e.Clock = r.sequence.Load()+1, r.clock
	r.slot(e.Sequence).Store(&e)
	r.sequence.Store(e.Sequence)
	return e
}

// slot returns the position of an event in the ring.
func (r *Recorder) slot(sequence uint64) *atomic.Pointer[Event] {
	return &r.ring[(sequence-1)%uint64(len(r.ring))]
}

// Receive advances the clock past the timestamp in a message from another process,
// so that later events of this process are ordered after the sending of the message.
func (r *Recorder) Receive(now time.Time, remote Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if remote.Wall.Sub(now) > MaxClockAhead {
		return
	}
	r.clock = r.clock.Receive(now.Round(0), remote)
}

// NextTimestamp advances the clock and returns a timestamp to send in a message.
func (r *Recorder) NextTimestamp(now time.Time) Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Tick(now.Round(0))
	return r.clock
}

// Dropped returns how many events were overwritten.
func (r *Recorder) Dropped() uint64 { return r.oldest(r.sequence.Load()) - 1 }

// oldest returns the sequence number of the oldest event in the ring when latest is
// that of the newest one.
func (r *Recorder) oldest(latest uint64) uint64 {
	return max(latest, uint64(len(r.ring))) - uint64(len(r.ring)) + 1
}

// Events returns the events in the ring that match filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	latest := r.sequence.Load()
	var found []Event
	for sequence := r.oldest(latest); sequence <= latest; sequence++ {
		e := r.slot(sequence).Load()
		wasOverwritten := e.Sequence != sequence
		if !wasOverwritten && filter.Matches(*e) {
			found = append(found, *e)
		}
	}
	return filter.truncate(found)
}
