package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/worker"
)

var errRefused = errors.New("connection refused")

// LocalWorkers implements worker.API for workers in the same process, without a network. Its errors
// and timeouts have the same meaning as those of worker.Client.
type LocalWorkers struct {
	// CallTimeout limits each call. NewLocalWorkers sets it to worker.DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxResultBytes limits results. NewLocalWorkers sets it to worker.DefaultMaxResultBytes.
	MaxResultBytes int64

	mu        sync.RWMutex
	byAddress map[worker.Address]*Worker
}

var _ worker.API = (*LocalWorkers)(nil)

// NewLocalWorkers returns an API for the given workers.
func NewLocalWorkers(byAddress map[worker.Address]*Worker) *LocalWorkers {
	return &LocalWorkers{
		CallTimeout:    worker.DefaultCallTimeout,
		MaxResultBytes: worker.DefaultMaxResultBytes,
		byAddress:      maps.Clone(byAddress),
	}
}

// Set assigns a worker to an address. If w is nil, the address refuses connections.
func (l *LocalWorkers) Set(address worker.Address, w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = make(map[worker.Address]*Worker)
	}
	l.byAddress[address] = w
}

func (l *LocalWorkers) workerAt(address worker.Address) *Worker {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byAddress[address]
}

// exchange makes one call with a timeout of CallTimeout plus wait. After a timeout the worker still
// executes the call, as it does with a request that has been sent over a network.
func exchange[T any](ctx context.Context, l *LocalWorkers, operation string, to worker.Address, wait time.Duration,
	f func(context.Context, *Worker) (T, error)) (T, error) {
	var zero T
	w := l.workerAt(to)
	if w == nil {
		return zero, worker.WrapNotRun(operation, errRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, l.CallTimeout+wait)
	defer cancel()
	type result struct {
		reply T
		err   error
	}
	results := make(chan result, 1)
	go func() {
		reply, err := f(ctx, w)
		results <- result{reply, err}
	}()
	select {
	case r := <-results:
		return r.reply, classify(operation, r.err)
	case <-ctx.Done():
		return zero, worker.WrapUnclear(operation, ctx.Err())
	}
}

// classify returns the error that worker.Client would return for err.
func classify(operation string, err error) error {
	var rejection *worker.Rejection
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejection):
		return rejection
	}
	return worker.WrapUnclear(operation, err)
}

// Sync implements worker.API.
func (l *LocalWorkers) Sync(ctx context.Context, to worker.Address, req worker.SyncRequest) (worker.SyncReply, error) {
	return exchange(ctx, l, "sync", to, 0, func(ctx context.Context, w *Worker) (worker.SyncReply, error) {
		return w.Sync(ctx, req)
	})
}

// Start implements worker.API.
func (l *LocalWorkers) Start(ctx context.Context, to worker.Address, req worker.StartRequest, check func() error) (worker.StartReply, error) {
	if check != nil {
		if err := check(); err != nil {
			return worker.StartReply{}, worker.WrapNotRun("start", err)
		}
	}
	return exchange(ctx, l, "start", to, req.OutcomeWait, func(ctx context.Context, w *Worker) (worker.StartReply, error) {
		return w.Start(ctx, req)
	})
}

// Lookup implements worker.API.
func (l *LocalWorkers) Lookup(ctx context.Context, at worker.Address, a task.Attempt) (worker.LookupReply, error) {
	return exchange(ctx, l, "lookup", at, 0, func(ctx context.Context, w *Worker) (worker.LookupReply, error) {
		return w.Lookup(ctx, a)
	})
}

// Result implements worker.API.
func (l *LocalWorkers) Result(ctx context.Context, from worker.Address, req worker.ResultRequest, dst io.Writer) error {
	type body struct {
		result []byte
		digest string
	}
	got, err := exchange(ctx, l, "result", from, 0, func(ctx context.Context, w *Worker) (body, error) {
		result, digest, err := w.Result(ctx, req.Attempt)
		return body{result, digest}, err
	})
	if err != nil {
		return err
	}
	if req.Digest == "" {
		req.Bytes, req.Digest = int64(len(got.result)), got.digest
	}
	if err := worker.CopyResult(dst, bytes.NewReader(got.result), req, l.MaxResultBytes); err != nil {
		return worker.WrapUnclear("result", err)
	}
	return nil
}

// Stop implements worker.API.
func (l *LocalWorkers) Stop(ctx context.Context, to worker.Address, req worker.StopRequest) (worker.LookupReply, error) {
	return exchange(ctx, l, "stop", to, 0, func(ctx context.Context, w *Worker) (worker.LookupReply, error) {
		return w.Stop(ctx, req)
	})
}

// Checkpoint implements worker.API.
func (l *LocalWorkers) Checkpoint(ctx context.Context, to worker.Address, req worker.CheckpointRequest) (worker.LookupReply, error) {
	return exchange(ctx, l, "checkpoint", to, 0, func(ctx context.Context, w *Worker) (worker.LookupReply, error) {
		return w.Checkpoint(ctx, req)
	})
}

// Throttle implements worker.API.
func (l *LocalWorkers) Throttle(ctx context.Context, to worker.Address, req worker.ThrottleRequest) (worker.LookupReply, error) {
	return exchange(ctx, l, "throttle", to, 0, func(ctx context.Context, w *Worker) (worker.LookupReply, error) {
		return w.Throttle(ctx, req)
	})
}
