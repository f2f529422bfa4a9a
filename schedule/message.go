package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Worker is the entry of a worker in the directory.
type Worker struct {
	ID            string
	Revision      int64 // of the entry; increases with every change of it
	Incarnation   int64 // changes when the worker restarts under the same ID
	Address       string
	Service       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      task.Resources
	Draining      bool
	Remaining     time.Duration // while draining, the minimum time for which the worker remains
	ColdLeft      time.Duration // how much longer the worker is slow after its start
}

// Target identifies the worker and the incarnation that an order is for. No other incarnation executes
// the order: a worker that has restarted knows neither the fencing tokens nor the leases nor the stop
// orders of before, and would execute it although it has become obsolete.
type Target struct {
	Worker      string
	Incarnation int64
	Address     string

	FailureDomain string // empty if unknown
}

// Effect is an action to be executed outside the control goroutine. Poll, Start, Stop, AdviceCall
// and Commit each result in one event, except for a rejected Commit (see CommitDone).
type Effect interface{ isEffect() }

// Poll polls a worker for a report, renews the lease that covers all of its runs and confirms the
// ends of runs whose effect is durable.
type Poll struct {
	Target
	Confirmed uint64        // the worker may discard ends up to this number
	LeaseEnd  time.Duration // on the worker's clock; 0 if the lease is not renewed
	Wait      time.Duration // long-poll timeout: the worker may delay the report until a run ends
}

// Start is an order to start one run of a task.
type Start struct {
	Target
	Task       job.TaskKey
	Run        int
	Spec       string
	Ticket     string // of the advice service; empty if the queue needs none
	Checkpoint string
	LeaseEnd   time.Duration // on the worker's clock
	WaitTime   time.Duration // time since the job arrived; for the metrics
}

// Stop is an order to stop one run of a task.
type Stop struct {
	Target
	Task job.TaskKey
	Run  int
}

// AdviceCall is a call to the advice service, made by the given instance. It returns tickets for
// those of the given workers that are eligible to run a step.
type AdviceCall struct {
	Instance string // instance that makes the call
	Step     job.StepKey
	Workers  []string
}

// Commit writes changes in one transaction of the owner. Commits of the same stream are executed
// sequentially. Commits of different streams are executed concurrently and never write the same
// record.
type Commit struct {
	Stream  int // number of the commit stream, below CommitStreams
	Changes []Change
	Roster  []RosterEntry   // workers on which runs may exist; nil if unchanged
	PastUse *pastuse.Record // nil if it is not due
}

// RosterEntry is the roster entry of a worker: the runs that a new owner must expect there.
type RosterEntry struct {
	Worker string   `json:"w"`
	Closed bool     `json:"c,omitempty"` // only Tasks can run there
	Tasks  []string `json:"t,omitempty"`
}

// Change is the new record of one job: exactly one of Progress and Final is set.
type Change struct {
	Job      job.ID
	Progress *job.Progress
	Final    *job.Final

	// Further records of the job that may exist and are deleted when a Final is written.
	HadProgress    bool
	MayBeCancelled bool

	version uint64 // of the job state that the record contains
}

// Decision is a log entry for a scheduling decision and the values that it is based on.
type Decision struct {
	Job    job.ID
	Event  string
	Fields []any // alternating names and values
}

// CancelDone reports to the caller that cancelled a job that the final state of the job is recorded.
type CancelDone struct{ Token uint64 }

// ForecastChecked reports by how much later a job has started than forecast when it was admitted.
type ForecastChecked struct{ Error time.Duration }

func (Poll) isEffect()            {}
func (Start) isEffect()           {}
func (Stop) isEffect()            {}
func (AdviceCall) isEffect()      {}
func (Commit) isEffect()          {}
func (Decision) isEffect()        {}
func (CancelDone) isEffect()      {}
func (ForecastChecked) isEffect() {}

// Verdict is the outcome of an order to a worker.
type Verdict int

const (
	Accepted             Verdict = iota // executed, by this order or by an earlier copy of it
	NotSent                             // the order provably had no effect
	Unclear                             // the answer was lost; the order may have been executed or may be executed later
	Fenced                              // the worker has accepted orders of a newer owner
	OtherIncarnation                    // another incarnation of the worker answered
	Outdated                            // a run of the task with this or a higher number has ended there
	LeaseExpired                        // the lease had expired before the order arrived
	InsufficientCapacity                // the worker enforces its capacity and has too little left
	TicketRejected                      // the ticket is no longer valid
	Unhealthy                           // the worker rejects all orders; no effect
	Invalid                             // the worker cannot parse the order
)

var verdictNames = [...]string{"accepted", "not_sent", "unclear", "fenced", "other_life", "outdated",
	"lease_over", "no_room", "ticket_rejected", "unhealthy", "invalid"}

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// StartDone is the outcome of Start.
type StartDone struct {
	Start   Start
	Verdict Verdict
}

// StopDone is the outcome of Stop.
type StopDone struct {
	Stop    Stop
	Verdict Verdict
}

// RunReport is one run that a worker reports as running.
type RunReport struct {
	Task       job.TaskKey
	Run        int
	Checkpoint string
	Percent    int // progress, or 100 for a long-lived task that is serving
}

// EndReason is the reason why a run ended.
type EndReason string

const (
	EndedSucceeded    EndReason = "done"
	EndedFailed       EndReason = "failed"
	EndedStopped      EndReason = "stopped"
	EndedLeaseExpired EndReason = "lapsed" // its lease expired
	EndedGangBroken   EndReason = "broken" // another member of its gang ended
	EndedGangTimeout  EndReason = "alone"  // the other members of its gang did not start in time
)

// EndReport is one run that a worker reports as ended.
type EndReport struct {
	Number     uint64 // sequence number of the end in this incarnation of the worker
	Task       job.TaskKey
	Run        int
	Reason     EndReason
	Checkpoint string
}

// PollDone is the outcome of Poll: the report of the worker or the failure of the call.
type PollDone struct {
	Poll        Poll
	Verdict     Verdict
	SentAt      time.Time     // monotonic, before the call was sent
	Clock       time.Duration // reading of the worker's clock
	Incarnation int64         // that answered; 0 if unknown
	Running     []RunReport
	Ended       []EndReport
	Partial     bool // the report may lack runs, so that nothing follows from a run that is not listed
}

// AdviceCallDone is the outcome of AdviceCall.
type AdviceCallDone struct {
	Call     AdviceCall
	Failed   bool              // the call failed or was lost
	Tickets  map[string]string // by worker; a worker without a ticket may not run the step
	Validity time.Duration     // validity of the tickets
}

// CommitDone reports that a Commit is durable. There is none if the transaction was rejected because
// the ownership has changed; the owner then steps down.
type CommitDone struct {
	Revision int64 // of the store with the commit
	Commit   Commit
}
