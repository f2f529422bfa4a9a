package control

import (
	"strings"

	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

func isPartition(unit string) bool { return strings.HasPrefix(unit, membership.WorkerPrefix) }

// actOnOwnership carries out what the ownership table asks for after an event.
func (s *State) actOnOwnership() {
	asks := map[ownership.Successor]*PromiseRequest{}
	for _, action := range s.ownership.Tick(s.now) {
		switch a := action.(type) {
		case ownership.Gained:
			s.gained(a)
		case ownership.Lost:
			s.lost(a)
		case ownership.Write:
			s.emit(WriteOwnership{Write: a})
		case ownership.AskPromise:
			for _, successor := range a.Successors {
				addPromise(asks, successor, a)
			}
		case ownership.Renewed:
			if isPartition(a.Unit) {
				s.owner.allow.Own(a.Unit, a.Revision)
			}
		}
	}
	for _, member := range s.routing.memberList() {
		successor := ownership.Successor{Instance: member.Instance, Incarnation: member.Incarnation}
		if request, ok := asks[successor]; ok {
			s.emit(Send{To: member, Request: *request, Timeout: s.cfg.CallTimeout, SentAt: s.now})
		}
	}
}

func addPromise(asks map[ownership.Successor]*PromiseRequest, successor ownership.Successor, a ownership.AskPromise) {
	request, ok := asks[successor]
	if !ok {
		request = &PromiseRequest{Owner: a.Owner, Promisee: successor}
		asks[successor] = request
	}
	request.Units = append(request.Units, PromiseUnit{Unit: a.Unit, Epoch: a.Epoch})
}

// promise answers an owner that cannot reach the store.
func (s *State) promise(token uint64, r PromiseRequest) {
	reply := PromiseReply{From: ownership.Successor{Instance: s.self.Instance, Incarnation: s.self.Incarnation}, Granted: make([]bool, len(r.Units))}
	for i, u := range r.Units {
		reply.Granted[i] = s.ownership.PromiseRequested(s.now, u.Unit, r.Owner, u.Epoch, r.Promisee.Incarnation)
		if reply.Granted[i] {
			s.event(timeline.Event{Type: timeline.PromiseGiven, Partition: u.Unit, Epoch: u.Epoch, Detail: r.Owner})
		}
	}
	s.reply(token, reply)
}

func (s *State) promiseDone(send Send, r PromiseRequest, reply PeerReply, err error) {
	if err != nil {
		return
	}
	answer := reply.(PromiseReply)
	for i, u := range r.Units {
		s.ownership.PromiseReplied(s.now, send.SentAt, u.Unit, answer.From, answer.Granted[i])
	}
	s.changed = true
}

// ownershipDone applies the fate of a write. A new owner is told at once.
func (s *State) ownershipDone(e OwnershipDone) {
	s.ownership.WriteDone(s.now, e.Unit, e.Result)
	record, ok := s.ownership.Record(e.Unit)
	if !ok || e.Result.Outcome != ownership.Succeeded {
		return
	}
	s.takeRecord(record)
	if to, known := s.routing.members[record.Owner]; known && to.Incarnation != s.self.Incarnation {
		s.emit(Send{To: to, Request: HandoverNotice{Record: record}, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// takeRecord applies an ownership record that did not come through the watch.
func (s *State) takeRecord(r ownership.Record) {
	s.ownership.Observe(s.now, r)
	if known, ok := s.routing.records[r.Unit]; !ok || known.Revision < r.Revision {
		s.routing.records[r.Unit] = r
		s.changed = true
	}
}

func (s *State) gained(a ownership.Gained) {
	s.changed = true
	s.event(timeline.Event{Type: timeline.OwnershipTaken, Partition: a.Unit, Epoch: a.Epoch, Revision: a.Revision})
	if isPartition(a.Unit) {
		s.owner.gain(a.Unit, a.Epoch, a.Revision)
		return
	}
	s.home.ledger.Open(a.Unit, a.Epoch)
	s.emit(ReadShard{Shard: a.Unit})
}

func (s *State) lost(a ownership.Lost) {
	s.changed = true
	s.event(timeline.Event{Type: timeline.OwnershipLost, Partition: a.Unit, Epoch: a.Epoch, Detail: string(a.Reason)})
	if isPartition(a.Unit) {
		s.owner.lose(a.Unit)
		return
	}
	s.home.closed(s.home.ledger.Close(a.Unit))
}

// shardRead continues opening a shard with its value, or reads it again.
func (s *State) shardRead(e ShardRead) {
	if !s.home.ledger.IsLoading(e.Shard) {
		return
	}
	if e.Err != nil {
		s.members.rereads = append(s.members.rereads, e.Shard)
		return
	}
	s.home.ledger.Loaded(e.Shard, e.Value, e.Revision)
}

// flushLedger commits the changes of request records as one transaction.
func (s *State) flushLedger() {
	writes := s.home.ledger.Plan(s.now)
	if len(writes) == 0 {
		return
	}
	s.emit(CommitLedger{Writes: writes})
}

// ledgerDone applies the fate of a commit. A shard whose value another process
// has written is opened again if this instance still owns it.
func (s *State) ledgerDone(e LedgerDone) {
	opening := map[string]bool{}
	for _, w := range e.Writes {
		opening[w.Shard] = !s.home.ledger.IsActive(w.Shard)
	}
	var steps []ledger.Step
	switch e.Result {
	case ledger.Stored:
		steps = s.home.ledger.Committed(e.Writes, e.Revision)
	case ledger.Conflict:
		steps = s.conflicted(e)
	default:
		s.home.ledger.Failed(e.Writes, e.Result)
	}
	for _, w := range e.Writes {
		if opening[w.Shard] && s.home.ledger.IsActive(w.Shard) {
			s.home.opened(w.Shard)
		}
	}
	for _, step := range steps {
		s.home.step(step)
	}
}

func (s *State) conflicted(e LedgerDone) []ledger.Step {
	var steps []ledger.Step
	for i, w := range e.Writes {
		current := e.Current[i]
		released, lost := s.home.ledger.Conflicted(w, current.Value, current.Revision)
		steps = append(steps, released...)
		if lost {
			s.reopen(w.Shard)
		}
	}
	return steps
}

// reopen starts a shard anew from the value in the store.
func (s *State) reopen(shard string) {
	s.home.closed(s.home.ledger.Close(shard))
	if epoch, ok := s.ownership.Holds(s.now, shard); ok {
		s.home.ledger.Open(shard, epoch)
		s.emit(ReadShard{Shard: shard})
	}
}
