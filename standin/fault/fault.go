// Package fault holds the faults that a stand-in injects into the calls that it receives. The
// stand-ins for the store and the instance list, and the in-memory store of the tests, look up
// their Table once per call. Tests and the demo set the faults, directly or over HTTP.
package fault

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind identifies a kind of fault.
type Kind string

// The kinds of faults.
const (
	Down        Kind = "down"         // the call is refused at once and not executed
	Unreachable Kind = "unreachable"  // the call is accepted, never executed and never answered
	Slow        Kind = "slow"         // the call is executed after a delay
	ReplyLost   Kind = "reply_lost"   // the call is executed and the connection closed without a reply
	SilentWatch Kind = "silent_watch" // the watch stays open and delivers nothing
)

// Kinds lists every kind.
var Kinds = []Kind{Down, Unreachable, Slow, ReplyLost, SilentWatch}

// CallWatch is the only kind of call that SilentWatch affects.
const CallWatch = "watch"

// Fault is an injected fault. An empty Call or Instance matches all calls or instances. With a
// Count of 0, the fault applies until Set replaces it.
type Fault struct {
	Kind     Kind   `json:"kind"`
	Call     string `json:"call,omitempty"`     // kind of call
	Instance string `json:"instance,omitempty"` // calling instance
	Count    int    `json:"count,omitempty"`    // number of calls that the fault applies to; 0 for no limit
	DelayMS  int64  `json:"delay_ms,omitempty"` // for Slow
}

func (f Fault) matches(call, instance string) bool {
	if f.Kind == SilentWatch && call != CallWatch {
		return false
	}
	return (f.Call == "" || f.Call == call) && (f.Instance == "" || f.Instance == instance)
}

// Effect is the combined effect of all matching faults on one call.
type Effect struct {
	Down        bool
	Unreachable bool
	Delay       time.Duration
	ReplyLost   bool
	SilentWatch bool // a watch stays open and delivers nothing
}

func (e *Effect) add(f Fault) {
	switch f.Kind {
	case Down:
		e.Down = true
	case Unreachable:
		e.Unreachable = true
	case Slow:
		e.Delay += time.Duration(f.DelayMS) * time.Millisecond
	case ReplyLost:
		e.ReplyLost = true
	case SilentWatch:
		e.SilentWatch = true
	}
}

// Counters counts calls by kind.
type Counters struct {
	Received map[string]int64 `json:"received"` // includes calls that were not executed
	Executed map[string]int64 `json:"executed"`
}

// Table holds the faults of a peer and counts the calls to it. It is safe for concurrent use.
type Table struct {
	callKinds []string
	mu        sync.Mutex
	faults    []Fault
	counters  Counters
	changed   chan struct{} // closed and replaced by Set
}

// NewTable returns a table without faults for a peer with the given kinds of calls.
func NewTable(calls ...string) *Table {
	return &Table{
		callKinds: calls,
		counters:  Counters{Received: map[string]int64{}, Executed: map[string]int64{}},
		changed:   make(chan struct{}),
	}
}

// Set replaces all faults. If one of them is invalid it returns an error and changes nothing.
func (t *Table) Set(faults ...Fault) error {
	for i, f := range faults {
		if err := t.validate(f); err != nil {
			return fmt.Errorf("fault %d: %w", i, err)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = slices.Clone(faults)
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *Table) validate(f Fault) error {
	switch {
	case !slices.Contains(Kinds, f.Kind):
		return fmt.Errorf("unknown kind %q, known: %v", f.Kind, Kinds)
	case f.Call != "" && !slices.Contains(t.callKinds, f.Call):
		return fmt.Errorf("unknown call %q, known: %v", f.Call, t.callKinds)
	case f.Count < 0:
		return fmt.Errorf("count must not be negative, got %d", f.Count)
	case f.Kind == Slow && f.DelayMS <= 0:
		return fmt.Errorf("kind %q requires a positive delay_ms, got %d", f.Kind, f.DelayMS)
	case f.Kind != Slow && f.DelayMS != 0:
		return fmt.Errorf("kind %q does not support delay_ms, got %d", f.Kind, f.DelayMS)
	case f.Kind == SilentWatch && !slices.Contains(t.callKinds, CallWatch):
		return fmt.Errorf("kind %q requires a peer that supports call %q", f.Kind, CallWatch)
	case f.Kind == SilentWatch && f.Call != "" && f.Call != CallWatch:
		return fmt.Errorf("kind %q applies only to call %q, not to %q", f.Kind, CallWatch, f.Call)
	}
	return nil
}

// Faults returns the faults that are set.
func (t *Table) Faults() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.faults)
}

// Apply counts a received call and returns the effect of the matching faults on it. It decrements
// the counts of these faults and removes a fault when its count reaches 0.
func (t *Table) Apply(call, instance string) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Received[call]++
	var effect Effect
	kept := t.faults[:0]
	for _, f := range t.faults {
		if !f.matches(call, instance) {
			kept = append(kept, f)
			continue
		}
		effect.add(f)
		if f.Count != 1 {
			f.Count = max(0, f.Count-1)
			kept = append(kept, f)
		}
	}
	t.faults = kept
	return effect
}

// EffectOnOpenCall returns the effect of the faults without a count on a call that is already in
// progress, such as a watch, and a channel that is closed when the faults change.
func (t *Table) EffectOnOpenCall(call, instance string) (Effect, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var effect Effect
	for _, f := range t.faults {
		if f.Count == 0 && f.matches(call, instance) {
			effect.add(f)
		}
	}
	return effect, t.changed
}

// CountExecuted counts a call that is executed.
func (t *Table) CountExecuted(call string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Executed[call]++
}

// Counters returns a copy of the counters.
func (t *Table) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counters{
		Received: maps.Clone(t.counters.Received),
		Executed: maps.Clone(t.counters.Executed),
	}
}
