package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// Worker is what a worker says of itself in the directory.
type Worker struct {
	ID            string
	Born          int64 // start of this life; changes when the worker restarts under its ID
	Address       string
	Service       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      task.Resources
	Draining      bool
	Remaining     time.Duration // least time left while draining
}

// Target says which life of which worker an order is for.
type Target struct {
	Worker  string
	Born    int64 // 0 while the life is not known yet
	Address string

	FailureDomain string // empty if it is not known
}

// Effect is something to be carried out outside the control goroutine. Each
// effect but Decision is answered by one event.
type Effect interface{ isEffect() }

// Hold renews the lease of everything on a worker, confirms ends and asks for a
// report.
type Hold struct {
	Target
	Confirmed uint64        // ends up to this number are recorded and may be forgotten
	LeaseEnd  time.Duration // on the worker's clock; 0 renews nothing
	Wait      time.Duration // the report may wait this long for an end
}

// Start orders one run of a task.
type Start struct {
	Target
	Task       job.TaskKey
	Run        int
	Spec       string
	Ticket     string // of the advice service; empty where the queue needs none
	Checkpoint string
	LeaseEnd   time.Duration // on the worker's clock
	Waited     time.Duration // since the job arrived; for the metrics
}

// Stop orders the end of one run.
type Stop struct {
	Target
	Task job.TaskKey
	Run  int
}

// Ask asks the advice service, through an instance, which workers may run a step.
type Ask struct {
	Lane    string // instance that makes the call
	Step    job.StepKey
	Workers []string
}

// Commit records changes in one transaction of the owner. The commits of one lane
// follow each other; those of different lanes are under way at the same time and
// never change the same record.
type Commit struct {
	Lane    int // below CommitLanes
	Changes []Change
	Roster  []Rostered // workers that may run something; nil if unchanged
}

// Rostered says what a new owner has to expect on a worker.
type Rostered struct {
	Worker string   `json:"w"`
	Closed bool     `json:"c,omitempty"` // nothing but Tasks can run there
	Tasks  []string `json:"t,omitempty"`
}

// Change is the new record of one job: exactly one of Progress and Final is set.
type Change struct {
	Job      job.ID
	Progress *job.Progress
	Final    *job.Final

	// Records that are removed with a Final.
	HadProgress    bool
	MayBeCancelled bool

	version uint64
}

// Decision is one line for the log: what was decided for a request, and from
// what.
type Decision struct {
	Job    job.ID
	What   string
	Fields []any // alternating names and values
}

// Done tells a waiting caller that its cancellation is recorded.
type Done struct{ Token uint64 }

func (Hold) isEffect()     {}
func (Start) isEffect()    {}
func (Stop) isEffect()     {}
func (Ask) isEffect()      {}
func (Commit) isEffect()   {}
func (Decision) isEffect() {}
func (Done) isEffect()     {}

// Verdict is what a worker answered to an order.
type Verdict int

// The verdicts.
const (
	Accepted       Verdict = iota // carried out, or it already was
	NotSent                       // surely had no effect
	Unclear                       // may have been carried out, or may be later
	Fenced                        // a newer owner commands the worker
	OtherLife                     // another life of the worker answered
	Outdated                      // a run of that number or a higher one has ended there
	LeaseOver                     // the lease had ended before the order arrived
	NoRoom                        // the worker guards its capacity and has none
	TicketRejected                // the ticket is not valid there any more
	Unhealthy                     // the worker takes no orders; it did nothing
	Invalid                       // the worker does not understand the order
)

var verdictNames = [...]string{"accepted", "not_sent", "unclear", "fenced", "other_life", "outdated",
	"lease_over", "no_room", "ticket_rejected", "unhealthy", "invalid"}

// String returns the verdict as it stands in logs.
func (v Verdict) String() string { return verdictNames[v] }

// StartDone answers Start.
type StartDone struct {
	Start   Start
	Verdict Verdict
}

// StopDone answers Stop.
type StopDone struct {
	Stop    Stop
	Verdict Verdict
}

// RunReport is one run that a worker lists as running.
type RunReport struct {
	Task       job.TaskKey
	Run        int
	Checkpoint string
	Percent    int // of its work, or 100 for a long-lived task at work
}

// Ending says how a run ended.
type Ending string

// The endings.
const (
	EndedDone    Ending = "done"
	EndedFailed  Ending = "failed"
	EndedStopped Ending = "stopped"
	EndedLapsed  Ending = "lapsed" // its lease ended
	EndedBroken  Ending = "broken" // another member of its gang ended
	EndedAlone   Ending = "alone"  // the other members of its gang did not arrive
)

// EndReport is one run that a worker lists as ended.
type EndReport struct {
	Number     uint64 // of the end, in this life of the worker
	Task       job.TaskKey
	Run        int
	How        Ending
	Checkpoint string
}

// HoldDone answers Hold.
type HoldDone struct {
	Hold    Hold
	Verdict Verdict
	SentAt  time.Time     // monotonic, before the call was sent
	Clock   time.Duration // reading of the worker's clock
	Born    int64
	Running []RunReport
	Ended   []EndReport
}

// AskDone answers Ask.
type AskDone struct {
	Ask     Ask
	Failed  bool              // no answer; LaneBusy or a lost call
	Tickets map[string]string // by worker; a worker that is missing may not run the step
	Valid   time.Duration     // how long the tickets may be used
}

// CommitDone answers Commit. Recorded is false if the transaction was refused
// because the ownership has changed; the owner then stops.
type CommitDone struct {
	Commit Commit
}
