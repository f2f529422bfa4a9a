package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"

	"github.com/mulberrydrum/mulberrydrum/allowance"
)

// harness drives a State and simulates the store, the workers and the other instances: it applies
// the result of each effect at once.
type harness struct {
	state      *State
	now        time.Time
	revision   int64
	self       membership.Member
	dropEffect func(Effect) bool // selects effects that are dropped, so that their result never arrives
}

// newHarness returns a harness whose state owns every unit and has the given number of workers,
// spread over the partitions of one region. The workers have reported.
func newHarness(workers, partitions, teams int) *harness {
	cfg := DefaultConfig("r")
	cfg.PartitionsPerRegion = partitions
	h := &harness{now: time.Unix(1_000_000, 0), self: membership.Member{Instance: "e", Incarnation: "e-1", Address: "e", Region: "r", FailureDomain: "d"}}
	recorder := timeline.NewRecorder("e", "e-1", 65536)
	h.state = New(h.now, cfg, DefaultComponentConfigs(cfg), h.self, recorder, rand.New(rand.NewPCG(1, 1)))
	h.apply(Tick{})
	for i := range teams {
		name := task.Team(fmt.Sprintf("team-%d", i))
		h.revision++
		h.apply(ConfigChanged{Revision: h.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "doc/" + string(name), Revision: h.revision},
			Document: &document.Document{Team: name, Share: 1}}}})
	}
	h.apply(InstancesListed{Workers: workerList(workers), SentAt: h.now})
	for range 1200 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.apply(Tick{})
	}
	return h
}

func workerList(n int) []ListedWorker {
	list := make([]ListedWorker, n)
	for i := range list {
		list[i] = ListedWorker{Name: fmt.Sprintf("w%d", i), Address: "a", Region: "r", FailureDomain: fmt.Sprint(i % 4), Rack: fmt.Sprint(i / 8)}
	}
	return list
}

// apply applies an event, and the results of the effects until there are no further effects.
func (h *harness) apply(e Event) {
	events := []Event{e}
	for len(events) > 0 {
		effects := slices.Clone(h.state.Apply(h.now, events[0])) // the next Apply reuses the slice
		events = events[1:]
		for _, effect := range effects {
			if next := h.handleEffect(effect); next != nil {
				events = append(events, next)
			}
		}
	}
}

// lastToken is the token of the latest call to a state.
var lastToken uint64

// handleEffect returns the event with the result of an effect, or nil if there is none.
func (h *harness) handleEffect(effect Effect) Event {
	if h.dropEffect != nil && h.dropEffect(effect) {
		return nil
	}
	h.revision++
	switch e := effect.(type) {
	case GrantLease:
		member := e.Member
		h.apply(ConfigChanged{Revision: h.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "member", Revision: h.revision}, Member: &member}}})
		return LeaseGranted{SentAt: h.now, Lease: 1, Revision: h.revision}
	case RenewLease:
		return KeepAliveDone{SentAt: h.now, Lease: 1, Revision: h.state.config.appliedRevision}
	case WriteOwnership:
		record := e.Write.Record
		record.Revision = h.revision
		h.apply(ConfigChanged{Revision: h.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: record.Unit, Revision: h.revision}, Record: &record}}})
		return OwnershipDone{Unit: record.Unit, Result: ownership.WriteResult{Outcome: ownership.Succeeded, Revision: h.revision}}
	case WriteAllowances:
		var changes []ConfigChange
		for _, w := range e.Writes {
			record := w.Record
			record.Revision = h.revision
			changes = append(changes, ConfigChange{Entry: ConfigEntry{Key: "allow/" + string(record.Team), Revision: h.revision}, Allowance: &record})
		}
		h.apply(ConfigChanged{Revision: h.revision, Changes: changes})
		return AllowanceDone{Writes: e.Writes, Result: allowance.WriteResult{Outcome: allowance.Succeeded, Revision: h.revision}}
	case ReadShard:
		return ShardRead{Shard: e.Shard}
	case CommitLedger:
		return LedgerDone{Writes: e.Writes, Result: ledger.Stored, Revision: h.revision}
	case SyncWorker:
		return SyncDone{Sync: e, SentAt: h.now, Reply: WorkerReport{BootID: "b", Clock: time.Hour, Sequence: 1, Full: e.Full,
			Capacity: task.Resources{CPUMilli: 32000, MemoryMB: 131072, Slots: 8, Connections: 64}}}
	case StartTask:
		return StartDone{Start: e, Outcome: &task.Outcome{Attempt: e.Attempt, State: task.Finished, RunTime: time.Millisecond}}
	case Send:
		return h.callSelf(e)
	}
	return nil
}

// callSelf applies a Send to the same state as a PeerCall and delivers the reply.
func (h *harness) callSelf(send Send) Event {
	lastToken++
	token := lastToken
	for _, effect := range slices.Clone(h.state.Apply(h.now, PeerCall{Token: token, Request: send.Request})) {
		if reply, ok := effect.(Reply); ok && reply.Token == token {
			defer h.apply(PeerDone{Send: send, Reply: reply.Reply})
			continue
		}
		if next := h.handleEffect(effect); next != nil {
			defer h.apply(next)
		}
	}
	return nil
}

// BenchmarkAnswer measures the time that the control goroutine spends on one answer, as home and as
// owner: submission, placement, start, outcome and report.
func BenchmarkAnswer(b *testing.B) { benchmarkJobs(b, task.Answer) }

// BenchmarkDurable measures the time that the control goroutine spends on one durable job, as home
// and as owner.
func BenchmarkDurable(b *testing.B) { benchmarkJobs(b, task.Durable) }

func benchmarkJobs(b *testing.B, kind task.Kind) {
	for _, workers := range []int{6, 50, 205, 1025} {
		for _, teams := range []int{6, 97} {
			b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, teams), func(b *testing.B) {
				h := newHarness(workers, 4, teams)
				spec := task.Spec{Service: "s", Class: "c", Kind: kind, Urgency: task.Urgent, Size: task.Resources{CPUMilli: 250, MemoryMB: 256, Slots: 1}, Count: 1}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					h.now = h.now.Add(200 * time.Microsecond)
					if i%100 == 0 {
						h.apply(Tick{})
					}
					spec.Team = task.Team(fmt.Sprintf("team-%d", i%teams))
					spec.IdempotencyKey = fmt.Sprintf("k%d", i)
					spec.SubmittedAt, spec.Deadline = h.now, h.now.Add(time.Minute)
					lastToken++
					h.apply(PeerCall{Token: lastToken, Request: SubmitRequest{Spec: spec, Wait: time.Minute}})
				}
				b.StopTimer()
				for range 400 {
					h.now = h.now.Add(20 * time.Millisecond)
					h.apply(Tick{})
				}
				if left := len(h.state.home.openAttempts); left > b.N/10 {
					b.Errorf("%d of %d attempts are still open, want at most a tenth", left, b.N)
				}
			})
		}
	}
}

// BenchmarkTick measures the time that the control goroutine spends on one tick of an idle owner.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{6, 50, 205, 1025} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newHarness(workers, 4, 97)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.now = h.now.Add(20 * time.Millisecond)
				h.apply(Tick{})
			}
		})
	}
}
