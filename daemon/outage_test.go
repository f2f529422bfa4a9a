package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
)

// TestKeysInStoreOutage guards against keys that are refused in a total outage
// of the store while the members reach each other and the instance list.
func TestKeysInStoreOutage(t *testing.T) {
	for _, instances := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, instances, 2)
			defer w.close()
			time.Sleep(20 * time.Second) // until everything is owned
			w.storeDown(fault.Down)
			// The answer after one freshness may rest on the store, later ones may not.
			for range 10 {
				time.Sleep(2 * time.Second)
				for _, n := range w.live() {
					if _, err := n.Snapshot().Keys.Admit(time.Now(), "leuven", keyring.DigestOf(worldSecret)); err != nil {
						t.Fatalf("%d instances: %s refuses the key: %v", instances, n.cfg.Self.Instance, err)
					}
				}
			}
		})
	}
}
