package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestWorkDigest guards against a digest that differs for the same work, or is the same for other work.
func TestWorkDigest(t *testing.T) {
	text := rapid.SampledFrom([]string{"", "a", "aa"})
	number := rapid.Int64Range(0, 1)
	work := rapid.Custom(func(t *rapid.T) *Job {
		j := &Job{Queue: text.Draw(t, "queue"), Team: text.Draw(t, "team"), Spec: text.Draw(t, "spec"), Repeats: int(number.Draw(t, "repeats")),
			FirstAt: time.Unix(number.Draw(t, "first"), number.Draw(t, "ns")), Interval: time.Duration(number.Draw(t, "interval"))}
		for range 1 + number.Draw(t, "steps") {
			j.Steps = append(j.Steps, Step{Count: int(1 + number.Draw(t, "count")), Estimate: time.Duration(number.Draw(t, "estimate")),
				Size: task.Resources{CPUMilli: number.Draw(t, "cpu"), MemoryMB: number.Draw(t, "memory"), Accelerators: number.Draw(t, "accelerators")}})
		}
		return j
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := work.Draw(t, "a"), work.Draw(t, "b")
		b.AcceptedBy, b.AcceptedAt = "e1", time.Now()
		if a.SameWork(b) != (a.WorkDigest() == b.WorkDigest()) {
			t.Fatalf("same work: %v, digests %s and %s", a.SameWork(b), a.WorkDigest(), b.WorkDigest())
		}
		if c := *a; c.WorkDigest() != a.WorkDigest() {
			t.Fatal("the digest of a copy differs")
		}
	})
}
