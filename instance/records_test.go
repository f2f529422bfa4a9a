package instance

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

func mustPut(t *testing.T, s store.Store, key string, record any) int64 {
	t.Helper()
	value, err := job.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	result, err := s.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
	if err != nil || !result.Succeeded {
		t.Fatalf("put %s: %+v %v", key, result, err)
	}
	return result.Revision
}

// TestSweep guards against records that are never removed, and against the removal of
// a record within its retention period.
func TestSweep(t *testing.T) {
	s := storetest.NewMemory(storetest.Config{}).Client("e1")
	now := time.Now()
	ownership := mustPut(t, s, keyOwner, cell.Owner{Instance: "e1"})
	for i := range 70 {
		mustPut(t, s, finalKey(job.ID(fmt.Sprintf("old%d", i))), job.Final{State: job.Completed, FinishedAt: now.Add(-finalRetention - time.Minute)})
	}
	mustPut(t, s, finalKey("new"), job.Final{State: job.Failed, FinishedAt: now.Add(-3 * time.Minute)})
	mustPut(t, s, jobKey("open"), job.Job{ID: "open"})
	mustPut(t, s, cancelKey("open"), struct{}{})
	mustPut(t, s, cancelKey("ended"), struct{}{})
	if removed, err := sweepRecords(t.Context(), s, ownership+1, now); removed != 0 || err != nil {
		t.Errorf("a former owner removed %d records, %v", removed, err)
	}
	if removed, err := sweepRecords(t.Context(), s, ownership, now); removed != 71 || err != nil {
		t.Errorf("removed %d records, %v; want 71", removed, err)
	}
	for key, want := range map[string]bool{finalKey("new"): true, jobKey("open"): true, cancelKey("open"): true, cancelKey("ended"): false, finalKey("old3"): false} {
		if _, found, _, err := s.Get(t.Context(), key); found != want || err != nil {
			t.Errorf("%s exists: %v, want %v (error %v)", key, found, want, err)
		}
	}
}

func newInstance(s store.Store) *Instance {
	registry := metrics.NewRegistry()
	return New(Config{Name: "e1", Incarnation: "p1", Store: s, Metrics: registry, Journal: NewJournal(io.Discard, registry), Timing: DefaultTiming(), Directory: emptyDirectory{}})
}

// TestCommitConditions guards against a commit of a former owner that takes effect,
// against a late copy of a commit that takes effect after a newer one, and against a
// commit whose response was lost being mistaken for that of another owner.
func TestCommitConditions(t *testing.T) {
	s := storetest.NewMemory(storetest.Config{}).Client("e1")
	i := newInstance(s)
	ownership := mustPut(t, s, keyOwner, cell.Owner{Instance: "e1"})
	e := cell.CommitRecords{OwnerRevision: ownership, Commit: schedule.Commit{Stream: 2, Changes: []schedule.Change{{Job: "a", Progress: &job.Progress{Started: true}}}}}
	sequenceValue := func(e cell.CommitRecords) []byte {
		b, err := job.Encode(sequenceRecord{Incarnation: "p1", PreviousRevision: e.Sequence})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	commit := func(e cell.CommitRecords) store.TxnResult {
		t.Helper()
		txn, err := encodeCommit(e, sequenceValue(e))
		if err != nil {
			t.Fatal(err)
		}
		result, err := s.Commit(t.Context(), txn)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	first := commit(e)
	if !first.Succeeded {
		t.Fatal("the first commit was refused")
	}
	again := commit(e)
	if done := i.classifyRefusedCommit(e, again.Current, sequenceValue(e)); again.Succeeded || done.Lost || done.Sequence != first.Revision {
		t.Errorf("repeated commit: %+v, classified as %+v", again, done)
	}
	next := e
	next.Sequence = first.Revision
	next.Commit.Changes = []schedule.Change{{Job: "a", Final: &job.Final{State: job.Completed}, HadProgress: true}}
	if !commit(next).Succeeded {
		t.Error("the next commit was refused")
	}
	if late := commit(e); late.Succeeded {
		t.Error("a late copy of the first commit took effect")
	}
	if _, found, _, _ := s.Get(t.Context(), progressKey("a")); found {
		t.Error("the progress record of an ended job was not deleted")
	}
	mustPut(t, s, keyOwner, cell.Owner{Instance: "e2"})
	former := next
	former.Sequence = 0
	former.Commit.Stream = 1
	refused := commit(former)
	if done := i.classifyRefusedCommit(former, refused.Current, sequenceValue(former)); refused.Succeeded || !done.Lost {
		t.Errorf("commit of a former owner: %+v, classified as %+v", refused, done)
	}
}

// TestRecovery guards against a new owner that misses a job, its progress or its
// cancellation.
func TestRecovery(t *testing.T) {
	s := storetest.NewMemory(storetest.Config{}).Client("e1")
	i := newInstance(s)
	mustPut(t, s, jobKey("a"), job.Job{ID: "a"})
	mustPut(t, s, jobKey("b"), job.Job{ID: "b"})
	mustPut(t, s, cancelKey("b"), struct{}{})
	mustPut(t, s, progressKey("a"), job.Progress{Started: true, Failed: map[string]job.Failures{"0.0.0": {7}}})
	mustPut(t, s, keyRoster, []schedule.RosterEntry{{Worker: "w1"}})
	sequence := mustPut(t, s, sequenceKey(3), sequenceRecord{Incarnation: "p0"})
	r, err := i.readRecovery(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Jobs) != 2 || r.Jobs[0].Progress == nil || len(r.Jobs[0].Progress.Failed["0.0.0"]) != 1 || !r.Jobs[1].Cancelled || r.Jobs[0].Cancelled {
		t.Errorf("recovered jobs: %+v", r.Jobs)
	}
	if len(r.Roster) != 1 || r.Sequences[3] != sequence || r.Sequences[0] != 0 || r.ReadRevision < sequence {
		t.Errorf("recovery: %+v", r)
	}
}

type emptyDirectory struct{}

// Workers implements Directory.
func (emptyDirectory) Workers(context.Context) ([]schedule.Worker, error) { return nil, nil }
