package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

const shardName = "h/0"

// storeModel models the stored value of one shard. A write with an indeterminate
// outcome may take effect at any later time.
type storeModel struct {
	value    ShardValue
	revision int64
	delayed  []Write
}

func (m *storeModel) commit(w Write) bool {
	if w.Revision != m.revision {
		return false
	}
	m.revision++
	m.value = w.Value
	return true
}

func newHome(m *storeModel, incarnation string) *Ledger {
	cfg := DefaultConfig()
	cfg.FlushInterval = 0
	l := New(cfg, incarnation)
	l.Open(shardName, 1)
	l.ApplyLoaded(shardName, m.value, m.revision)
	return l
}

// newActiveHome returns a home whose first write has been stored.
func newActiveHome() (*storeModel, *Ledger) {
	m := &storeModel{}
	l := newHome(m, "e-1")
	w := l.Plan(time.Unix(1, 0))[0]
	m.commit(w)
	l.ApplyCommit([]Write{w}, m.revision)
	return m, l
}

func durableSpec(key string) task.Spec {
	return task.Spec{Team: "t", Service: "s", IdempotencyKey: key, Kind: task.AtMostOnce, Count: 1, PayloadDigest: "d"}
}

// TestCommittedIsNeverLost guards against a step that is released for a change that a
// later reader of the store does not find. It covers every outcome of a write, including
// indeterminate writes that take effect late.
func TestCommittedIsNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{}
		l := newHome(m, "e-1")
		released := map[string]bool{}
		now, jobs := time.Unix(0, 0), 0
		release := func(steps []PostCommitStep) {
			for _, s := range steps {
				released[s.Job.Key] = true
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "submit") && l.IsActive(shardName) {
				spec := durableSpec(fmt.Sprint(jobs))
				jobs++
				if _, _, err := l.Submit(now, shardName, spec, PostCommitStep{Job: KeyOf(&spec)}); err != nil {
					t.Fatal(err)
				}
			}
			for _, w := range l.Plan(now) {
				switch rapid.SampledFrom([]string{"stored", "reply lost", "late", "no effect"}).Draw(t, "outcome") {
				case "stored":
					if m.commit(w) {
						release(l.ApplyCommit([]Write{w}, m.revision))
						continue
					}
					steps, lost := l.ApplyConflict(w, m.value, m.revision)
					release(steps)
					if lost {
						t.Fatal("Conflicted reported another writer, but the shard has only one home")
					}
				case "reply lost":
					m.commit(w)
					l.ApplyFailure([]Write{w}, Unclear)
				case "late":
					m.delayed = append(m.delayed, w)
					l.ApplyFailure([]Write{w}, Unclear)
				default:
					l.ApplyFailure([]Write{w}, NoEffect)
				}
			}
			if len(m.delayed) > 0 && rapid.Bool().Draw(t, "late write takes effect") {
				m.commit(m.delayed[0])
				m.delayed = m.delayed[1:]
			}
		}
		next := newHome(m, "e-2")
		for key := range released {
			if _, found := next.Find(shardName, JobKey{Team: "t", Service: "s", Key: key}); !found {
				t.Fatalf("step of job %s was released, but the job is not in the store", key)
			}
		}
	})
}

// TestFormerHomeIsFenced guards against a former home whose write takes effect after
// the next home has taken the shard over.
func TestFormerHomeIsFenced(t *testing.T) {
	m, former := newActiveHome()
	spec := durableSpec("k")
	if _, _, err := former.Submit(time.Unix(0, 0), shardName, spec, PostCommitStep{Job: KeyOf(&spec)}); err != nil {
		t.Fatal(err)
	}
	delayed := former.Plan(time.Unix(2, 0))[0]

	next := newHome(m, "e-2")
	fence := next.Plan(time.Unix(3, 0))[0]
	if !m.commit(fence) {
		t.Fatal("the first write of the next home failed")
	}
	next.ApplyCommit([]Write{fence}, m.revision)
	if m.commit(delayed) {
		t.Error("a delayed write of the former home took effect")
	}
	if _, lost := former.ApplyConflict(delayed, m.value, m.revision); !lost {
		t.Error("the former home did not detect the write of the next home")
	}
}

// TestPermitAllowsOneWorker guards against an at-most-once attempt that is permitted on
// two workers or on two boots of one worker, and against its retry after an unknown
// outcome.
func TestPermitAllowsOneWorker(t *testing.T) {
	_, l := newActiveHome()
	spec := durableSpec("k")
	key := KeyOf(&spec)
	if _, _, err := l.Submit(time.Unix(0, 0), shardName, spec, PostCommitStep{Job: key}); err != nil {
		t.Fatal(err)
	}
	a, _, ok := l.Dispatch(shardName, key, 0, "w/r/0", PostCommitStep{Job: key})
	if !ok {
		t.Fatal("the task was not dispatched")
	}
	for _, c := range []struct {
		worker, boot string
		want         bool
	}{{"w1", "b1", true}, {"w1", "b1", true}, {"w2", "b1", false}, {"w1", "b2", false}} {
		if got := l.Permit(shardName, key, 0, a, c.worker, c.boot, PostCommitStep{Job: key}); got != c.want {
			t.Errorf("Permit on %s, boot %s = %v, want %v", c.worker, c.boot, got, c.want)
		}
	}
	o := task.Outcome{Attempt: a, State: task.Unknown, Reason: string(errkind.WorkerLost)}
	if verdict, _ := l.Finish(time.Unix(2, 0), shardName, key, 0, o, PostCommitStep{Job: key}); verdict != Final {
		t.Errorf("verdict on an unknown outcome = %v, want %v: at-most-once work must not be retried", verdict, Final)
	}
}

// TestTaskThatMayHaveRunIsNotReportedNotRun guards against a task that is reported as
// NotRun when its last attempt was not run but an earlier one may have been.
func TestTaskThatMayHaveRunIsNotReportedNotRun(t *testing.T) {
	_, l := newActiveHome()
	spec := durableSpec("k")
	spec.Kind = task.Durable
	key := KeyOf(&spec)
	if _, _, err := l.Submit(time.Unix(0, 0), shardName, spec, PostCommitStep{Job: key}); err != nil {
		t.Fatal(err)
	}
	a, _, _ := l.Dispatch(shardName, key, 0, "w/r/0", PostCommitStep{Job: key})
	l.Finish(time.Unix(2, 0), shardName, key, 0, task.Outcome{Attempt: a, State: task.Unknown, Reason: string(errkind.WorkerLost)}, PostCommitStep{Job: key})
	l.Cancel(time.Unix(3, 0), shardName, key, errkind.Cancelled, PostCommitStep{Job: key})
	if r, _ := l.Find(shardName, key); r.Tasks[0].State != task.Unknown {
		t.Errorf("state after an attempt with an unknown outcome and a cancellation = %s, want %s", r.Tasks[0].State, task.Unknown)
	}
}
