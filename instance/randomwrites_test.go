package instance

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/standin/fault"
	"github.com/mulberrydrum/mulberrydrum/store"
	"github.com/mulberrydrum/mulberrydrum/store/storetest"
)

var (
	writeSeed  = flag.Uint64("instance.seed", 1, "first seed of TestRandomWrites")
	writeSeeds = flag.Int("instance.seeds", 40, "number of seeds of TestRandomWrites")
)

const (
	simulatedInstances = 3
	simulatedJobs      = 30
	simulatedTime      = 20 * time.Second // in which callers and faults act
	longestHoldUp      = 8 * time.Second
)

// TestRandomWrites guards against a job that starts after its cancellation was acknowledged or its submission was
// refused, a job that was accepted and does not run, and a cancellation that concerns another team. Submissions,
// repeated ones, cancellations and faults of the store are drawn by a seed: writes that are held up, answers that are
// lost, and outages, of one instance or all of them. The owner is one that lags behind the store.
func TestRandomWrites(t *testing.T) {
	for n := range uint64(*writeSeeds) {
		t.Run(fmt.Sprint("seed ", *writeSeed+n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newWriteSimulation(t, *writeSeed+n).run() })
		})
	}
}

// writeSimulation runs the parts of instances that write records of jobs, in virtual time.
type writeSimulation struct {
	t         *testing.T
	rng       *rand.Rand // of the goroutine of the test
	memory    *storetest.Memory
	records   store.Store // without faults
	instances []*Instance
	callers   sync.WaitGroup

	mu   sync.Mutex
	jobs map[job.ID]map[string]*simulatedJob // by ID and team; other teams may use the same ID
}

// simulatedJob is what the callers of one team know about a job.
type simulatedJob struct {
	attempts, refused, accepted int
	askedToCancel               bool
	cancelledAt                 time.Time // when a cancellation was acknowledged
	startedAt                   time.Time
}

func newWriteSimulation(t *testing.T, seed uint64) *writeSimulation {
	s := &writeSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 0)), memory: storetest.NewMemory(storetest.Config{}), jobs: map[job.ID]map[string]*simulatedJob{}}
	s.records = s.memory.Client("owner")
	for n := range simulatedInstances {
		s.instances = append(s.instances, startInstance(t, s.memory.Client(fmt.Sprint("e", n))))
	}
	return s
}

func (s *writeSimulation) run() {
	ctx, stop := context.WithCancel(s.t.Context())
	owner := make(chan struct{})
	go func() { s.own(ctx); close(owner) }()
	for n := range simulatedJobs {
		at := time.Duration(s.rng.Int64N(int64(simulatedTime)))
		id := job.ID(fmt.Sprintf("%016x", n))
		for _, team := range []string{"a", "b"}[:1+s.rng.IntN(2)] {
			rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
			s.callers.Go(func() { time.Sleep(at); s.call(ctx, id, team, rng) })
		}
	}
	for end := time.Now().Add(simulatedTime); time.Now().Before(end); {
		s.disrupt()
	}
	s.setFaults()
	s.callers.Wait()
	time.Sleep(longestHoldUp + time.Second) // writes that are held up arrive
	stop()
	<-owner
	s.memory.Close()
	s.check()
}

