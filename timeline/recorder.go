package timeline

import (
	"sync"
	"time"
)

// MaxClockAhead is how far a received reading may be ahead of the local wall
// clock. Readings beyond it are not adopted: a peer with a wrong clock would
// otherwise move the time line of every process.
const MaxClockAhead = time.Minute

// Recorder keeps the latest events of one process. It is safe for concurrent
// use.
type Recorder struct {
	instance    string
	incarnation string
	capacity    int

	mu       sync.Mutex
	ring     []Event // grows to capacity, then wraps
	clock    Clock
	sequence uint64 // of the latest event
}

// NewRecorder returns a Recorder that keeps the latest capacity events.
func NewRecorder(instance, incarnation string, capacity int) *Recorder {
	return &Recorder{instance: instance, incarnation: incarnation, capacity: max(capacity, 1)}
}

// Record stamps e with the process, the next sequence number and the clock,
// keeps it and returns it.
func (r *Recorder) Record(now time.Time, e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Tick(now.Round(0))
	r.sequence++
	e.Instance, e.Incarnation = r.instance, r.incarnation
	e.Sequence, e.Clock = r.sequence, r.clock
	if len(r.ring) < r.capacity {
		r.ring = append(r.ring, e)
		return e
	}
	r.ring[r.slot(e.Sequence)] = e
	return e
}

// slot returns the place of an event in a full ring.
func (r *Recorder) slot(sequence uint64) int {
	return int((sequence - 1) % uint64(r.capacity))
}

// Receive takes note of the clock reading in a message from another process,
// so that later events of this process come after it.
func (r *Recorder) Receive(now time.Time, o Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Wall.Sub(now) > MaxClockAhead {
		return
	}
	r.clock = r.clock.Receive(now.Round(0), o)
}

// Now returns a reading to send in a message.
func (r *Recorder) Now(now time.Time) Clock {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = r.clock.Tick(now.Round(0))
	return r.clock
}

// Dropped returns how many events were overwritten.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence - uint64(len(r.ring))
}

// Events returns the kept events that match, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.sequence - uint64(len(r.ring)) + 1
	var found []Event
	for sequence := oldest; sequence <= r.sequence; sequence++ {
		if e := r.ring[r.slot(sequence)]; filter.Matches(e) {
			found = append(found, e)
		}
	}
	return filter.limit(found)
}
