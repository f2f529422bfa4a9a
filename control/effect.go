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

// Reply answers the waiting call with Token.
type Reply struct {
	Token uint64
	Reply PeerReply
}

// Send calls an entry instance; PeerDone delivers the result.
type Send struct {
	To      membership.Member
	Request PeerRequest
	Timeout time.Duration
	SentAt  time.Time
}

// StartTask starts an attempt on a worker; StartDone delivers the result. It must not be written
// to the connection after the term of the partition has ended.
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
	Wait       time.Duration // how long the worker may hold the call open for the result
	Waited     time.Duration // since the job was accepted, for the metric
}

// SyncWorker renews the task leases on a worker and requests its report; SyncDone delivers the
// result.
type SyncWorker struct {
	Worker      string
	Address     string
	Partition   string
	Epoch       uint64
	BootID      string        // of the worker
	LeaseUntil  time.Duration // in the worker's clock; 0 does not renew
	Acknowledge []task.Attempt
	After       uint64
	Full        bool
}

// LookupTask asks a worker for the state of an attempt; LookupDone delivers the result.
type LookupTask struct {
	Worker  string
	Address string
	Attempt task.Attempt
}

// FetchResult reads the result of a finished attempt; ResultDone delivers it.
type FetchResult struct {
	Worker  string
	Address string
	Attempt task.Attempt
	Bytes   int64
	Digest  string
}

// StopTask orders a worker to stop an attempt, or to refuse its start if that arrives later. The
// next report of the worker has the outcome.
type StopTask struct {
	Worker  string
	Address string
	Epoch   uint64
	BootID  string
	Attempt task.Attempt
	Reason  errkind.Kind
	// Checkpoint asks for a checkpoint before the stop.
	Checkpoint bool
	// RefuseUntil is the reading of the worker's clock until which a late start of the attempt is
	// refused.
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

// Drained reports that the drain is complete and the planned stop may proceed: no unit is held and
// no reply is waited for.
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
