package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/control"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/operator"
	"github.com/mulberrydrum/mulberrydrum/store"
)

// operatorBackend implements operator.Backend. The instance that receives a
// configuration change writes it to the store.
type operatorBackend struct{ *engine }

// inForcePollInterval is the interval at which a waiting call checks whether its change is in force
// at every member.
const inForcePollInterval = 50 * time.Millisecond

// commitConfig executes a transaction on the configuration. The control loop rejects it while this
// instance has promised other instances not to commit, and shortly after the start, when other
// instances may not yet list this one and therefore do not request its promise.
func (b *operatorBackend) commitConfig(ctx context.Context, txn store.Txn) (store.TxnResult, txnOutcome, error) {
	reply, err := b.loop.Call(ctx, b.cfg.Self.Instance, control.BeginConfigCommit{})
	if err != nil {
		return store.TxnResult{}, txnNoEffect, err
	}
	if !reply.(control.ConfigCommitReply).Allowed {
		return store.TxnResult{}, txnNoEffect, errkind.New(errkind.StoreUnavailable,
			"this instance has promised not to commit configuration changes, or has just started").WithRetryAfter(b.cfg.Control.KeyFreshness)
	}
	result, outcome := b.commit(ctx, txn)
	if outcome != txnUnclear {
		b.endCommit(ctx, result, outcome)
	}
	if outcome == txnNoEffect {
		return result, outcome, errkind.New(errkind.StoreUnavailable, "the store is unavailable or rejected the transaction; nothing was changed").WithRetryAfter(time.Second)
	}
	return result, outcome, nil
}

// endCommit reports the outcome of a commit to the control loop. It is not called for a commit whose
// outcome is unclear, since such a commit may still take effect at any time.
func (b *operatorBackend) endCommit(ctx context.Context, result store.TxnResult, outcome txnOutcome) {
	end := control.EndConfigCommit{}
	if outcome == txnStored {
		end.Revision = result.Revision
	}
	_, _ = b.loop.Call(context.WithoutCancel(ctx), b.cfg.Self.Instance, end)
}

// awaitInForce waits until a revision is in force at every member. It returns false on timeout.
func (b *operatorBackend) awaitInForce(ctx context.Context, revision int64, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for !isInForce(b.loop.Snapshot(), revision) {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, inForcePollInterval)
	}
	return true
}

func isInForce(s *control.Snapshot, revision int64) bool {
	for _, m := range s.Members {
		if s.InstanceRevisions[m.Instance] < revision {
			return false
		}
	}
	return s.Revision >= revision
}

// Drain starts or ends the drain of an entry instance or a worker.
func (b *operatorBackend) Drain(ctx context.Context, operatorName string, request api.DrainRequest) (api.DrainStatus, error) {
	name := request.Instance + request.Worker
	if err := b.checkDrain(ctx, request); err != nil {
		return api.DrainStatus{}, err
	}
	txn := store.Txn{Deletes: []string{store.DrainKey(name)}}
	if !request.Undo {
		value, err := store.Encode(map[string]string{"by": operatorName})
		if err != nil {
			return api.DrainStatus{}, err
		}
		txn = store.Txn{Puts: []store.Put{{Key: store.DrainKey(name), Value: value}}}
	}
	if _, outcome, err := b.commitConfig(ctx, txn); err != nil || outcome != txnStored {
		return api.DrainStatus{}, changeError(err)
	}
	return b.drainStatus(ctx, name, !request.Undo), nil
}

// checkDrain rejects the name of an unknown instance or worker, whose drain would have no effect
// and never complete. An unknown worker is accepted while a member does not respond, since the worker
// may belong to that member.
func (b *operatorBackend) checkDrain(ctx context.Context, request api.DrainRequest) error {
	if request.Undo {
		return nil
	}
	if request.Instance != "" {
		isNamed := func(m membership.Member) bool { return m.Instance == request.Instance }
		if slices.ContainsFunc(b.loop.Snapshot().Members, isNamed) {
			return nil
		}
		return errkind.New(errkind.InvalidRequest, "there is no entry instance %s", request.Instance).WithField("instance", "the name of a listed member")
	}
	overviews, missing := b.fetchOverviews(ctx)
	for _, o := range overviews {
		if slices.ContainsFunc(o.Workers, func(w control.WorkerView) bool { return w.Name == request.Worker }) {
			return nil
		}
	}
	if len(missing) > 0 {
		return nil
	}
	return errkind.New(errkind.InvalidRequest, "there is no worker %s", request.Worker).WithField("worker", "the name of a listed worker")
}

// changeError returns the error of a change that was not stored: err, or OutcomeUnknown if err is nil.
func changeError(err error) error {
	if err != nil {
		return err
	}
	return errkind.New(errkind.OutcomeUnknown, "the store did not confirm the change; check the current state and try again")
}

func (b *operatorBackend) drainStatus(ctx context.Context, name string, draining bool) api.DrainStatus {
	status := api.DrainStatus{Name: name, Draining: draining}
	overviews, _ := b.fetchOverviews(ctx)
	for _, o := range overviews {
		if o.Instance == name {
			status.Units = len(o.Units)
		}
		for _, w := range o.Workers {
			if w.Name == name {
				status.Tasks = w.Running
			}
		}
	}
	return status
}

// ForceOwnership makes this instance take over a unit of which an operator declares the owner and all
// successors lost.
func (b *operatorBackend) ForceOwnership(ctx context.Context, operatorName string, request api.ForceOwnershipRequest) (api.Ownership, error) {
	b.log.Warn("ownership forced", "unit", request.Unit, "by", operatorName, "reason", request.Reason)
	if err := b.loop.Post(ctx, control.OwnershipForced{Unit: request.Unit}); err != nil {
		return api.Ownership{}, err
	}
	ownership := b.cfg.Components.Ownership
	return api.Ownership{Unit: request.Unit, Owner: b.cfg.Self.Instance,
		TakeoverDelay: api.Duration(ownership.ListLag + ownership.PromiseWindow + ownership.LeaseTTL)}, nil
}

// fetchOverviews requests the overview of every member and returns the names of the members that
// did not respond.
func (b *operatorBackend) fetchOverviews(ctx context.Context) (found []control.Overview, missing []string) {
	members := b.loop.Snapshot().Members
	replies := make([]control.PeerReply, len(members))
	b.forEachMember(ctx, members, func(ctx context.Context, i int, m membership.Member) {
		replies[i], _ = b.callMember(ctx, control.Send{To: m, Request: control.OverviewRequest{}})
	})
	for i, reply := range replies {
		if o, ok := reply.(control.Overview); ok {
			found = append(found, o)
		} else {
			missing = append(missing, members[i].Instance)
		}
	}
	return found, missing
}

// Healthy returns an error if the control loop does not respond.
func (b *operatorBackend) Healthy(ctx context.Context) error {
	_, err := b.loop.Call(ctx, b.cfg.Self.Instance, control.OverviewRequest{})
	return err
}

// Ready returns an error if this instance should receive no requests.
func (b *operatorBackend) Ready(context.Context) error {
	s := b.loop.Snapshot()
	switch {
	case s.Draining:
		return errkind.New(errkind.Draining, "this instance is draining")
	case !s.Ready:
		return errkind.New(errkind.NoOwner, "this instance has no store lease or has not read the configuration yet")
	}
	return nil
}

var _ operator.Backend = (*operatorBackend)(nil)
