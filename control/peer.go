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

// PeerReply is the reply to a PeerRequest.
type PeerReply interface{ peerReply() }

// SubmitRequest submits a job to its home. The reply is sent when the job is final or Wait has
// passed.
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

// QueryRequest requests the state of a job from its home, or the cancellation of the job.
type QueryRequest struct {
	Op   QueryOp
	Job  ledger.JobKey
	Wait time.Duration
}

// JobReply is the record of a job, or the error if there is none.
type JobReply struct {
	Record *ledger.Record
	Err    *errkind.Error
}

// Placement is one attempt of a task that is sent to the owner of a partition.
type Placement struct {
	Attempt   task.Attempt
	Job       ledger.JobKey
	Index     int
	Partition string
	Epoch     uint64        // of the partition according to the home
	Age       time.Duration // since the job was submitted
	GangSize  int           // number of tasks that start together; 1 if the task is not part of a gang
	Spec      task.Spec
}

// PlaceRequest requests that the owner of a partition queue attempts.
type PlaceRequest struct{ Placements []Placement }

// PlaceReply reports for each placement whether the owner has queued it. A nil entry means that it
// has; otherwise the attempt has not run and will not run.
type PlaceReply struct{ Refusals []*errkind.Error }

// WithdrawRequest requests that an owner dequeue or stop attempts. With OnlyQueued an attempt that
// has left its queue continues.
type WithdrawRequest struct {
	Attempts   []task.Attempt
	Reason     errkind.Kind
	OnlyQueued bool
}

// WithdrawReply lists the attempts that were removed and provably have not run. The end of the
// others is reported with a ReportRequest.
type WithdrawReply struct{ NotRun []task.Attempt }

// LookupRequest requests from the owner of a partition the state of attempts of which the home has
// no current status.
type LookupRequest struct {
	Partition string
	Attempts  []LookupItem
}

// LookupItem is one attempt to look up.
type LookupItem struct {
	Attempt    task.Attempt
	Job        ledger.JobKey
	Index      int
	AtMostOnce bool   // at-most-once work: must not be retried
	Worker     string // of at-most-once work that was permitted: the permitted worker
	BootID     string // of that worker when the start was permitted
}

// LookupState is the state of an attempt as determined by its owner.
type LookupState uint8

// The states of a looked-up attempt.
const (
	LookupPending LookupState = iota // not yet known; look up again
	LookupKnown                      // queued, running, or its end will be reported
	LookupNotRun                     // provably has not run, and will not run
	LookupEnded                      // no longer running; whether it ran is unknown
)

// LookupReply contains the state of each attempt of the request.
type LookupReply struct{ States []LookupState }

// PermitRequest requests the permit to start an attempt of at-most-once work on a worker from the
// home of the job.
type PermitRequest struct {
	Attempt task.Attempt
	Job     ledger.JobKey
	Index   int
	Worker  string
	BootID  string // of the worker
}

// PermitReply reports whether the start is recorded and permitted.
type PermitReply struct{ Granted bool }

// ReportRequest reports the start or end of attempts to their home.
type ReportRequest struct{ Reports []AttemptReport }

// AttemptReport reports the start of an attempt if Outcome is nil, and its end otherwise.
type AttemptReport struct {
	Attempt task.Attempt
	Job     ledger.JobKey
	Index   int
	Worker  string
	Outcome *task.Outcome
}

// ReportReply states for each report whether the home has recorded it. The owner sends the others
// again.
type ReportReply struct{ Recorded []bool }

// PromiseRequest requests a successor's promise not to take over units for the promise window.
type PromiseRequest struct {
	Owner     string              // incarnation
	Successor ownership.Successor // the successor that is to give the promise
	Units     []PromiseUnit
}

// PromiseUnit is one partition or shard of a PromiseRequest.
type PromiseUnit struct {
	Unit  string
	Epoch uint64
}

// PromiseReply reports for each unit whether the promise is given.
type PromiseReply struct {
	From    ownership.Successor
	Granted []bool
}

// HandoverNotice delivers the ownership record to the new owner of a unit before its watch does.
type HandoverNotice struct{ Record ownership.Record }

// HandoverReply confirms a HandoverNotice.
type HandoverReply struct{}

// DigestMessage describes the load of an instance and the configuration that is in force there.
// Instances exchange it at regular intervals.
type DigestMessage struct {
	Instance        string
	Incarnation     string
	Revision        int64         // highest configuration revision in force
	StoreContact    bool          // the store has answered a call within the last Config.KeyFreshness
	StoreContactAge time.Duration // time since the sending of the last call that the store answered
	Freshness       time.Duration // remaining freshness of keys
	Partitions      []PartitionDigest
	Usage           []TeamUsage        // at this owner
	StarvedTeams    []task.Team        // teams for which this owner lacks allowance
	Clock           timeline.Timestamp // of the sender
	// RequestNoCommit, in a request during a store outage, requests a promise not to commit
	// configuration changes for one freshness period; NoCommitPromised in the reply grants it.
	RequestNoCommit  bool
	NoCommitPromised bool
	KnownRevision    int64 // with NoCommitPromised: highest revision that the sender has applied or committed
}

// PartitionDigest is the load of one partition.
type PartitionDigest struct {
	Partition string
	Epoch     uint64
	Free      task.Resources
	Capacity  task.Resources
	Queued    int
	Ready     bool // the owner accepts tasks, and at least one worker is usable
}

// TeamUsage states the resources that a team uses at one owner.
type TeamUsage struct {
	Team task.Team
	Used task.Resources
}

// FetchConfigRequest requests the configuration entries that changed after a revision; 0 requests
// all of them.
type FetchConfigRequest struct{ AfterRevision int64 }

// FetchConfigReply is the configuration with the revision of each entry.
type FetchConfigReply struct {
	AfterRevision int64 // of the request
	Revision      int64
	Entries       []ConfigEntry
}

// ConfigEntry is one key of the configuration below the watched prefix, as read from the store.
type ConfigEntry struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// BeginConfigCommit requests permission to commit a configuration change. It is sent only within
// this process. EndConfigCommit follows once the outcome is known.
type BeginConfigCommit struct{}

// ConfigCommitReply is the reply to BeginConfigCommit and EndConfigCommit.
type ConfigCommitReply struct{ Allowed bool }

// EndConfigCommit reports the known outcome of a commit. Revision is the revision of the change, or
// 0 if it did not take effect.
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
