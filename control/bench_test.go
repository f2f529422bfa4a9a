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

// bench drives a state whose peers answer at once.
type bench struct {
	state    *State
	now      time.Time
	revision int64
	self     membership.Member
	dropped  func(Effect) bool // effects that are never carried out; nil for none
}

// newBench returns a state that owns every unit and has the given number of
// workers, spread over the partitions of one region.
func newBench(workers, partitions, teams int) *bench {
	cfg := DefaultConfig("r")
	cfg.PartitionsPerRegion = partitions
	b := &bench{now: time.Unix(1_000_000, 0), self: membership.Member{Instance: "e", Incarnation: "e-1", Address: "e", Region: "r", FailureDomain: "d"}}
	recorder := timeline.NewRecorder("e", "e-1", 65536)
	b.state = New(b.now, cfg, DefaultParts(cfg), b.self, recorder, rand.New(rand.NewPCG(1, 1)))
	b.apply(Tick{})
	for i := range teams {
		name := task.Team(fmt.Sprintf("team-%d", i))
		b.revision++
		b.apply(ConfigChanged{Revision: b.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "doc/" + string(name), Revision: b.revision},
			Document: &document.Document{Team: name, Share: 1}}}})
	}
	b.apply(InstancesListed{Workers: listWorkers(workers), SentAt: b.now})
	for range 1200 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.apply(Tick{})
	}
	return b
}

func listWorkers(n int) []ListedWorker {
	list := make([]ListedWorker, n)
	for i := range list {
		list[i] = ListedWorker{Name: fmt.Sprintf("w%d", i), Address: "a", Region: "r", FailureDomain: fmt.Sprint(i % 4), Rack: fmt.Sprint(i / 8)}
	}
	return list
}

// apply applies an event and answers its effects until nothing is left to do.
func (b *bench) apply(e Event) {
	events := []Event{e}
	for len(events) > 0 {
		effects := slices.Clone(b.state.Apply(b.now, events[0])) // the next Apply uses the slice again
		events = events[1:]
		for _, effect := range effects {
			if next := b.answer(effect); next != nil {
				events = append(events, next)
			}
		}
	}
}

// nextToken numbers the calls that the state makes to itself.
var nextToken uint64

func (b *bench) answer(effect Effect) Event {
	if b.dropped != nil && b.dropped(effect) {
		return nil
	}
	b.revision++
	switch e := effect.(type) {
	case GrantLease:
		member := e.Member
		b.apply(ConfigChanged{Revision: b.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: "member", Revision: b.revision}, Member: &member}}})
		return LeaseGranted{SentAt: b.now, Lease: 1, Revision: b.revision}
	case RenewLease:
		return KeepAliveDone{SentAt: b.now, Lease: 1, Revision: b.state.config.applied}
	case WriteOwnership:
		record := e.Write.Record
		record.Revision = b.revision
		b.apply(ConfigChanged{Revision: b.revision, Changes: []ConfigChange{{Entry: ConfigEntry{Key: record.Unit, Revision: b.revision}, Record: &record}}})
		return OwnershipDone{Unit: record.Unit, Result: ownership.WriteResult{Outcome: ownership.Succeeded, Revision: b.revision}}
	case WriteAllowances:
		var changes []ConfigChange
		for _, w := range e.Writes {
			record := w.Record
			record.Revision = b.revision
			changes = append(changes, ConfigChange{Entry: ConfigEntry{Key: "allow/" + string(record.Team), Revision: b.revision}, Allowance: &record})
		}
		b.apply(ConfigChanged{Revision: b.revision, Changes: changes})
		return AllowanceDone{Writes: e.Writes, Result: allowance.WriteResult{Outcome: allowance.Succeeded, Revision: b.revision}}
	case ReadShard:
		return ShardRead{Shard: e.Shard}
	case CommitLedger:
		return LedgerDone{Writes: e.Writes, Result: ledger.Stored, Revision: b.revision}
	case SyncWorker:
		return SyncDone{Sync: e, SentAt: b.now, Reply: WorkerReport{BootID: "b", Clock: time.Hour, Sequence: 1, Full: e.Full,
			Capacity: task.Resources{CPUMilli: 32000, MemoryMB: 131072, Slots: 8, Connections: 64}}}
	case StartTask:
		return StartDone{Start: e, Outcome: &task.Outcome{Attempt: e.Attempt, State: task.Finished, RunTime: time.Millisecond}}
	case Send:
		return b.call(e)
	}
	return nil
}

// call has the state answer its own call.
func (b *bench) call(send Send) Event {
	nextToken++
	token := nextToken
	for _, effect := range slices.Clone(b.state.Apply(b.now, PeerCall{Token: token, Request: send.Request})) {
		if reply, ok := effect.(Reply); ok && reply.Token == token {
			defer b.apply(PeerDone{Send: send, Reply: reply.Reply})
			continue
		}
		if next := b.answer(effect); next != nil {
			defer b.apply(next)
		}
	}
	return nil
}

// BenchmarkAnswer measures the control time of one answer over all its roles:
// home, owner, start, outcome and report, on one goroutine.
func BenchmarkAnswer(b *testing.B) { benchmarkKind(b, task.Answer) }

// BenchmarkDurable measures the control time of one durable job over all roles.
func BenchmarkDurable(b *testing.B) { benchmarkKind(b, task.Durable) }

func benchmarkKind(b *testing.B, kind task.Kind) {
	for _, workers := range []int{6, 50, 205, 1025} {
		for _, teams := range []int{6, 97} {
			b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, teams), func(b *testing.B) {
				w := newBench(workers, 4, teams)
				spec := task.Spec{Service: "s", Class: "c", Kind: kind, Urgency: task.Urgent, Size: task.Resources{CPUMilli: 250, MemoryMB: 256, Slots: 1}, Count: 1}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					w.now = w.now.Add(200 * time.Microsecond)
					if i%100 == 0 {
						w.apply(Tick{})
					}
					spec.Team = task.Team(fmt.Sprintf("team-%d", i%teams))
					spec.IdempotencyKey = fmt.Sprintf("k%d", i)
					spec.SubmittedAt, spec.Deadline = w.now, w.now.Add(time.Minute)
					nextToken++
					w.apply(PeerCall{Token: nextToken, Request: SubmitRequest{Spec: spec, Wait: time.Minute}})
				}
				b.StopTimer()
				for range 400 {
					w.now = w.now.Add(20 * time.Millisecond)
					w.apply(Tick{})
				}
				if left := len(w.state.home.open); left > b.N/10 {
					b.Errorf("%d of %d attempts have no end", left, b.N)
				}
			})
		}
	}
}

// BenchmarkTick measures the control time of one tick of an idle owner.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{6, 50, 205, 1025} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newBench(workers, 4, 97)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.now = w.now.Add(20 * time.Millisecond)
				w.apply(Tick{})
			}
		})
	}
}
