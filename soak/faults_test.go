package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/mulberrydrum/mulberrydrum/platform/platformtest"
)

// injectFault injects one random fault, waits until it ends, and then up to 700 ms.
func (h *harness) injectFault(rng *rand.Rand) {
	pause := time.Duration(200+rng.IntN(3000)) * time.Millisecond
	switch rng.IntN(9) {
	case 0, 1, 2, 3:
		h.injectNodeFault(rng, pause)
	case 4, 5:
		h.injectStoreFault(rng, pause)
	case 6, 7:
		h.injectWorkerFault(rng, pause)
	case 8:
		h.cutZone(rng.IntN(zones), 4*pause)
	}
	time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
}

// injectNodeFault affects the owner or a random instance.
func (h *harness) injectNodeFault(rng *rand.Rand, pause time.Duration) {
	n := h.nodes[rng.IntN(len(h.nodes))]
	if owner := h.owner(); owner != nil && rng.IntN(2) == 0 {
		n = owner
	}
	if !n.fault.TryLock() {
		return // another fault affects it
	}
	defer n.fault.Unlock()
	defer n.disruption.begin()()
	switch rng.IntN(8) {
	case 0:
		n.restart(syscall.SIGKILL, pause/2)
	case 1:
		n.restart(syscall.SIGTERM, 0)
	case 2:
		n.freeze(pause)
	case 3:
		n.freeze(2 * pause)
	case 4:
		n.storeDenied.Store(true)
		time.Sleep(pause)
		n.storeDenied.Store(false)
	case 5:
		n.slowDown(2 * pause)
	case 6:
		n.storeMuted.Store(true)
		time.Sleep(3 * pause)
		n.storeMuted.Store(false)
	case 7:
		n.holdUpStore(2 * pause)
	}
}

func (h *harness) injectStoreFault(rng *rand.Rand, pause time.Duration) {
	defer h.storeDisruption.begin()()
	switch rng.IntN(4) {
	case 0:
		h.store.SetFaults(platformtest.StoreFaults{Refuse: true})
		time.Sleep(pause)
	case 1:
		h.store.SetFaults(platformtest.StoreFaults{Silent: true})
		time.Sleep(pause)
	case 2:
		h.store.SetFaults(platformtest.StoreFaults{DropWriteResponses: 1 + rng.IntN(5), UnconfirmedWriteDelay: time.Duration(rng.IntN(3)) * time.Second})
		return
	case 3:
		h.store.SetFaults(platformtest.StoreFaults{Slow: time.Duration(rng.IntN(300)) * time.Millisecond})
		time.Sleep(pause)
	}
	h.store.SetFaults(platformtest.StoreFaults{})
}

// injectWorkerFault affects the worker of a random host.
func (h *harness) injectWorkerFault(rng *rand.Rand, pause time.Duration) {
	index := rng.IntN(len(h.hosts))
	on, kind := h.hosts[index], rng.IntN(6)
	if !on.Fault.TryLock() {
		return // another fault affects it
	}
	defer on.Fault.Unlock()
	from := time.Now()
	defer func() {
		h.t.Logf("seed %d: fault %d of host %d (%s) from %s to %s", h.seed, kind, index, on.Address, from.Format(timeFormat), time.Now().Format(timeFormat))
	}()
	switch kind {
	case 0:
		on.Worker().DropStartResponses(1 + rng.IntN(3))
	case 1: // it restarts at once
		h.startWorker(on, on.Crash())
	case 2:
		id := on.Crash()
		time.Sleep(pause)
		h.startWorker(on, id)
	case 3: // another worker starts
		on.Crash()
		time.Sleep(pause)
		h.startWorker(on, h.newWorkerID(index))
	case 4:
		on.Cut()
		time.Sleep(3 * pause)
		on.Heal()
	case 5: // it restarts behind the cut
		on.Cut()
		time.Sleep(pause / 2)
		h.startWorker(on, on.Crash())
		time.Sleep(pause / 2)
		on.Heal()
	}
}

// cutZone cuts a zone off from the other zones, the store, and the advice service, unless other
// faults affect it.
func (h *harness) cutZone(zone int, d time.Duration) {
	for _, n := range h.nodes {
		if n.zone() != zone {
			continue
		}
		if !n.fault.TryLock() {
			return
		}
		defer n.fault.Unlock()
		defer n.disruption.begin()()
	}
	for i, on := range h.hosts {
		if i%zones != zone {
			continue
		}
		if !on.Fault.TryLock() {
			return
		}
		defer on.Fault.Unlock()
		on.SetStoreCut(true)
		defer on.SetStoreCut(false)
	}
	from := time.Now()
	h.network.setCut(zone, true)
	time.Sleep(d)
	h.network.setCut(zone, false)
	h.t.Logf("seed %d: z%d was cut off from %s to %s", h.seed, zone, from.Format(timeFormat), time.Now().Format(timeFormat))
}
