package control

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestNeverFitsNeedsReports guards against accepted work that is refused for good
// because its owner has just taken over and no worker has reported its capacity.
func TestNeverFitsNeedsReports(t *testing.T) {
	b := newBench(12, 4, 1)
	w := b.state.owner
	name := w.workers["w0"].partition
	epoch := w.partitions[name].epoch
	place := func(key string, cpu int64) *errkind.Error {
		spec := gangSpec
		spec.Kind, spec.Count, spec.IdempotencyKey, spec.Size.CPUMilli = task.Durable, 1, key, cpu
		return w.admit(Placement{Attempt: task.Attempt{Task: task.ID("team-0/s/" + key + "/0"), Number: 1}, Partition: name, Epoch: epoch, Spec: spec})
	}
	const tooLarge = 1_000_000
	reported := map[task.ID]string{}
	b.dropped = func(e Effect) bool {
		send, ok := e.(Send)
		if !ok {
			return false
		}
		if report, isReport := send.Request.(ReportRequest); isReport {
			for _, r := range report.Reports {
				if r.Outcome != nil {
					reported[r.Attempt.Task] = r.Outcome.Reason
				}
			}
		}
		return false
	}
	for other := range w.partitions {
		w.gain(other, w.partitions[other].epoch, b.revision)
	}
	if err := place("fits", 250); err != nil {
		t.Errorf("refused before any worker has reported: %v", err)
	}
	if err := place("large", tooLarge); err != nil {
		t.Errorf("refused before any worker has reported: %v", err)
	}
	for range 200 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.apply(Tick{})
	}
	if err := place("larger", tooLarge); err == nil || err.Kind != errkind.NeverFits {
		t.Errorf("after all workers have reported, a task larger than each is answered with %v, want %s", err, errkind.NeverFits)
	}
	if reason := reported["team-0/s/large/0"]; reason != string(errkind.NeverFits) {
		t.Errorf("the task that waited is reported with reason %q, want %s", reason, errkind.NeverFits)
	}
}
