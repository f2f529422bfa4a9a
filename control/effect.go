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

// Effect is a blocking call that the executor makes for the control state, or a reply to a waiting
// call.
type Effect interface{ effect() }

// Reply delivers a reply to the waiting call that Token identifies.
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

// StartTask starts an attempt on a worker; StartDone delivers the result. The order must not be
// written to the connection after the term of the partition has ended.
type StartTask struct {
	Worker      string
	Address     string
	Partition   string
	Epoch       uint64
	Attempt     task.Attempt
	Job         ledger.JobKey
	Index       int
	Team        task.Team
	Class       string
	Size        task.Resources
	Command     string
	Payload     []byte
	LongLived   bool
	BootID      string        // of the worker; its clock starts at zero with each boot
	StartBy     time.Duration // on the worker's clock; the worker refuses a later start
	LeaseUntil  time.Duration // on the worker's clock
	OutcomeWait time.Duration // how long the worker may hold the call open for the result
	WaitTime    time.Duration // since the job was accepted, for the metric
}

// SyncWorker renews the task leases on a worker and requests its report; SyncDone delivers the
// result.
type SyncWorker struct {
	Worker        string
	Address       string
	Partition     string
	Epoch         uint64
	BootID        string        // of the worker
	LeaseUntil    time.Duration // on the worker's clock; 0 does not renew the leases
	Acknowledge   []task.Attempt
	AfterSequence uint64 // sequence number of the last report received
	Full          bool   // requests a report of every attempt, not only of those changed since AfterSequence
}

// LookupTask requests the state of an attempt from its worker; LookupDone delivers the result.
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

// StopTask orders a worker to stop an attempt, or to refuse its start order if that arrives later.
// The next report of the worker contains the outcome.
type StopTask struct {
	Worker  string
	Address string
	Epoch   uint64
	BootID  string
	Attempt task.Attempt
	Reason  errkind.Kind
	// Checkpoint requests a checkpoint before the stop.
	Checkpoint bool
	// RefuseUntil is the time on the worker's clock until which a late start of the attempt is
	// refused.
	RefuseUntil time.Duration
}

// GrantLease requests a lease from the store and writes the member record under it; LeaseGranted
// delivers the result.
type GrantLease struct{ Member membership.Member }

// RenewLease renews the lease and reads the store's revision; KeepAliveDone delivers the result.
type RenewLease struct{ Lease int64 }

// WriteMember writes the member record again under the lease.
type WriteMember struct {
	Member membership.Member
	Lease  int64
}

// ReadShard reads the value of a request shard; ShardRead delivers it.
type ReadShard struct{ Shard string }

// CommitLedger writes shard values in one transaction; LedgerDone delivers the result.
type CommitLedger struct{ Writes []ledger.Write }

// WriteOwnership writes an ownership record with a compare-and-swap; OwnershipDone delivers the
// result.
type WriteOwnership struct{ Write ownership.Write }

// WriteAllowances writes allowance records with a compare-and-swap in one transaction;
// AllowanceDone delivers the result.
type WriteAllowances struct{ Writes []allowance.Write }

// Resync requests that the daemon read the entire configuration again, because the watch lags behind
// the store. MissingRevision is the revision that the watch has not delivered.
type Resync struct{ MissingRevision int64 }

// Drained reports that the drain is complete and the planned stop may proceed: no unit is held, and
// no reply is pending or Config.MaxDrainWait has passed.
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