// disrupt injects a fault for some time.
func (s *writeSimulation) disrupt() {
	f := fault.Fault{Call: storetest.CallTxn}
	if s.rng.IntN(4) > 0 {
		f.Instance = fmt.Sprint("e", s.rng.IntN(simulatedInstances))
	}
	switch s.rng.IntN(4) {
	case 0:
		f.Kind = fault.Down
	case 1:
		f.Kind = fault.ReplyLost
	default:
		f.Kind, f.DelayMS = fault.Slow, s.rng.Int64N(longestHoldUp.Milliseconds())
	}
	s.setFaults(f)
	time.Sleep(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	s.setFaults()
	time.Sleep(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
}

// setFaults replaces the faults of the instances.
func (s *writeSimulation) setFaults(faults ...fault.Fault) {
	if err := s.memory.Faults().Set(faults...); err != nil {
		s.t.Error(err)
	}
}

// call acts as the callers of one job: it is submitted, repeated or cancelled at random instances, in any order.
func (s *writeSimulation) call(ctx context.Context, id job.ID, team string, rng *rand.Rand) {
	s.mu.Lock()
	if s.jobs[id] == nil {
		s.jobs[id] = map[string]*simulatedJob{}
	}
	known := &simulatedJob{}
	s.jobs[id][team] = known
	s.mu.Unlock()
	for range 1 + rng.IntN(5) {
		at, deadline := s.instances[rng.IntN(simulatedInstances)], time.Duration(500+rng.IntN(2500))*time.Millisecond
		operation := s.submit
		if rng.IntN(3) == 0 {
			operation = s.cancel
		}
		done := make(chan struct{})
		s.callers.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, deadline)
			defer cancel()
			operation(callCtx, at, id, team, known)
			close(done)
		})
		if rng.IntN(3) > 0 { // otherwise the next call overlaps
			<-done
		}
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

func (s *writeSimulation) submit(ctx context.Context, at *Instance, id job.ID, team string, known *simulatedJob) {
	err := at.Submit(ctx, submissionOf(id, team))
	s.mu.Lock()
	defer s.mu.Unlock()
	known.attempts++
	switch {
	case kindOf(err) == errkind.Cancelled && !known.askedToCancel:
		s.t.Errorf("submission of job %s by team %s, which did not cancel it: %v", id, team, err)
	case err == nil:
		known.accepted++
	case errkind.From(err).Fate() == errkind.FateNotRun:
		known.refused++
	}
}

func (s *writeSimulation) cancel(ctx context.Context, at *Instance, id job.ID, team string, known *simulatedJob) {
	s.mu.Lock()
	known.askedToCancel = true
	s.mu.Unlock()
	err := at.Cancel(ctx, "q", team, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if acknowledged := err == nil || kindOf(err) == errkind.UnknownTask; acknowledged && known.cancelledAt.IsZero() {
		known.cancelledAt = time.Now()
	}
}

// ownerLag is the time by which the simulated owner lags behind the store. It acts on no older list than twice that.
const ownerLag = 300 * time.Millisecond

// own acts as the owner until ctx ends: it starts the recorded jobs that are not cancelled, and records their ends.
func (s *writeSimulation) own(ctx context.Context) {
	for ctx.Err() == nil {
		listedAt := time.Now()
		inbox, _, err := s.records.List(ctx, inboxPrefix)
		time.Sleep(ownerLag)
		if err != nil {
			continue // during an outage
		}
		cancelled := map[string]bool{}
		for _, kv := range inbox {
			if id, ok := strings.CutPrefix(kv.Key, cancelPrefix); ok {
				cancelled[id] = true
			}
		}
		for _, kv := range inbox {
			if time.Since(listedAt) > 2*ownerLag {
				break // the commit of an end has taken long
			}
			if id, ok := strings.CutPrefix(kv.Key, jobPrefix); ok {
				s.end(ctx, job.ID(id), kv, cancelled[id])
			}
		}
	}
}

// end starts a job unless it is cancelled, and records its end.
func (s *writeSimulation) end(ctx context.Context, id job.ID, kv store.KeyValue, cancelled bool) {
	recorded, err := job.DecodeJob(kv.Value)
	if err != nil {
		s.t.Error(err)
		return
	}
	final := job.Final{State: job.Cancelled, Queue: recorded.Queue, Team: recorded.Team, Work: recorded.Work, FinishedAt: time.Now()}
	if !cancelled {
		final.State = job.Completed
		s.mu.Lock()
		known := s.jobs[id][recorded.Team]
		if !known.startedAt.IsZero() {
			s.t.Errorf("job %s of team %s starts twice", id, recorded.Team)
		}
		known.startedAt = time.Now()
		s.mu.Unlock()
	}
	value, err := job.Encode(final)
	if err != nil {
		s.t.Error(err)
		return
	}
	txn := store.Txn{Compares: []store.Compare{{Key: jobKey(id), ModRevision: kv.ModRevision}}, Puts: []store.Put{{Key: finalKey(id), Value: value}}, Deletes: []string{jobKey(id), cancelKey(id)}}
	for ctx.Err() == nil {
		if _, err := s.records.Commit(ctx, txn); err == nil {
			return
		}
		time.Sleep(ownerLag)
	}
}

// check compares what the callers were told with the starts.
func (s *writeSimulation) check() {
	const lag = 2*ownerLag + time.Second // of the owner: a start that is under way when the cancellation is recorded
	for id, teams := range s.jobs {
		for team, known := range teams {
			started := !known.startedAt.IsZero()
			switch {
			case started && !known.cancelledAt.IsZero() && known.startedAt.Sub(known.cancelledAt) > lag:
				s.t.Errorf("job %s of team %s starts %s after its cancellation was acknowledged", id, team, known.startedAt.Sub(known.cancelledAt))
			case started && known.refused == known.attempts:
				s.t.Errorf("job %s of team %s starts, and each of its %d submissions was refused", id, team, known.attempts)
			case known.accepted > 0 && !started && !known.askedToCancel:
				s.t.Errorf("job %s of team %s was accepted and does not start", id, team)
			}
		}
	}
}
