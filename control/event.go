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

// Tick lets time-outs take effect.
type Tick struct{}

// PeerCall is a request of another entry instance, or of a handler of this one.
// The reply goes to Token.
type PeerCall struct {
	Token   uint64
	From    string // instance; empty for a handler of this process
	Request PeerRequest
}

// Forget drops a call whose caller waits no more.
type Forget struct{ Token uint64 }

// PeerDone is the end of a Send. Err is set when there is no reply; the request
// may still have had its effect.
type PeerDone struct {
	Send  Send
	Reply PeerReply
	Err   error
}

// StartDone is the end of a StartTask.
type StartDone struct {
	Start  StartTask
	Result StartResult
	Clock  time.Duration // of the worker, when it replied
	BootID string
	// Outcome is set when the task finished within the wait. Its result is left
	// out, and to be fetched, if it does not have ResultBytes.
	Outcome     *task.Outcome
	ResultBytes int64
	Detail      string // why the result is not StartRunning
}

// StartResult is what became of a start.
type StartResult uint8

// The results of a start.
const (
	StartRunning StartResult = iota
	StartNotRun              // surely not started
	StartUnclear             // may have started
)

// SyncDone is the end of a SyncWorker.
type SyncDone struct {
	Sync   SyncWorker
	SentAt time.Time
	Err    error
	Reply  WorkerReport
}

// WorkerReport is what a worker says of itself.
type WorkerReport struct {
	BootID   string
	Clock    time.Duration // since its boot
	Sequence uint64
	Full     bool
	Capacity task.Resources
	Leaving  bool
	Tasks    []TaskReport
}

// TaskReport is what a worker says of one attempt.
type TaskReport struct {
	Attempt     task.Attempt
	Team        task.Team
	Class       string
	Size        task.Resources
	Usage       task.Resources
	Outcome     *task.Outcome // nil while it runs; without its result
	ResultBytes int64
}

// LookupDone is the end of a LookupTask.
type LookupDone struct {
	Lookup LookupTask
	Err    error
	Known  bool
	Clock  time.Duration
	BootID string
	Report TaskReport
}

// ResultDone is the end of a FetchResult.
type ResultDone struct {
	Fetch FetchResult
	Err   error
	Data  []byte
}

// KeepAliveDone is the end of a RenewLease. The read was sent at SentAt too and
// counts by itself.
type KeepAliveDone struct {
	SentAt   time.Time
	Lease    int64
	Err      error
	Gone     bool  // the store does not know the lease any more
	Revision int64 // of the latest change of the configuration; 0 if the read failed
}

// LeaseGranted is the end of a GrantLease.
type LeaseGranted struct {
	SentAt   time.Time
	Lease    int64
	Revision int64 // of the store when the member record was written
	Err      error
}

// ConfigChanged delivers changes below the watched prefix, in order.
type ConfigChanged struct {
	Revision int64
	Complete bool // the changes are everything that exists: absent keys are deleted
	Changes  []ConfigChange
}

// ConfigChange is one decoded change. Exactly one of the pointers is set unless
// it was deleted or cannot be read.
type ConfigChange struct {
	Entry     ConfigEntry
	Document  *document.Document
	Key       *keyring.Key
	Member    *membership.Member
	Record    *ownership.Record
	Allowance *allowance.Record
	Drain     string // name of an entry instance or worker that drains
	Err       error  // why the value cannot be read
}

// InstancesListed delivers the platform's instance list.
type InstancesListed struct {
	SentAt  time.Time
	Workers []ListedWorker
	Entries []membership.Member // entry instances that are not gone; only names and places are set
}

// ListedWorker is one worker of the instance list.
type ListedWorker struct {
	Name, Address, Region, FailureDomain, Rack string
	Leaving, Gone                              bool
}

// ShardRead is the end of a ReadShard.
type ShardRead struct {
	Shard    string
	Err      error
	Value    ledger.ShardValue
	Revision int64
}

// LedgerDone is the end of a CommitLedger.
type LedgerDone struct {
	Writes   []ledger.Write
	Result   ledger.Result
	Revision int64
	Current  []ShardRead // on conflict: what the store holds
}

// OwnershipDone is the end of a WriteOwnership.
type OwnershipDone struct {
	Unit   string
	Result ownership.WriteResult
}

// AllowanceDone is the end of a WriteAllowances.
type AllowanceDone struct {
	Writes []allowance.Write
	Result allowance.WriteResult
}

// DrainRequested starts a planned stop.
type DrainRequested struct{}

// OwnershipForced lets this instance take a unit over whose owner and
// successors are all gone, after the safety wait.
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
