package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/errkind"
)

// eventQueueCapacity is the capacity of the event queue of the control goroutine. A full queue
// blocks the senders, which applies backpressure to traffic and does not delay control.
const eventQueueCapacity = 4096

// Loop owns a State. Only the goroutine that executes Run accesses it.
type Loop struct {
	state    *State
	events   chan Event
	snapshot atomic.Pointer[Snapshot]
	execute  func(Effect)
	tick     time.Duration

	tokens atomic.Uint64
	calls  sync.Map // waiting calls, from token (uint64) to chan PeerReply

	applyTime         metrics.Histogram
	allowanceRefusals atomic.Uint64
	shortWorkBytes    atomic.Int64
	placedWorkBytes   atomic.Int64
}

// NewLoop returns a loop for a state that receives a Tick at the given interval. Effects other than
// replies are passed to execute, which must not block.
func NewLoop(state *State, tick time.Duration, registry metrics.Registry, execute func(Effect)) *Loop {
	l := &Loop{state: state, events: make(chan Event, eventQueueCapacity), execute: execute, tick: tick}
	l.applyTime = metrics.NewRegisteredHistogram("control.apply_ns", registry, metrics.NewExpDecaySample(1028, 0.015))
	l.snapshot.Store(state.Snapshot())
	return l
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// QueuedEvents returns the number of events in the queue of the control goroutine.
func (l *Loop) QueuedEvents() int { return len(l.events) }

// AllowanceRefusals returns how often a start was refused because its team lacked allowance.
func (l *Loop) AllowanceRefusals() uint64 { return l.allowanceRefusals.Load() }

// WorkMemory returns the memory that short work takes at its home, and that placed work takes at its owner, in
// bytes.
func (l *Loop) WorkMemory() (short, placed int64) {
	return l.shortWorkBytes.Load(), l.placedWorkBytes.Load()
}

// Post sends an event to the control goroutine. It returns the error of ctx if ctx ends before the
// event is queued.
func (l *Loop) Post(ctx context.Context, e Event) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Call sends a request to the control goroutine and waits for the reply.
func (l *Loop) Call(ctx context.Context, from string, request PeerRequest) (PeerReply, error) {
	token := l.tokens.Add(1)
	replies := make(chan PeerReply, 1)
	l.calls.Store(token, replies)
	defer l.calls.Delete(token)
	if err := l.Post(ctx, PeerCall{Token: token, From: from, Request: request}); err != nil {
		return nil, errkind.New(errkind.QueueFull, "the control queue of this instance is full")
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		l.cancelCall(token)
		return nil, ctx.Err()
	}
}

// cancelCall cancels a waiting call. It does not block on a full queue, because the state also
// drops calls when their wait expires.
func (l *Loop) cancelCall(token uint64) {
	select {
	case l.events <- CallCancelled{Token: token}:
	default:
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case e := <-l.events:
			l.apply(e)
		case <-ticker.C:
			l.apply(Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Loop) apply(e Event) {
	started := time.Now()
	effects := l.state.Apply(started, e)
	// The snapshot is published before the effects are executed, so that an effect never runs
	// under an older term than the one under which it was decided.
	if l.state.ResetChanged() {
		l.snapshot.Store(l.state.Snapshot())
	}
	for _, effect := range effects {
		if reply, ok := effect.(Reply); ok {
			l.deliver(reply)
			continue
		}
		l.execute(effect)
	}
	l.allowanceRefusals.Store(l.state.owner.allowanceRefusals)
	l.shortWorkBytes.Store(l.state.home.ledger.MemoryOnlyStats().Bytes)
	l.placedWorkBytes.Store(l.state.owner.memory.Stats().Bytes)
	l.applyTime.Update(int64(time.Since(started)))
}

func (l *Loop) deliver(r Reply) {
	if waiting, ok := l.calls.LoadAndDelete(r.Token); ok {
		waiting.(chan PeerReply) <- r.Reply
	}
}
