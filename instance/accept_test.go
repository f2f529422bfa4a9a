package instance

import (
	"testing"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// TestBatchWithoutDuplicates guards against a transaction with the same key twice, which the store
// rejects as a whole, and against a writer that waits for itself when it puts a submission back into
// a full queue.
func TestBatchWithoutDuplicates(t *testing.T) {
	waiting := make(chan *pendingSubmission, 3)
	submission := func(id job.ID) *pendingSubmission { return &pendingSubmission{job: &job.Job{ID: id}} }
	for _, id := range []job.ID{"b", "b", "c"} {
		waiting <- submission(id)
	}
	batch, next := collectBatch(submission("a"), waiting)
	if len(batch) != 2 || batch[1].job.ID != "b" || next == nil || next.job.ID != "b" {
		t.Errorf("the batch has %d submissions, the next one is %v, want a and b, and b next", len(batch), next)
	}
	if batch, next = collectBatch(next, waiting); len(batch) != 2 || next != nil {
		t.Errorf("the second batch has %d submissions, the next one is %v, want b and c", len(batch), next)
	}
}
