package control

import (
	"strings"

	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// isPartition reports whether a unit is a worker partition; otherwise it is a request shard.
func isPartition(unit string) bool { return strings.HasPrefix(unit, membership.PartitionPrefix) }

// executeOwnershipActions executes the actions that the ownership table returns after an event.
func (s *State) executeOwnershipActions() {
	requests := map[ownership.Successor]*PromiseRequest{}
	for _, action := range s.ownership.Tick(s.now) {
		switch a := action.(type) {
		case ownership.Gained:
			s.ownershipGained(a)
		case ownership.Lost:
			s.ownershipLost(a)
		case ownership.Write:
			s.emit(WriteOwnership{Write: a})
		case ownership.RequestPromises:
			for _, successor := range a.Successors {
				addPromiseUnit(requests, successor, a)
			}
		case ownership.RevisionChanged:
			if isPartition(a.Unit) {
				s.owner.allowances.AddPartition(a.Unit, a.Revision)
			}
		}
	}
	for _, member := range s.routing.memberList() {
		successor := ownership.Successor{Instance: member.Instance, Incarnation: member.Incarnation}
		if request, ok := requests[successor]; ok {
			s.emit(Send{To: member, Request: *request, Timeout: s.cfg.CallTimeout, SentAt: s.now})
		}
	}
}

func addPromiseUnit(requests map[ownership.Successor]*PromiseRequest, successor ownership.Successor, a ownership.RequestPromises) {
	request, ok := requests[successor]
	if !ok {
		request = &PromiseRequest{Owner: a.Owner, Successor: successor}
		requests[successor] = request
	}
	request.Units = append(request.Units, PromiseUnit{Unit: a.Unit, Epoch: a.Epoch})
}

// promise handles the promise request of an owner that cannot reach the store.
func (s *State) promise(token uint64, r PromiseRequest) {
	reply := PromiseReply{From: ownership.Successor{Instance: s.self.Instance, Incarnation: s.self.Incarnation}, Granted: make([]bool, len(r.Units))}
	for i, u := range r.Units {
		reply.Granted[i] = s.ownership.PromiseRequested(s.now, u.Unit, r.Owner, u.Epoch, r.Successor.Incarnation)
		if reply.Granted[i] {
			s.recordEvent(timeline.Event{Type: timeline.PromiseGiven, Partition: u.Unit, Epoch: u.Epoch, Detail: r.Owner})
		}
	}
	s.reply(token, reply)
}

func (s *State) promiseDone(send Send, r PromiseRequest, reply PeerReply, err error) {
	if err != nil {
		return
	}
	promiseReply := reply.(PromiseReply)
	for i, u := range r.Units {
		s.ownership.PromiseReplied(s.now, send.SentAt, u.Unit, promiseReply.From, promiseReply.Granted[i])
	}
	s.snapshotChanged = true
}

// ownershipDone applies the result of an ownership write and notifies the new owner at once.
func (s *State) ownershipDone(e OwnershipDone) {
	s.ownership.WriteDone(s.now, e.Unit, e.Result)
	record, ok := s.ownership.Record(e.Unit)
	if !ok || e.Result.Outcome != ownership.Succeeded {
		return
	}
	s.applyOwnershipRecord(record)
	if to, known := s.routing.members[record.Owner]; known && to.Incarnation != s.self.Incarnation {
		s.emit(Send{To: to, Request: HandoverNotice{Record: record}, Timeout: s.cfg.CallTimeout, SentAt: s.now})
	}
}

// applyOwnershipRecord applies an ownership record from the watch, from a write of this process or
// from a handover notice.
func (s *State) applyOwnershipRecord(r ownership.Record) {
	s.ownership.ObserveRecord(s.now, r)
	if known, ok := s.routing.ownershipRecords[r.Unit]; !ok || known.Revision < r.Revision {
		s.routing.ownershipRecords[r.Unit] = r
		s.snapshotChanged = true
	}
}

func (s *State) ownershipGained(a ownership.Gained) {
	s.snapshotChanged = true
	s.recordEvent(timeline.Event{Type: timeline.OwnershipTaken, Partition: a.Unit, Epoch: a.Epoch, Revision: a.Revision})
	if isPartition(a.Unit) {
		s.owner.acquirePartition(a.Unit, a.Epoch, a.Revision)
		return
	}
	s.home.ledger.Open(a.Unit, a.Epoch)
	s.emit(ReadShard{Shard: a.Unit})
}

func (s *State) ownershipLost(a ownership.Lost) {
	s.snapshotChanged = true
	s.recordEvent(timeline.Event{Type: timeline.OwnershipLost, Partition: a.Unit, Epoch: a.Epoch, Detail: string(a.Reason)})
	if isPartition(a.Unit) {
		s.owner.dropPartition(a.Unit)
		return
	}
	s.home.shardClosed(s.home.ledger.Close(a.Unit))
}

// shardRead loads the value of a shard that is being opened, or schedules another read after an
// error.
func (s *State) shardRead(e ShardRead) {
	if !s.home.ledger.IsLoading(e.Shard) {
		return
	}
	if e.Err != nil {
		s.membership.shardsToReread = append(s.membership.shardsToReread, e.Shard)
		return
	}
	s.home.ledger.ApplyLoaded(e.Shard, e.Value, e.Revision)
}

// flushLedger commits the pending changes of job records in one transaction.
func (s *State) flushLedger() {
	writes := s.home.ledger.Plan(s.now)
	if len(writes) == 0 {
		return
	}
	s.emit(CommitLedger{Writes: writes})
}

// ledgerDone applies the result of a commit. After a conflict, a shard whose value another process
// has written is reopened if this instance still owns it.
func (s *State) ledgerDone(e LedgerDone) {
	opening := map[string]bool{}
	for _, w := range e.Writes {
		opening[w.Shard] = !s.home.ledger.IsActive(w.Shard)
	}
	var steps []ledger.PostCommitStep
	switch e.Result {
	case ledger.Stored:
		steps = s.home.ledger.ApplyCommit(e.Writes, e.Revision)
	case ledger.Conflict:
		steps = s.ledgerConflicted(e)
	default:
		s.home.ledger.ApplyFailure(e.Writes, e.Result)
	}
	for _, w := range e.Writes {
		if opening[w.Shard] && s.home.ledger.IsActive(w.Shard) {
			s.home.shardOpened(w.Shard)
		}
	}
	for _, step := range steps {
		s.home.runStep(step)
	}
}

func (s *State) ledgerConflicted(e LedgerDone) []ledger.PostCommitStep {
	var steps []ledger.PostCommitStep
	for i, w := range e.Writes {
		current := e.Current[i]
		released, lost := s.home.ledger.ApplyConflict(w, current.Value, current.Revision)
		steps = append(steps, released...)
		if lost {
			s.reopenShard(w.Shard)
		}
	}
	return steps
}

// reopenShard closes a shard and opens it again from the value in the store.
func (s *State) reopenShard(shard string) {
	s.home.shardClosed(s.home.ledger.Close(shard))
	if epoch, ok := s.ownership.Holds(s.now, shard); ok {
		s.home.ledger.Open(shard, epoch)
		s.emit(ReadShard{Shard: shard})
	}
}
