package keyring

import (
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

var start = time.Unix(1000, 0)

// TestAuthenticate guards against accepting a request without a key, with a key of another team, with
// a withdrawn key, or with stale key data.
func TestAuthenticate(t *testing.T) {
	r := NewRing()
	r.Apply(Key{ID: "k1", Team: "a", Role: "operator", Digest: DigestOf("one"), Revision: 5})
	r.Apply(Key{ID: "k2", Team: "a", Digest: DigestOf("two"), Revision: 6})
	r.Apply(Key{ID: "k1", Team: "b", Digest: DigestOf("three"), Revision: 7})
	r.Remove("a", "k2", 8)
	snapshot := r.Snapshot(start.Add(time.Second))
	for _, c := range []struct {
		team   task.Team
		secret string
		after  time.Duration
		want   errkind.Kind
	}{
		{"a", "one", 0, ""},
		{"a", "one", time.Second, errkind.KeyStale},
		{"a", "", 0, errkind.KeyMissing},
		{"b", "one", 0, errkind.KeyRefused},
		{"a", "three", 0, errkind.KeyRefused},
		{"c", "one", 0, errkind.KeyRefused},
		{"a", "two", 0, errkind.KeyWithdrawn},
	} {
		k, err := snapshot.Authenticate(start.Add(c.after), c.team, DigestOf(c.secret))
		var got errkind.Kind
		if err != nil {
			got = err.Kind
		}
		if got != c.want {
			t.Errorf("Authenticate for team %s with secret %q: error %q, want %q", c.team, c.secret, got, c.want)
		}
		if err == nil && k.Role != "operator" {
			t.Errorf("authenticated key = %+v, want the role operator", k)
		}
	}
}

// TestStaleStateDoesNotReinstateKeys guards against a delayed message or an old list reinstating a
// withdrawn key, and against a change to the ring modifying an existing snapshot.
func TestStaleStateDoesNotReinstateKeys(t *testing.T) {
	key := Key{ID: "k", Team: "a", Digest: DigestOf("one"), Revision: 5}
	r := NewRing()
	r.Apply(key)
	before := r.Snapshot(start)
	r.ReplaceAll(nil, 9)
	r.Apply(key)
	r.ReplaceAll([]Key{key}, 7)
	if !r.Snapshot(start).IsWithdrawn("a", "k") {
		t.Error("an older state reinstated the withdrawn key")
	}
	if before.IsWithdrawn("a", "k") {
		t.Error("a snapshot changed after it was taken")
	}
	key.Revision = 10
	r.Apply(key)
	if r.Snapshot(start).IsWithdrawn("a", "k") {
		t.Error("a key that was granted again is still withdrawn")
	}
}

// TestPromiseDelaysCommit guards against a configuration commit within the freshness period of a
// promise, or within ListLag after process start.
func TestPromiseDelaysCommit(t *testing.T) {
	f := NewFreshness(DefaultConfig(), start)
	if f.BeginCommit(start.Add(10 * time.Second)) {
		t.Error("BeginCommit permitted a commit within ListLag after the process start")
	}
	now := start.Add(time.Minute)
	if f.PromiseNoCommit(now, true) || !f.PromiseNoCommit(now, false) {
		t.Error("the promise was granted with store contact, or refused without it")
	}
	if f.BeginCommit(now.Add(5 * time.Second)) {
		t.Error("BeginCommit permitted a commit within the freshness period of a promise")
	}
	if !f.BeginCommit(now.Add(6*time.Second)) || f.PromiseNoCommit(now.Add(6*time.Second), false) {
		t.Error("BeginCommit refused a commit after the promise, or a promise was granted during the commit")
	}
}
