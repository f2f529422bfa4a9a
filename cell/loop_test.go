package cell

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// TestCancellationsAreUrgent guards against an owner that falls behind and starts tasks of jobs whose
// cancellation it has already read.
func TestCancellationsAreUrgent(t *testing.T) {
	if !isUrgent(JobsObserved{Cancelled: []job.ID{"00000000000000a0"}}) {
		t.Error("a cancellation waits behind other events")
	}
	if !isUrgent(JobsObserved{Jobs: []Submission{{}}}) {
		t.Error("a cancellation may be applied before its job is known")
	}
}

// TestContactOfSlowOwner guards against an owner that takes itself for isolated because reports of its
// contacts wait behind other events.
func TestContactOfSlowOwner(t *testing.T) {
	l := NewLoop(New(DefaultConfig(self, 1)), metrics.NewRegistry(), func(Effect) {})
	l.Post(t.Context(), StoreSynced{})
	now := time.Now()
	l.state.ownershipRevision, l.state.ownedSince = 10, now.Add(-time.Minute)
	l.snapshot.Store(&Snapshot{IsOwner: true, OwnershipRevision: 10, OwnedSince: l.state.ownedSince})
	renewed, requested := now, now.Add(-time.Millisecond)
	l.RecordRenewal(renewed)
	l.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: requested.Sub(l.state.ownedSince)}, now)
	l.apply(Tick{})
	if contact := l.state.contact; contact.Renewal != renewed || contact.Request != requested {
		t.Errorf("the state knows of contact %v before the queued event is applied, want %v and %v", contact, renewed, requested)
	}
}

// TestUrgentEventsFirst guards against an owner that acts on old knowledge when it falls behind: a
// configuration, a list of workers or a change of the owner waits behind no backlog of other events.
func TestUrgentEventsFirst(t *testing.T) {
	const backlog = 1000
	queuedAtConfiguration := -1
	var l *Loop
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l = NewLoop(New(DefaultConfig(Owner{Instance: "a"}, 1)), metrics.NewRegistry(), func(e Effect) {
		if line, ok := e.(Log); ok && line.Event == "configuration" {
			queuedAtConfiguration = l.QueuedEvents()
			cancel()
		}
	})
	for i := range backlog {
		l.Post(ctx, StoreSynced{At: time.Unix(int64(i), 0)})
	}
	l.Post(ctx, CatalogRead{Catalog: job.NewCatalog(1, 1, nil, nil, nil)})
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if queuedAtConfiguration < backlog-1 {
		t.Errorf("%d of %d other events were queued when the configuration was applied, want it first", queuedAtConfiguration, backlog)
	}
}
