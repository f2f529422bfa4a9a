package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/allowance"
	"github.com/mulberrydrum/mulberrydrum/document"
	"github.com/mulberrydrum/mulberrydrum/keyring"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/membership"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Event is something that happened outside the control goroutine.
type Event interface{ event() }

// Tick is the periodic event on which timeouts are checked and due calls are made.
type Tick struct{}

// PeerCall is a request of another entry instance, or of a handler of this one. Token identifies
// the waiting call that gets the reply.
type PeerCall struct {
	Token   uint64
	From    string // instance; empty for a handler of this process
	Request PeerRequest
}

// Forget cancels a waiting call whose caller has gone.
type Forget struct{ Token uint64 }

// PeerDone is the result of a Send. Err is set if there is no reply; the request may still have
// taken effect.
type PeerDone struct {
	Send  Send
	Reply PeerReply
	Err   error
}

// StartDone is the result of a StartTask.
type StartDone struct {
	Start  StartTask
	Result StartResult
	Clock  time.Duration // of the worker, when it replied
	BootID string
	// Outcome is set if the task finished within StartTask.Wait. If its result is not ResultBytes
	// long, it was left out and has to be fetched.
	Outcome     *task.Outcome
	ResultBytes int64
	Detail      string // why the result is not StartRunning
}

// StartResult is the result of a start order.
type StartResult uint8

// The results of a start.
const (
	StartRunning StartResult = iota
	StartNotRun              // certainly not started
	StartUnclear             // may have started
)

// SyncDone is the result of a SyncWorker.
type SyncDone struct {
	Sync   SyncWorker
	SentAt time.Time
	Err    error
	Reply  WorkerReport
}

// WorkerReport is the status report of a worker.
type WorkerReport struct {
	BootID   string
	Clock    time.Duration // since its boot
	Sequence uint64
	Full     bool
	Capacity task.Resources
	Leaving  bool
	Tasks    []TaskReport
}

// TaskReport is the status of one attempt, as its worker reports it.
type TaskReport struct {
	Attempt     task.Attempt
	Team        task.Team
	Class       string
	Size        task.Resources
	Usage       task.Resources
	Outcome     *task.Outcome // nil while it runs; without its result
	ResultBytes int64
}

// LookupDone is the result of a LookupTask.
type LookupDone struct {
	Lookup LookupTask
	Err    error
	Known  bool
	Clock  time.Duration
	BootID string
	Report TaskReport
}

// ResultDone is the result of a FetchResult.
type ResultDone struct {
	Fetch FetchResult
	Err   error
	Data  []byte
}

// KeepAliveDone is the result of a RenewLease. Its read of the revision was sent at SentAt, too,
// and is valid independently of Err.
type KeepAliveDone struct {
	SentAt   time.Time
	Lease    int64
	Err      error
	Gone     bool  // the lease no longer exists in the store
	Revision int64 // of the latest change of the configuration; 0 if the read failed
}

// LeaseGranted is the result of a GrantLease.
type LeaseGranted struct {
	SentAt   time.Time
	Lease    int64
	Revision int64 // of the store when the member record was written
	Err      error
}

// ConfigChanged delivers changes below the watched prefix, in order.
type ConfigChanged struct {
	Revision int64
	Complete bool // the changes list every existing key: absent keys are deleted
	Changes  []ConfigChange
}

// ConfigChange is one decoded change. Exactly one of Document, Key, Member, Record, Allowance and
// Drain is set, unless the entry was deleted or cannot be decoded.
type ConfigChange struct {
	Entry     ConfigEntry
	Document  *document.Document
	Key       *keyring.Key
	Member    *membership.Member
	Record    *ownership.Record
	Allowance *allowance.Record
	Drain     string // name of an entry instance or worker that drains
	Err       error  // why the value cannot be decoded
}

// InstancesListed delivers the platform's instance list.
type InstancesListed struct {
	SentAt  time.Time
	Workers []ListedWorker
	Entries []membership.Member // entry instances that are not gone; only names and locations are set
}

// ListedWorker is one worker of the instance list.
type ListedWorker struct {
	Name, Address, Region, FailureDomain, Rack string
	Leaving, Gone                              bool
}

// ShardRead is the result of a ReadShard.
type ShardRead struct {
	Shard    string
	Err      error
	Value    ledger.ShardValue
	Revision int64
}

// LedgerDone is the result of a CommitLedger.
type LedgerDone struct {
	Writes   []ledger.Write
	Result   ledger.Result
	Revision int64
	Current  []ShardRead // on conflict: the present values in the store
}

// OwnershipDone is the result of a WriteOwnership.
type OwnershipDone struct {
	Unit   string
	Result ownership.WriteResult
}

// AllowanceDone is the result of a WriteAllowances.
type AllowanceDone struct {
	Writes []allowance.Write
	Result allowance.WriteResult
}

// DrainRequested starts a planned stop.
type DrainRequested struct{}

// OwnershipForced lets this instance take over, after the safety wait, a unit whose owner and
// successors are all gone.
type OwnershipForced struct{ Unit string }

func (Tick) event()            {}
func (PeerCall) event()        {}
func (Forget) event()          {}
func (PeerDone) event()        {}
func (StartDone) event()       {}
func (SyncDone) event()        {}
func (LookupDone) event()      {}
func (ResultDone) event()      {}
func (KeepAliveDone) event()   {}
func (LeaseGranted) event()    {}
func (ConfigChanged) event()   {}
func (InstancesListed) event() {}
func (ShardRead) event()       {}
func (LedgerDone) event()      {}
func (OwnershipDone) event()   {}
func (AllowanceDone) event()   {}
func (DrainRequested) event()  {}
func (OwnershipForced) event() {}
