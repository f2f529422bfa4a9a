package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// TestKeysInStoreOutage guards against keys that are refused during a total outage of the store
// although the members reach each other and the instance list.
func TestKeysInStoreOutage(t *testing.T) {
	for _, instances := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(t, instances, 2)
			defer d.close()
			time.Sleep(20 * time.Second) // until every unit has an owner
			d.injectStoreOutage(fault.Down)
			// The last read of the store suffices for one freshness interval; the loop runs for longer.
			for range 10 {
				time.Sleep(2 * time.Second)
				for _, n := range d.live() {
					if _, err := n.Snapshot().Keys.Authenticate(time.Now(), "leuven", keyring.DigestOf(testSecret)); err != nil {
						t.Fatalf("%d instances: %s rejects the key: %v", instances, n.cfg.Self.Instance, err)
					}
				}
			}
		})
	}
}

// TestDurableWorkInStoreOutage guards against a caller that waits for a commit which cannot succeed,
// and against refusing a repeated submission whose first one is recorded.
func TestDurableWorkInStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3, 2)
		defer d.close()
		time.Sleep(20 * time.Second)
		callers := &callerBackend{d.live()[0].engine}
		submit := func(key string) error {
			_, err := callers.Submit(t.Context(), testSecret, task.Spec{Team: "leuven", Service: "piping", Class: "check",
				IdempotencyKey: key, SubmittedAt: time.Now()}, 10*time.Second)
			return err
		}
		if err := submit("before"); err != nil {
			t.Fatal(err)
		}
		d.injectStoreOutage(fault.Down)
		time.Sleep(10 * time.Second)
		sentAt := time.Now()
		err := submit("during")
		if e := errkind.From(err); err == nil || e.Kind != errkind.StoreUnavailable || e.Fate() != errkind.FateNotRun {
			t.Errorf("new work: %v, want %s", err, errkind.StoreUnavailable)
		}
		if waited := time.Since(sentAt); waited > time.Second {
			t.Errorf("new work was refused after %s, want at most 1s", waited)
		}
		if err := submit("before"); err != nil {
			t.Errorf("repeated submission of recorded work: %v", err)
		}
	})
}
