package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// eventQueueLength bounds the event queue of the control goroutine. Senders block when
// it is full: the backpressure slows traffic down and not the control goroutine.
const eventQueueLength = 4096

// urgentQueueLength bounds the queue of urgent events, of which there are some dozens per second.
const urgentQueueLength = 256

// requestQueueLength bounds the request queue; the callers time out within a second.
const requestQueueLength = 256

// Loop owns a State: only the goroutine in Run accesses it.
type Loop struct {
	state     *State
	urgent    chan Event // events that restrict what the owner may do, which have priority
	events    chan Event
	requests  chan Event // requests, which have lower priority than events
	snapshot  atomic.Pointer[Snapshot]
	renewal   atomic.Pointer[time.Time] // see Contact
	request   atomic.Pointer[time.Time] // see Contact
	followers followers
	execute   func(Effect)
	now       func() time.Time

	forgotAt        time.Time // when former followers were last forgotten
	leaseValidSince time.Time // since when the lease has been valid without interruption; zero if it may have expired

	lastToken      atomic.Uint64
	waitingCallers sync.Map // chan Reply of each waiting caller, by token

	applyTime metrics.Histogram
}

// NewLoop returns a loop for a state. Effects other than answers are passed to
// execute, which is called on the control goroutine and must not block.
func NewLoop(state *State, registry metrics.Registry, execute func(Effect)) *Loop {
	const (
		// Reservoir size and decay factor that go-metrics recommends for a sample that
		// is weighted toward the last five minutes.
		sampleSize  = 1028
		sampleDecay = 0.015
	)
	l := &Loop{state: state, urgent: make(chan Event, urgentQueueLength), events: make(chan Event, eventQueueLength), requests: make(chan Event, requestQueueLength), execute: execute}
	l.applyTime = metrics.NewRegisteredHistogram("control.apply_us", registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	l.now = state.cfg.Now
	if l.now == nil {
		l.now = time.Now
	}
	l.snapshot.Store(state.Snapshot())
	l.renewal.Store(&time.Time{})
	l.request.Store(&time.Time{})
	return l
}

// Snapshot returns the latest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// QueuedEvents returns how many events wait for the control goroutine.
func (l *Loop) QueuedEvents() int { return len(l.events) }

// Post sends an event to the control goroutine. The event is dropped if ctx is done first.
func (l *Loop) Post(ctx context.Context, e Event) {
	queue := l.events
	if isUrgent(e) {
		queue = l.urgent
	}
	select {
	case queue <- e:
	case <-ctx.Done():
	}
}

// processed is an event whose sender waits until it has been applied.
type processed struct {
	Event
	done chan struct{}
}

// PostAndWait sends an event to the control goroutine and returns when that has applied it, or when ctx is done.
func (l *Loop) PostAndWait(ctx context.Context, e Event) {
	waiting := processed{Event: e, done: make(chan struct{})}
	l.Post(ctx, waiting)
	select {
	case <-waiting.done:
	case <-ctx.Done():
	}
}

// isUrgent reports whether an event precedes all others: it may restrict where and what the owner
// starts, or end its ownership. An owner that falls behind must not act on what was true seconds ago.
// JobsObserved delivers cancellations; jobs are in the same event, since a cancellation must not
// precede its job.
func isUrgent(e Event) bool {
	switch e := e.(type) {
	case processed:
		return isUrgent(e.Event)
	case CatalogRead, EvacuationsRead, DirectoryRead, JobsObserved, OwnerObserved, RenewDone, ShutdownRequested, StoreUnavailable:
		return true
	default:
		return false
	}
}

// RecordRenewal records when a successful renewal of the ownership lease was sent.
func (l *Loop) RecordRenewal(sentAt time.Time) { l.renewal.Store(&sentAt) }

// RecordFollower records that another instance follows this one as the owner. The instance had received
// a view of the owner when it sent the request, so it still followed the owner at the time of that
// view. The time of arrival proves nothing: a request may have waited while this process was stopped.
func (l *Loop) RecordFollower(r ViewRequest, now time.Time) {
	s := l.Snapshot()
	if !s.IsOwner {
		return
	}
	at := time.Time{}
	if r.Epoch == s.OwnershipRevision && r.OwnerTime > 0 && r.OwnerTime <= now.Sub(s.OwnedSince) {
		at = s.OwnedSince.Add(r.OwnerTime)
	}
	l.followers.observe(s.OwnershipRevision, r.Instance, now, at)
	if at.After(*l.request.Load()) {
		l.request.Store(&at)
	}
}

// contactAt returns the contact of this instance. The followers are compared only when the lease of the
// ownership record may have expired.
func (l *Loop) contactAt(now time.Time) Contact {
	contact := Contact{Renewal: *l.renewal.Load(), Request: *l.request.Load()}
	if l.state.core == nil {
		return contact
	}
	if l.state.isLeaseValid(now, contact.Renewal) {
		if l.leaseValidSince.IsZero() {
			l.leaseValidSince = now
		}
		if now.Sub(l.forgotAt) >= time.Second && now.Sub(l.leaseValidSince) >= followerMemory {
			l.forgotAt = now
			l.followers.forget(now.Add(-followerMemory))
		}
		return contact
	}
	l.leaseValidSince = time.Time{}
	contact.SilentFollowers = l.followers.silent(l.state.ownershipRevision, now.Add(-l.state.cfg.FollowerTimeout))
	return contact
}

// Call sends a request to the control goroutine and waits for the reply.
func (l *Loop) Call(ctx context.Context, request any) (Reply, error) {
	token := l.lastToken.Add(1)
	replies := make(chan Reply, 1)
	l.waitingCallers.Store(token, replies)
	defer l.waitingCallers.Delete(token)
	select {
	case l.requests <- RequestReceived{Token: token, Request: request}:
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Run applies events and requests until ctx is done. It skips requests whose caller no
// longer waits.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(l.tickInterval())
	defer timer.Stop()
	for {
		l.applyUrgent()
		select {
		case e := <-l.urgent:
			l.apply(e)
		case e := <-l.events:
			l.apply(e)
			l.applyQueued()
		case e := <-l.requests:
			if _, waiting := l.waitingCallers.Load(e.(RequestReceived).Token); waiting {
				l.apply(e)
			}
			l.applyQueued()
		case <-timer.C:
			l.apply(Tick{})
			timer.Reset(l.tickInterval())
		case <-ctx.Done():
			return nil
		}
	}
}

// applyQueued applies all queued events before the next request, so that a burst of
// requests does not delay the responses of workers and the store.
func (l *Loop) applyQueued() {
	for {
		l.applyUrgent()
		select {
		case e := <-l.events:
			l.apply(e)
		default:
			return
		}
	}
}

// applyUrgent applies all queued urgent events.
func (l *Loop) applyUrgent() {
	for {
		select {
		case e := <-l.urgent:
			l.apply(e)
		default:
			return
		}
	}
}

// tickInterval returns the time until the next Tick. It is longer on a follower, whose
// only timed work is to campaign when its delay has passed.
func (l *Loop) tickInterval() time.Duration {
	if l.Snapshot().IsOwner {
		return l.state.cfg.TickInterval
	}
	return l.state.cfg.FollowerTickInterval
}

func (l *Loop) apply(e Event) {
	if waiting, ok := e.(processed); ok {
		defer close(waiting.done)
		e = waiting.Event
	}
	started := l.now()
	l.state.SetContact(l.contactAt(started))
	effects := l.state.Apply(started, time.Now(), e)
	l.state.RecordProcessingTime(l.now().Sub(started))
	// The snapshot is published first, so that no effect runs against an older
	// snapshot than the state that produced it.
	if l.state.ResetChanged() {
		l.snapshot.Store(l.state.Snapshot())
	}
	for _, effect := range effects {
		if answer, ok := effect.(Answer); ok {
			l.deliver(answer)
			continue
		}
		l.execute(effect)
	}
	l.applyTime.Update(l.now().Sub(started).Microseconds())
}

func (l *Loop) deliver(a Answer) {
	if replies, ok := l.waitingCallers.LoadAndDelete(a.Token); ok {
		replies.(chan Reply) <- a.Reply
	}
}
