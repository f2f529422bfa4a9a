package untrusted

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Limits of the cancellations of unknown jobs by one team, see docs/design/tombstones.md.
const (
	cancelsPerSecond = 5
	cancelBurst      = 60
)

// TestUnknownCancellations plays clients that cancel jobs that do not exist, as fast as they can: they must neither
// fill the store nor use up its calls, and the cancellations of another team must go on.
func TestUnknownCancellations(t *testing.T) {
	d := newDeployment(t)
	at := d.start(t)
	at.awaitOwner(t)
	watched := d.watch()
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	readsBefore, began := d.records.Calls("kv-key"), time.Now()
	done, stop := submitters{clients: 40, jobs: 60, body: func() string { return "" }, submit: cancelJob}.start(at)
	ordinary := 0
	for isDone := false; !isDone && at.running() && !t.Failed(); ordinary++ {
		at.awaitAnswer(t, "with the crowd connected")
		cancelOrdinary(t, client, at)
		select {
		case <-done:
			isDone = true
		default:
		}
	}
	sent := stop()
	elapsed := time.Since(began).Seconds()
	at.awaitCompletion(t)
	watched.check(t)
	t.Logf("%d cancellations refused, %d others, beside %d ordinary ones, in %.1f s", len(sent.refused), len(sent.unclear), ordinary, elapsed)
	allowed := cancelBurst + int(cancelsPerSecond*elapsed) + 1
	left := 0
	for _, record := range d.records.Keys("mulberrydrum/final/") {
		if bytes.Contains(d.records.Value(record), []byte(`"ts":`)) {
			left++
		}
	}
	if left > allowed {
		t.Errorf("the crowd left %d tombstones in the store, at most %d are allowed", left, allowed)
	}
	if len(sent.refused) == 0 {
		t.Error("no cancellation was refused")
	}
	// A cancellation takes two reads, or four if it finds that the records have changed. Jobs that the owner knows
	// take none.
	if reads := d.records.Calls("kv-key") - readsBefore; reads > 4*allowed {
		t.Errorf("%d reads of the store, at most %d are allowed", reads, 4*allowed)
	}
}

func cancelJob(client *http.Client, address, id, _ string) int {
	return call(client, address, "DELETE", crowdPath+id, crowdKey, "")
}

// cancelOrdinary submits a job of another team and cancels it.
func cancelOrdinary(t *testing.T, client *http.Client, at *target) {
	t.Helper()
	path := fmt.Sprintf("/shop/%016x", sentJobs.Add(1))
	for _, method := range []string{"POST", "DELETE"} {
		for deadline := time.Now().Add(startTimeout); call(client, at.address, method, path, key, jobBody) != http.StatusOK; time.Sleep(requestPause) {
			if time.Now().After(deadline) || !at.running() {
				t.Errorf("%s of an ordinary job is not acknowledged", method)
				return
			}
		}
	}
}
