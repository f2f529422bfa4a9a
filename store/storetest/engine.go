package storetest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/store"
)

// ProgressInterval is the time between two progress notices of an idle watch.
const ProgressInterval = time.Second

// batchesPerMessage bounds the size of a message when a watch starts at an old revision.
const batchesPerMessage = 100

// Engine runs a Machine for concurrent callers: it expires leases according to the clock of the
// process and notifies watches. It starts no goroutines, so that it also works under testing/synctest.
type Engine struct {
	mu      sync.Mutex
	machine *Machine
	expiry  *time.Timer
	changed chan struct{} // closed and replaced at each change
}

// NewEngine returns an engine with an empty machine.
func NewEngine(limits Limits) *Engine {
	return &Engine{machine: NewMachine(limits), changed: make(chan struct{})}
}

// Do runs f on the machine after removing expired leases. f must not retain the machine.
func (e *Engine) Do(f func(now time.Time, m *Machine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.machine.Revision()
	now := time.Now()
	e.machine.Expire(now)
	f(now, e.machine)
	if e.machine.Revision() != before {
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.scheduleExpiry(now)
}

// scheduleExpiry sets the timer to the next expiry of a lease.
func (e *Engine) scheduleExpiry(now time.Time) {
	next, found := e.machine.NextExpiry()
	switch {
	case !found && e.expiry != nil:
		e.expiry.Stop()
	case found && e.expiry != nil:
		e.expiry.Reset(next.Sub(now))
	case found:
		e.expiry = time.AfterFunc(next.Sub(now), func() { e.Do(func(time.Time, *Machine) {}) })
	}
}

// Close stops the expiry timer of the leases.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expiry != nil {
		e.expiry.Stop()
	}
}

// WatchMessage is one message of a watch. Without batches it is a progress notice.
type WatchMessage struct {
	Revision int64 // of the store when the message was created
	Batches  []store.WatchBatch
}

// Watch passes the changes in a range to send until ctx is done, send returns an error, or the
// history no longer contains the next revision. check is called before each message, and each time
// that its channel is closed.
func (e *Engine) Watch(ctx context.Context, start, end string, from int64, check WatchCheck, send func(WatchMessage) error) error {
	ticker := time.NewTicker(ProgressInterval)
	defer ticker.Stop()
	noticeDue := false
	for {
		if ctx.Err() != nil {
			return fmt.Errorf("watch ended: %w", context.Cause(ctx))
		}
		checkChanged, err := check()
		if err != nil {
			return err
		}
		message, next, changed, err := e.changesSince(start, end, from)
		if err != nil {
			return err
		}
		if len(message.Batches) > 0 || noticeDue && message.Revision >= from-1 {
			if err := send(message); err != nil {
				return err
			}
		}
		noticeDue = false
		from = next
		if len(message.Batches) == batchesPerMessage {
			continue // there may be more batches
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-checkChanged:
		case <-ticker.C:
			noticeDue = true
		}
	}
}

// WatchCheck returns an error to end a watch, and otherwise a channel that is closed when its result
// may have changed.
type WatchCheck func() (<-chan struct{}, error)

func (e *Engine) changesSince(start, end string, from int64) (message WatchMessage, next int64, changed <-chan struct{}, err error) {
	e.Do(func(_ time.Time, m *Machine) {
		changed = e.changed // under the lock, so that no change is missed
		message.Revision = m.Revision()
		message.Batches, next, err = m.ChangesSince(start, end, from, batchesPerMessage)
	})
	return message, next, changed, err
}
