package control

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/ledger"
	"github.com/mulberrydrum/mulberrydrum/ownership"
	"github.com/mulberrydrum/mulberrydrum/task"
	"github.com/mulberrydrum/mulberrydrum/timeline"
)

// PeerRequest is a request from one entry instance to another. Package entry encodes it.
type PeerRequest interface{ peerRequest() }

// PeerReply answers a PeerRequest.
type PeerReply interface{ peerReply() }

// SubmitRequest asks the home of a job to accept it. The reply comes when the job is final or Wait
// has passed.
type SubmitRequest struct {
	Spec task.Spec
	Wait time.Duration
}

// QueryOp is the operation of a QueryRequest.
type QueryOp uint8

// The operations on a submitted job.
const (
	QueryStatus QueryOp = iota
	QueryWait
	QueryCancel
)

// QueryRequest asks the home of a job for its state, or to cancel it.
type QueryRequest struct {
	Op   QueryOp
	Job  ledger.JobKey
	Wait time.Duration
}

// JobReply is the record of a job, or the error why there is none.
type JobReply struct {
	Record *ledger.Record
	Err    *errkind.Error
}

// Placement is one task sent to the owner of a partition.
type Placement struct {
	Attempt   task.Attempt
	Job       ledger.JobKey
	Index     int
	Partition string
	Epoch     uint64        // of the partition's owner in the home's view
	Age       time.Duration // since the job was submitted
	Gang      int           // tasks that start together; 1 for none
	Spec      task.Spec
}

// PlaceRequest asks the owner of partitions to run tasks.
type PlaceRequest struct{ Placements []Placement }

// PlaceReply says for each placement whether the owner has queued it. A nil entry means that it
// has; otherwise the attempt was not run and will not be.
type PlaceReply struct{ Refusals []*errkind.Error }

// WithdrawRequest asks an owner to dequeue or stop attempts. With OnlyWaiting an attempt that has
// left its queue continues.
type WithdrawRequest struct {
	Attempts    []task.Attempt
	Reason      errkind.Kind
	OnlyWaiting bool
}

// WithdrawReply lists the attempts that were removed and are proved not run. The others end with a
// report.
type WithdrawReply struct{ NotRun []task.Attempt }

// LookupRequest asks the owner of a partition for the state of attempts of which the home has no
// current status.
type LookupRequest struct {
	Partition string
	Attempts  []LookupItem
}

// LookupItem is one attempt to look up.
type LookupItem struct {
	Attempt task.Attempt
	Job     ledger.JobKey
	Index   int
	Once    bool   // may not be repeated
	Worker  string // of at-most-once work that was permitted: the worker to ask
	BootID  string // of that worker when the start was permitted
}

// LookupState is the state of an attempt as its owner can determine it.
type LookupState uint8

// The states of a looked-up attempt.
const (
	LookupPending LookupState = iota // not known yet: look up again
	LookupKnown                      // queued, running, or its end will be reported
	LookupNotRun                     // proved not run, and will not run
	LookupEnded                      // not running any more; whether it ran is not known
)

// LookupReply answers for each attempt of the request.
type LookupReply struct{ States []LookupState }

// PermitRequest asks the home of at-most-once work whether an attempt may start
// on a worker.
type PermitRequest struct {
	Attempt task.Attempt
	Job     ledger.JobKey
	Index   int
	Worker  string
	BootID  string // of the worker
}

// PermitReply says whether the start is recorded and may happen.
type PermitReply struct{ Granted bool }

// ReportRequest reports the start or end of attempts to their home.
type ReportRequest struct{ Reports []AttemptReport }

// AttemptReport is a start, if Outcome is nil, or the end of an attempt.
type AttemptReport struct {
	Attempt task.Attempt
	Job     ledger.JobKey
	Index   int
	Worker  string
	Outcome *task.Outcome
}

// ReportReply says for each report whether the home has recorded it. The owner
// sends the others again.
type ReportReply struct{ Recorded []bool }

