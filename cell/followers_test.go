package cell

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// TestFormerInstancesAfterSilence guards against an owner that forgets, with the first renewal after an
// outage, the instances that it has not heard during the outage: these may take over at once. The design
// counts followerMemory only while the lease is valid.
func TestFormerInstancesAfterSilence(t *testing.T) {
	h := newHarness(t)
	h.becomeReadyOwner()
	l := NewLoop(h.state, metrics.NewRegistry(), func(Effect) {})
	l.snapshot.Store(h.state.Snapshot())
	h.now = h.now.Add(5 * time.Second)
	l.RecordRenewal(h.now)
	l.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: h.now.Sub(h.state.ownedSince)}, h.now)
	l.contactAt(h.now)
	h.now = h.now.Add(followerMemory + time.Second) // the store is down and leases pause; e2 is cut off
	if silent := l.contactAt(h.now).SilentFollowers; len(silent) != 1 {
		t.Fatalf("silent instances %q during the outage, want e2", silent)
	}
	l.RecordRenewal(h.now) // the store is back for a moment
	l.contactAt(h.now)
	h.now = h.now.Add(2 * time.Second) // the owner is cut off from the store; e2 takes over
	if silent := l.contactAt(h.now).SilentFollowers; len(silent) != 1 {
		t.Errorf("silent instances %q after a renewal, want e2", silent)
	}
}

// TestLateRequestOfFormerOwnership guards against a request that was being recorded while the ownership
// changed, and that discards the followers of the current one.
func TestLateRequestOfFormerOwnership(t *testing.T) {
	var f followers
	now := time.Now()
	f.observe(20, "e2", now.Add(-5*time.Second), now.Add(-5*time.Second))
	f.observe(10, "e3", now, now)
	f.observe(20, "e4", now, now)
	if silent := f.silent(20, now.Add(-time.Second)); len(silent) != 1 {
		t.Errorf("silent instances %q, want e2", silent)
	}
}

// TestFollowerMemory guards against an owner that forgets, while its lease is valid, an instance that was cut
// off from it some seconds ago and may take over, and against one that never forgets a replaced instance.
func TestFollowerMemory(t *testing.T) {
	for _, c := range []struct {
		silentFor  time.Duration
		wantSilent int
	}{{2 * time.Second, 1}, {followerMemory - 2*time.Second, 1}, {followerMemory + 2*time.Second, 0}} {
		h := newHarness(t)
		h.becomeReadyOwner()
		l := NewLoop(h.state, metrics.NewRegistry(), func(Effect) {})
		l.snapshot.Store(h.state.Snapshot())
		h.now = h.now.Add(5 * time.Second)
		l.RecordFollower(ViewRequest{Instance: "e2", Epoch: 10, OwnerTime: h.now.Sub(h.state.ownedSince)}, h.now)
		for end := h.now.Add(c.silentFor); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
			l.RecordRenewal(h.now)
			l.contactAt(h.now)
		}
		h.now = h.now.Add(1600 * time.Millisecond) // the lease may have expired
		if silent := l.contactAt(h.now).SilentFollowers; len(silent) != c.wantSilent {
			t.Errorf("silent instances %q, %s after the last request, want %d", silent, c.silentFor, c.wantSilent)
		}
	}
}
