package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

var randomSeeds = flag.Int("cell.seeds", 20, "number of random runs with zones that are cut off")
var firstSeed = flag.Int("cell.seed", 1, "first seed")

// TestRandomZoneCuts cuts off zones, the store and single links and freezes instances at random, for less
// than followerMemory, and guards against two runs of a task at once.
func TestRandomZoneCuts(t *testing.T) {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		m := randomZones(t, uint64(seed))
		if len(m.violations) > 0 {
			failed++
			if failed <= 3 {
				for _, l := range m.lines {
					t.Log(l)
				}
				for _, v := range m.violations {
					t.Errorf("seed %d: %s", seed, v)
				}
			} else {
				t.Errorf("seed %d: %s", seed, m.violations[0])
			}
		}
	}
}

func randomZones(t *testing.T, seed uint64) *takeoverModel {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a))) }
	const zones = 3
	m := newTakeoverModel(t, "w0", "w1", "w2")
	var all []*modelInstance
	for k := range 4 {
		i := m.join(fmt.Sprintf("e%d", k))
		i.pollInterval, i.cutFrom = 100*time.Millisecond, map[string]bool{}
		all = append(all, i)
	}
	zoneOf := func(k int) int { return k % zones }
	m.run(4 * time.Second)
	id := 0
	for range 8 {
		for range 3 {
			id++
			s := m.record(job.ID(fmt.Sprintf("%016x", id)), between(50*time.Millisecond, 8*time.Second))
			s.Job.Steps[0].Size.CPUMilli = 300
			for _, i := range all {
				if i.state.isReady() && r.IntN(2) == 0 {
					m.after(between(0, 800*time.Millisecond), func() { m.notify(i, s) })
				}
			}
		}
		m.run(between(0, 800*time.Millisecond))
		switch r.IntN(5) {
		case 0, 1: // a zone is cut off, mostly with the store
			z, d := r.IntN(zones), between(500*time.Millisecond, 12*time.Second)
			store := storeReachable
			if r.IntN(4) > 0 {
				store = storeAccess(1 + r.IntN(2))
			}
			m.log("%s zone %d is cut off for %s, store %d", m.at(), z, d, store)
			set := func(cut bool) {
				for a, i := range all {
					for b, other := range all {
						if (zoneOf(a) == z) != (zoneOf(b) == z) {
							i.cutFrom[other.name] = cut
						}
					}
					for w := range zones {
						if (zoneOf(a) == z) != (w == z) {
							if cut {
								delete(i.delays, fmt.Sprintf("w%d", w))
							} else {
								i.delays[fmt.Sprintf("w%d", w)] = modelOrderTrip
							}
						}
					}
					if zoneOf(a) == z {
						i.store = storeReachable
						if cut {
							i.store = store
						}
					}
				}
			}
			set(true)
			m.run(d)
			set(false)
		case 2: // an instance is frozen
			i, d := all[r.IntN(len(all))], between(500*time.Millisecond, 9*time.Second)
			m.log("%s %s is frozen for %s", m.at(), i.name, d)
			i.frozenUntil = m.now.Add(d)
			w := fmt.Sprintf("w%d", r.IntN(zones)) // other instances do not reach a worker
			for _, other := range all {
				if other != i {
					delete(other.delays, w)
				}
			}
			m.run(d + between(0, 4*time.Second))
			for _, other := range all {
				other.delays[w] = modelOrderTrip
			}
		case 3: // the store denies an instance, which some worker is reached by alone
			i, d := all[r.IntN(len(all))], between(500*time.Millisecond, 12*time.Second)
			m.log("%s the store denies %s for %s", m.at(), i.name, d)
			i.store = storeAccess(1 + r.IntN(2))
			w := fmt.Sprintf("w%d", r.IntN(zones))
			for _, other := range all {
				if other != i {
					delete(other.delays, w)
				}
			}
			m.run(d)
			i.store = storeReachable
			m.run(between(0, 2*time.Second))
			for _, other := range all {
				other.delays[w] = modelOrderTrip
			}
		case 4: // outage of the store, in which leases pause or lapse
			d := between(500*time.Millisecond, 9*time.Second)
			m.log("%s the store is down for %s", m.at(), d)
			for _, i := range all {
				i.store = storeRefused
			}
			if r.IntN(2) == 0 {
				m.leaseExpiry = m.leaseExpiry.Add(d)
			}
			m.run(d)
			for _, i := range all {
				i.store = storeReachable
			}
			observed := m.owner
			for _, i := range all {
				m.after(between(10*time.Millisecond, 600*time.Millisecond), func() { m.deliver(i, observed) })
			}
		}
		m.run(between(0, 4*time.Second))
	}
	m.run(15 * time.Second)
	return m
}