// PromiseRequest asks a successor not to take over units for a window.
type PromiseRequest struct {
	Owner    string // incarnation
	Promisee ownership.Successor
	Units    []PromiseUnit
}

// PromiseUnit is one partition or shard of a PromiseRequest.
type PromiseUnit struct {
	Unit  string
	Epoch uint64
}

// PromiseReply says for each unit whether the promise is given.
type PromiseReply struct {
	From    ownership.Successor
	Granted []bool
}

// HandoverNotice delivers the ownership record to the new owner of a unit, which would otherwise
// get it from its watch.
type HandoverNotice struct{ Record ownership.Record }

// HandoverReply confirms a HandoverNotice.
type HandoverReply struct{}

// DigestMessage describes the load and the configuration of an instance. Instances exchange it at
// regular intervals.
type DigestMessage struct {
	Instance     string
	Incarnation  string
	Revision     int64         // highest configuration revision in force
	StoreContact bool          // the store answered within the key freshness
	ContactAge   time.Duration // since the last call was sent that the store answered
	Freshness    time.Duration // remaining freshness of keys
	Partitions   []PartitionDigest
	Usage        []TeamUsage
	Wants        []task.Team // teams for which this owner lacks allowance
	Clock        timeline.Clock
	// AskNoCommit, in a request during a store outage, asks the receiver not to commit a
	// configuration change for a window; NoCommit in the reply grants it.
	AskNoCommit bool
	NoCommit    bool
	Known       int64 // with NoCommit: highest revision that is in force at, or was committed by, the sender
}

// PartitionDigest is the load of one partition.
type PartitionDigest struct {
	Partition string
	Epoch     uint64
	Free      task.Resources
	Capacity  task.Resources
	Queued    int
	Ready     bool // the owner accepts tasks, and a worker is usable
}

// TeamUsage is the resources that a team uses at one owner.
type TeamUsage struct {
	Team task.Team
	Size task.Resources
}

// FetchConfigRequest asks an instance for the configuration entries that changed after a revision;
// 0 asks for all of them.
type FetchConfigRequest struct{ After int64 }

// FetchConfigReply is the configuration with the revision of each entry.
type FetchConfigReply struct {
	After    int64 // of the request
	Revision int64
	Entries  []ConfigEntry
}

// ConfigEntry is one key of the configuration below the watched prefix, as the
// store holds it.
type ConfigEntry struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// BeginConfigCommit asks, within this process, whether a configuration change
// may be committed now. EndConfigCommit follows once the outcome is known.
type BeginConfigCommit struct{}

// ConfigCommitReply answers BeginConfigCommit.
type ConfigCommitReply struct{ Allowed bool }

// EndConfigCommit says that the outcome of a commit is known. Revision is that of
// the change, 0 if there was none.
type EndConfigCommit struct{ Revision int64 }

func (HandoverNotice) peerRequest()     {}
func (HandoverReply) peerReply()        {}
func (BeginConfigCommit) peerRequest()  {}
func (EndConfigCommit) peerRequest()    {}
func (ConfigCommitReply) peerReply()    {}
func (SubmitRequest) peerRequest()      {}
func (QueryRequest) peerRequest()       {}
func (PlaceRequest) peerRequest()       {}
func (WithdrawRequest) peerRequest()    {}
func (LookupRequest) peerRequest()      {}
func (PermitRequest) peerRequest()      {}
func (ReportRequest) peerRequest()      {}
func (PromiseRequest) peerRequest()     {}
func (DigestMessage) peerRequest()      {}
func (FetchConfigRequest) peerRequest() {}

func (JobReply) peerReply()         {}
func (PlaceReply) peerReply()       {}
func (WithdrawReply) peerReply()    {}
func (LookupReply) peerReply()      {}
func (PermitReply) peerReply()      {}
func (ReportReply) peerReply()      {}
func (PromiseReply) peerReply()     {}
func (DigestMessage) peerReply()    {}
func (FetchConfigReply) peerReply() {}
