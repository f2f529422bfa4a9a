package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Effect is a blocking call that the executor makes for the control state, or a
// reply to a waiting call.
type Effect interface{ effect() }

// Reply ends the call with Token.
type Reply struct {
	Token uint64
	Reply PeerReply
}

// Send makes a call to an entry instance; PeerDone is its end.
type Send struct {
	To      membership.Member
	Request PeerRequest
	Timeout time.Duration
	SentAt  time.Time
}

// StartTask starts an attempt on a worker; StartDone is its end. It must not be
// written after the term of the partition has ended.
type StartTask struct {
	Worker     string
	Address    string
	Partition  string
	Epoch      uint64
	Attempt    task.Attempt
	Job        ledger.JobKey
	Index      int
	Team       task.Team
	Class      string
	Size       task.Resources
	Command    string
	Payload    []byte
	LongLived  bool
	BootID     string        // of the worker; its clock starts at zero with each boot
	StartBy    time.Duration // in the worker's clock
	LeaseUntil time.Duration // in the worker's clock
	Wait       time.Duration // how long the worker may hold the exchange open for the result
	Waited     time.Duration // since the job was accepted, for the metric
}

// SyncWorker renews the leases on a worker and asks for its report; SyncDone is
// its end.
type SyncWorker struct {
	Worker      string
	Address     string
	Partition   string
	Epoch       uint64
	BootID      string        // of the worker
	LeaseUntil  time.Duration // in the worker's clock; 0 renews nothing
	Acknowledge []task.Attempt
	After       uint64
	Full        bool
}

// LookupTask asks a worker about an attempt; LookupDone is its end.
type LookupTask struct {
	Worker  string
	Address string
	Attempt task.Attempt
}

// FetchResult reads the result of a finished attempt; ResultDone is its end.
type FetchResult struct {
	Worker  string
	Address string
	Attempt task.Attempt
	Bytes   int64
	Digest  string
}

// StopTask asks a worker to stop an attempt, or to refuse it should its start
// arrive later. The end is seen in the next report.
type StopTask struct {
	Worker  string
	Address string
	Epoch   uint64
	BootID  string
	Attempt task.Attempt
	Reason  errkind.Kind
	// Checkpoint asks for a checkpoint before the stop.
	Checkpoint bool
	// RefuseUntil is the reading of the worker's clock until which a start of the
	// attempt that arrives later is refused.
	RefuseUntil time.Duration
}

// GrantLease asks the store for a lease and writes the member record under it.
type GrantLease struct{ Member membership.Member }

// RenewLease keeps the lease alive and reads the store's revision.
type RenewLease struct{ Lease int64 }

// WriteMember writes the member record again under the lease.
type WriteMember struct {
	Member membership.Member
	Lease  int64
}

// ReadShard reads the value of a request shard.
type ReadShard struct{ Shard string }

// CommitLedger writes shard values in one transaction.
type CommitLedger struct{ Writes []ledger.Write }

// WriteOwnership compares and swaps an ownership record.
type WriteOwnership struct{ Write ownership.Write }

// WriteAllowances compares and swaps allowance records in one transaction.
type WriteAllowances struct{ Writes []allowance.Write }

// Resync asks the daemon to read the whole configuration again, since the watch
// has fallen behind.
type Resync struct{ Behind int64 }

// Drained says that the planned stop may go on: nothing is owned or waiting.
type Drained struct{}

func (Reply) effect()           {}
func (Send) effect()            {}
func (StartTask) effect()       {}
func (SyncWorker) effect()      {}
func (LookupTask) effect()      {}
func (FetchResult) effect()     {}
func (StopTask) effect()        {}
func (GrantLease) effect()      {}
func (RenewLease) effect()      {}
func (WriteMember) effect()     {}
func (ReadShard) effect()       {}
func (CommitLedger) effect()    {}
func (WriteOwnership) effect()  {}
func (WriteAllowances) effect() {}
func (Resync) effect()          {}
func (Drained) effect()         {}
