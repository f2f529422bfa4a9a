package control

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestNeverFitsRequiresWorkerReports guards against accepted work that is refused permanently
// because its owner has just taken over the partition and no worker has reported its capacity yet.
func TestNeverFitsRequiresWorkerReports(t *testing.T) {
	h := newHarness(12, 4, 1)
	w := h.state.owner
	name := w.workers["w0"].partition
	epoch := w.partitions[name].epoch
	place := func(key string, cpu int64) *errkind.Error {
		spec := gangSpec
		spec.Kind, spec.Count, spec.IdempotencyKey, spec.Size.CPUMilli = task.Durable, 1, key, cpu
		return w.admit(Placement{Attempt: task.Attempt{Task: task.ID("team-0/s/" + key + "/0"), Number: 1}, Partition: name, Epoch: epoch, Spec: spec})
	}
	const tooLarge = 1_000_000
	reported := map[task.ID]string{}
	h.dropEffect = func(e Effect) bool {
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
		w.acquirePartition(other, w.partitions[other].epoch, h.revision)
	}
	if err := place("fits", 250); err != nil {
		t.Errorf("refused before any worker has reported: %v", err)
	}
	if err := place("large", tooLarge); err != nil {
		t.Errorf("refused before any worker has reported: %v", err)
	}
	for range 200 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.apply(Tick{})
	}
	if err := place("larger", tooLarge); err == nil || err.Kind != errkind.NeverFits {
		t.Errorf("admission of a task larger than every worker after all have reported: %v, want %s", err, errkind.NeverFits)
	}
	if reason := reported["team-0/s/large/0"]; reason != string(errkind.NeverFits) {
		t.Errorf("outcome reason of the queued oversized task = %q, want %s", reason, errkind.NeverFits)
	}
}
