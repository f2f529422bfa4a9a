package storetest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// Memory is an in-memory store with fault injection. It starts no goroutines and waits only on
// timers, so that it is deterministic under testing/synctest.
type Memory struct {
	engine *Engine
	faults *fault.Table
	cfg    Config
}

// Config configures a Memory. Zero fields take the defaults of store.Config and Limits.
type Config struct {
	Limits          Limits
	CallTimeout     time.Duration
	ProgressTimeout time.Duration
}

// NewMemory returns an empty store without faults.
func NewMemory(cfg Config) *Memory {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = store.DefaultCallTimeout
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = store.DefaultProgressTimeout
	}
	return &Memory{engine: NewEngine(cfg.Limits), faults: fault.NewTable(Calls...), cfg: cfg}
}

// Client returns a client of the store for one instance, since a fault may be limited to an instance.
func (m *Memory) Client(instance string) store.Store { return &client{memory: m, instance: instance} }

// Faults returns the table of injected faults.
func (m *Memory) Faults() *fault.Table { return m.faults }

// Compact drops the history up to and including revision.
func (m *Memory) Compact(revision int64) error {
	var err error
	m.engine.Do(func(_ time.Time, machine *Machine) { err = machine.Compact(revision) })
	return err
}

// Close stops the expiry timer of the leases.
func (m *Memory) Close() { m.engine.Close() }

type client struct {
	memory   *Memory
	instance string
}

// errCallTimeout is the cancellation cause of a call that reached its deadline.
var errCallTimeout = errors.New("call timed out")

// call executes f under the active faults. A call that has timed out may still be executed later, as
// with a slow request to the real store.
func (c *client) call(ctx context.Context, kind string, f func(time.Time, *Machine) error) error {
	if err := context.Cause(ctx); err != nil {
		return fmt.Errorf("%w: %s not sent: %w", store.ErrUnavailable, kind, err)
	}
	effect := c.memory.faults.Apply(kind, c.instance)
	if effect.Down {
		return fmt.Errorf("%w: %s refused", store.ErrUnavailable, kind)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.memory.cfg.CallTimeout, errCallTimeout)
	defer cancel()
	if effect.Unreachable {
		<-ctx.Done()
		return fmt.Errorf("%w: %s: %w", store.ErrUnclear, kind, context.Cause(ctx))
	}
	done := make(chan error, 1)
	execute := func() {
		c.memory.faults.CountExecuted(kind)
		c.memory.engine.Do(func(now time.Time, m *Machine) { done <- f(now, m) })
	}
	if effect.Delay == 0 {
		execute()
	} else {
		time.AfterFunc(effect.Delay, execute)
	}
	select {
	case err := <-done:
		if effect.ReplyLost {
			return fmt.Errorf("%w: %s: connection closed without a reply", store.ErrUnclear, kind)
		}
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %s: %w", store.ErrUnclear, kind, context.Cause(ctx))
	}
}

// rangeResult is the result of a range call. Each call creates its own, so that a call that is
// executed after its deadline does not write to a value in use.
type rangeResult struct {
	kvs      []store.KeyValue
	revision int64
}

func (c *client) readRange(ctx context.Context, start, end string) (rangeResult, error) {
	result := make(chan rangeResult, 1)
	err := c.call(ctx, CallRange, func(_ time.Time, m *Machine) error {
		r := rangeResult{revision: m.Revision()}
		if end != "" {
			r.kvs = m.Range(start, end)
		} else if kv, found := m.Get(start); found {
			r.kvs = []store.KeyValue{kv}
		}
		result <- r
		return nil
	})
	if err != nil {
		return rangeResult{}, err
	}
	return <-result, nil
}
