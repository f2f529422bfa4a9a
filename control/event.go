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

// Event is an input of the control state: a tick, a request, or the result of an effect.
type Event interface{ event() }

// Tick is the periodic event on which timeouts are checked and due calls are made.
type Tick struct{}

// PeerCall is a request from another entry instance or from a handler of this process. Token
// identifies the waiting call to which the reply is delivered.
type PeerCall struct {
	Token   uint64
	From    string // instance; empty for a handler of this process
	Request PeerRequest
}

// CallCancelled cancels a waiting call whose context has ended.
type CallCancelled struct{ Token uint64 }

// PeerDone is the result of a Send. Err is set if no reply was received; the request may still have
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
	// Outcome is set if the task finished within StartTask.OutcomeWait. If its result is not ResultBytes
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
	StartNotRun              // definitely not started
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
	Full     bool // Tasks lists every attempt on the worker, not only the changed ones
	Capacity task.Resources
	Leaving  bool
	Tasks    []TaskReport
}

// TaskReport is the status of one attempt as reported by its worker.
type TaskReport struct {
	Attempt     task.Attempt
	Team        task.Team
	Class       string
	Size        task.Resources
	Usage       task.Resources
	Outcome     *task.Outcome // nil while the task runs; does not include the result
	ResultBytes int64
}

// LookupDone is the result of a LookupTask.
type LookupDone struct {
	Lookup LookupTask
	Err    error
	Found  bool          // the worker has a record of the attempt
	Clock  time.Duration // of the worker, when it replied
	BootID string
	Report TaskReport // valid if Found
}

// ResultDone is the result of a FetchResult.
type ResultDone struct {
	Fetch FetchResult
	Err   error
	Data  []byte
}

// KeepAliveDone is the result of a RenewLease. Revision comes from a read that was also sent at
// SentAt; it is valid even if Err is set.
type KeepAliveDone struct {
	SentAt   time.Time
	Lease    int64
	Err      error
	Gone     bool  // the lease no longer exists in the store
	Revision int64 // of the latest configuration change; 0 if the read failed
}

// LeaseGranted is the result of a GrantLease.
type LeaseGranted struct {
	SentAt   time.Time
	Lease    int64
	Revision int64 // of the store when the member record was written
	Err      error
}

// ConfigChanged delivers the changes of keys below the watched prefix, in order.
type ConfigChanged struct {
	Revision int64
	Complete bool // Changes lists every existing key; keys that are absent have been deleted
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
	Drain     string // name of an entry instance or worker to drain
	Err       error  // why the value cannot be decoded
}

// InstancesListed delivers the platform's instance list.
type InstancesListed struct {
	SentAt  time.Time
	Workers []ListedWorker
	Entries []membership.Member // without those listed as gone; only names and locations are set
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
	Result   ledger.CommitResult
	Revision int64
	Current  []ShardRead // on conflict: the current values in the store
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

// DrainRequested starts the drain before a planned stop.
type DrainRequested struct{}

// OwnershipForced is an operator's declaration that the owner and the successors of a unit are
// gone. This instance takes the unit over after the wait that ownership.Table.ForceTakeover returns.
type OwnershipForced struct{ Unit string }

func (Tick) event()            {}
func (PeerCall) event()        {}
func (CallCancelled) event()   {}
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
