package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/task"
)

func shortSpec(team, key string, payload int) task.Spec {
	return task.Spec{Team: task.Team(team), Service: "s", IdempotencyKey: key, Kind: task.Answer, Payload: make([]byte, payload), PayloadDigest: key}
}

// TestShortWorkMemory guards against a home that keeps the payloads and results of all short work that has ended,
// and against one that deletes work that has not ended.
func TestShortWorkMemory(t *testing.T) {
	const limit = 100_000
	_, l := newActiveHome()
	l.memoryOnly = newMemoryOnly(limit)
	now := time.Unix(0, 0)
	finish := func(key JobKey) {
		a, _, ok := l.Dispatch(shardName, key, 0, "p", PostCommitStep{})
		if verdict, _ := l.Finish(now, shardName, key, 0, task.Outcome{Attempt: a, State: task.Finished, Result: make([]byte, 10_000)}, PostCommitStep{}); !ok || verdict != Final {
			t.Fatalf("%s: verdict %v", key, verdict)
		}
	}
	submit := func(team, key string) (JobKey, *errkind.Error) {
		spec := shortSpec(team, key, 10_000)
		_, _, err := l.Submit(now, shardName, spec, PostCommitStep{})
		return KeyOf(&spec), err
	}
	waiting, err := submit("blue", "waiting")
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		now = now.Add(time.Second)
		key, err := submit("red", fmt.Sprint(n))
		if err != nil {
			t.Fatalf("job %d was refused although others have ended: %v", n, err)
		}
		finish(key)
		if r, found := l.Find(shardName, key); !found || r.Spec.Payload != nil || len(r.Tasks[0].Outcome.Result) != 10_000 {
			t.Fatalf("job %d has the record %+v, want its result without its payload", n, r)
		}
		if held := l.MemoryOnlyStats(); held.Bytes > limit {
			t.Fatalf("%+v are held", held)
		}
	}
	if _, found := l.Find(shardName, waiting); !found {
		t.Error("a job that has not ended was deleted")
	}
	if _, found := l.Find(shardName, JobKey{Team: "red", Service: "s", Key: "0"}); found {
		t.Error("the job that ended first was kept")
	}
	refused := 0
	for n := range 20 {
		if _, err := submit("red", fmt.Sprint("open", n)); err != nil {
			refused++
			if err.Kind != errkind.Overloaded || err.Fate() != errkind.FateNotRun || err.RetryAfter < time.Second {
				t.Errorf("refused with %+v", err)
			}
		}
	}
	if _, err := submit("green", "first"); refused == 0 || err != nil {
		t.Errorf("%d of 20 jobs of one team were refused; the first one of another team: %v", refused, err)
	}
}

// TestShortWorkReturnsMemory guards against memory that is not returned, whatever becomes of a job.
func TestShortWorkReturnsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 60_000
		_, l := newActiveHome()
		l.memoryOnly = newMemoryOnly(limit)
		now := time.Unix(0, 0)
		open := map[JobKey]task.Attempt{}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
			var key JobKey
			for k := range open {
				if key == (JobKey{}) || k.Key < key.Key {
					key = k
				}
			}
			switch operation := rapid.IntRange(0, 5).Draw(t, "operation"); {
			case operation < 2 || len(open) == 0:
				spec := shortSpec(rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), fmt.Sprintf("%03d", n), rapid.IntRange(0, 9000).Draw(t, "payload"))
				if _, _, err := l.Submit(now, shardName, spec, PostCommitStep{}); err == nil {
					open[KeyOf(&spec)], _, _ = l.Dispatch(shardName, KeyOf(&spec), 0, "p", PostCommitStep{})
				}
			case operation == 2:
				l.Finish(now, shardName, key, 0, task.Outcome{Attempt: open[key], State: task.Finished, Result: make([]byte, rapid.IntRange(0, 9000).Draw(t, "result"))}, PostCommitStep{})
				delete(open, key)
			case operation == 3:
				l.Finish(now, shardName, key, 0, task.Outcome{Attempt: open[key], State: task.Unknown}, PostCommitStep{})
				l.Finish(now, shardName, key, 0, task.Outcome{Attempt: open[key], State: task.Finished, Result: make([]byte, 9000)}, PostCommitStep{})
				delete(open, key)
			case operation == 4:
				l.DeleteMemoryOnly(now, key)
				delete(open, key)
			default:
				l.Expire(now)
			}
			for k := range open {
				if _, found := l.Find(shardName, k); !found {
					t.Fatalf("%s has not ended and was deleted", k)
				}
			}
		}
		for key := range open {
			l.Finish(now, shardName, key, 0, task.Outcome{Attempt: open[key], State: task.Finished}, PostCommitStep{})
		}
		l.Expire(now.Add(time.Hour))
		if held := l.MemoryOnlyStats(); held != (holding.Stats{Limit: limit}) || len(l.memoryOnly.ended)+len(l.memoryOnly.element)+len(l.memoryOnly.records) != 0 {
			t.Fatalf("%+v are left", held)
		}
	})
}
