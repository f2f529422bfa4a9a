package entry

import (
	"reflect"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/cell"
	"github.com/mulberrydrum/mulberrydrum/holding"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// TestAdmissionRoundTrip guards against a field of a decision or a view that is not encoded.
func TestAdmissionRoundTrip(t *testing.T) {
	reply := cell.Reply{Found: true, Admission: schedule.Admission{Rejected: true, Returned: true, Cause: "c", RetryAfter: 3 * time.Second, KnowsEnded: true}}
	if got := decodeAdmission(encodeAdmission(reply)); !reflect.DeepEqual(got, reply) {
		t.Errorf("got %+v, want %+v", got, reply)
	}
	if got := decodeAdmission(encodeAdmission(cell.Reply{NotOwner: true})); !got.NotOwner || got.Found {
		t.Errorf("not the owner: got %+v", got)
	}
	view := &schedule.View{Epoch: 1, Sequence: 2, Full: true, Changes: []schedule.Status{{Job: "a", State: job.Pending, Queue: "q", Team: "t"}},
		PendingJobs: map[string]int{"q": 3}, AdmittedShare: map[string]float64{"t": 0.5}, Restricted: []schedule.Pair{{Queue: "q", Team: "t"}},
		PollAfter: time.Second, OwnerTime: time.Minute, Allowance: holding.Allowance{Limited: true, Bytes: 7, Teams: []string{"t"}, Queues: []string{"q"}}}
	if field := zeroField(reflect.ValueOf(*view)); field != "" {
		t.Errorf("the sample does not set %s, so its encoding is not tested", field)
	}
	if got := decodeView(encodeView(view)); !reflect.DeepEqual(got, view) {
		t.Errorf("got %+v, want %+v", got, view)
	}
}
