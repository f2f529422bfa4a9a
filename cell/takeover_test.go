package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// TestJobAcceptedByFormerOwner guards against a job that two owners start: the former one, which is cut
// off from the store, and its successor, both notified of the job by instances.
func TestJobAcceptedByFormerOwner(t *testing.T) {
	const cutOff = time.Duration(0)
	for _, c := range []struct {
		name           string
		store          storeAccess
		former         []string      // workers that the former owner reaches
		successorDelay time.Duration // of an order of the successor to w1
		runTime        time.Duration
		formerDelay    time.Duration // from the notice to the successor to that to the former owner
	}{
		{"all workers reached, store refuses", storeRefused, []string{"w1", "w2"}, modelOrderTrip, 3 * time.Second, 0},
		{"60 ms to a worker, store refuses", storeRefused, []string{"w1", "w2"}, 60 * time.Millisecond, 3 * time.Second, 0},
		{"60 ms to a worker, store silent", storeSilent, []string{"w1", "w2"}, 60 * time.Millisecond, 3 * time.Second, 0},
		{"300 ms to a worker, store refuses", storeRefused, []string{"w1", "w2"}, 300 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond},
		{"successor cut off from a worker, store refuses", storeRefused, []string{"w1", "w2"}, cutOff, 3 * time.Second, 200 * time.Millisecond},
		{"successor cut off from a worker, store silent", storeSilent, []string{"w1", "w2"}, cutOff, 3 * time.Second, 200 * time.Millisecond},
		{"successor cut off from a worker, after the success", storeRefused, []string{"w1", "w2"}, cutOff, 50 * time.Millisecond, 300 * time.Millisecond},
		{"each reaches one worker, store refuses", storeRefused, []string{"w1"}, cutOff, 3 * time.Second, time.Second},
		{"each reaches one worker, store silent", storeSilent, []string{"w1"}, cutOff, 3 * time.Second, time.Second},
		{"each reaches one worker, after the success", storeRefused, []string{"w1"}, cutOff, 100 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The time from the last read of the owner to the cut decides how long it goes on.
			for phase := time.Duration(0); phase < 700*time.Millisecond && !t.Failed(); phase += 50 * time.Millisecond {
				m := newTakeoverModel(t, "w1", "w2")
				former := m.join("e1")
				m.startOwner(former)
				successor := m.join("e2")
				former.isPolled = true
				successor.delays["w1"] = c.successorDelay
				if c.successorDelay == cutOff {
					delete(successor.delays, "w1")
				}
				m.run(time.Second + phase)
				former.store = c.store
				for id := range m.workers {
					if !slices.Contains(c.former, id) {
						delete(former.delays, id)
					}
				}
				m.startSuccessor(successor)
				submitted := m.record("00000000000000a1", c.runTime)
				m.notify(successor, submitted)
				m.after(c.formerDelay, func() { m.notify(former, submitted) })
				m.run(10 * time.Second)
				m.reportViolations()
			}
		})
	}
}

// TestOwnerCutOffWithPeer guards against a task that two owners run: the former one, cut off from the
// store together with a worker and an instance that polls it, and its successor, which takes the
// leases of that worker for expired.
func TestOwnerCutOffWithPeer(t *testing.T) {
	const wholeWorker = 1000 // millicores
	for _, c := range []struct {
		name     string
		store    storeAccess
		isPolled bool          // by an instance that is cut off as well
		blocked  bool          // the task waits for other tasks at the time of the cut
		peerLag  time.Duration // after which the instance learns of the successor; 0 if it does not
	}{
		{"running task, store refuses", storeRefused, true, false, 0},
		{"running task, store silent", storeSilent, true, false, 0},
		{"waiting task, store refuses", storeRefused, true, true, 0},
		{"waiting task, store silent", storeSilent, true, true, 0},
		{"running task, peer lags by 0.5 s", storeRefused, true, false, 500 * time.Millisecond},
		{"running task, peer lags by 1 s", storeRefused, true, false, time.Second},
		{"running task, peer lags by 1.5 s", storeRefused, true, false, 1500 * time.Millisecond},
		{"running task, peer lags by 2 s", storeRefused, true, false, 2 * time.Second},
		{"running task, no peer", storeRefused, false, false, 0},
		{"waiting task, no peer", storeRefused, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTakeoverModel(t, "w1", "w2")
			former := m.join("e1")
			m.startOwner(former)
			successor := m.join("e2")
			former.isPolled = true
			m.run(time.Second)
			if c.blocked {
				for _, id := range []job.ID{"00000000000000b1", "00000000000000b2"} {
					s := m.record(id, 12*time.Second)
					s.Job.Steps[0].Size.CPUMilli = wholeWorker
					m.notify(former, s)
				}
				m.run(500 * time.Millisecond)
			}
			s := m.record("00000000000000a1", 20*time.Second)
			s.Job.Steps[0].Size.CPUMilli = wholeWorker
			m.notify(former, s)
			m.run(time.Second)
			former.store, former.isPolled = c.store, c.isPolled
			delete(former.delays, "w2")
			delete(successor.delays, "w1")
			if c.peerLag > 0 {
				m.startSuccessor(successor)
				m.run(c.peerLag)
				former.isPolled = false
			}
			m.run(25 * time.Second)
			m.reportViolations()
		})
	}
}

// TestThawedOwnerRenewsLeases guards against an owner that wakes up after a freeze, takes polls of other
// instances that have waited meanwhile for recent contact, and renews a lease that its successor takes
// for expired.
func TestThawedOwnerRenewsLeases(t *testing.T) {
	for _, c := range []struct {
		name     string
		store    storeAccess // after the freeze
		isPolled bool        // a poll has waited during the freeze
	}{
		{"store reachable", storeReachable, true},
		{"store refuses", storeRefused, true},
		{"store silent", storeSilent, true},
		{"no poll has waited", storeReachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for freeze := 1500 * time.Millisecond; freeze < 6*time.Second && !t.Failed(); freeze += 100 * time.Millisecond {
				m := newTakeoverModel(t, "w1", "w2")
				former := m.join("e1")
				m.startOwner(former)
				successor := m.join("e2")
				former.isPolled = true
				m.run(time.Second)
				m.notify(former, m.record("00000000000000a1", 20*time.Second))
				m.run(time.Second)
				delete(successor.delays, "w1")
				former.frozenUntil, former.store, former.isPolled = m.now.Add(freeze), c.store, c.isPolled
				m.log("%s e1 is frozen for %s", m.at(), freeze)
				m.run(15 * time.Second)
				m.reportViolations()
			}
		})
	}
}
