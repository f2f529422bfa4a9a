package cell

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// Event is something that happened outside the control goroutine.
type Event interface{ isEvent() }

// Owner is the record of who owns the partition.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"` // of the process, so that a restart is another owner
	Address     string `json:"address"`     // of its server for other instances
}

// Events. The schedule events arrive wrapped in Scheduled.
type (
	// Tick lets time pass.
	Tick struct{}
	// CatalogRead brings a configuration.
	CatalogRead struct{ Catalog *job.Catalog }
	// StoreHeard says that everything the store had acknowledged by At has been
	// delivered to this instance.
	StoreHeard struct{ At time.Time }
	// OwnerSeen brings the ownership record as the store has it.
	OwnerSeen struct {
		Found    bool
		Owner    Owner
		Revision int64 // of the record, or of its removal
		// MostCores is the largest number of processor cores that any instance has
		// recorded as its own; 0 before the first one.
		MostCores float64
	}
	// CampaignDone answers Campaign.
	CampaignDone struct {
		Won      bool
		Revision int64 // of the ownership record
		Lease    int64
	}
	// Recovered answers Recover.
	Recovered struct {
		Revision int64 // of the ownership record under which it was read
		State    Recovery
	}
	// RenewDone answers Renew.
	RenewDone struct {
		Lease int64
		Gone  bool // the lease has ended
	}
	// Committed answers CommitRecords.
	Committed struct {
		Commit   schedule.Commit
		Owner    int64 // revision of the ownership record
		Sequence int64 // new revision of the sequence record of the lane
		Lost     bool  // another owner has taken over
	}
	// DirectoryRead brings the workers that exist.
	DirectoryRead struct{ Workers []schedule.Worker }
	// JobsSeen brings jobs and cancellations from the store.
	JobsSeen struct {
		Jobs      []Submission
		Cancelled []job.ID
	}
	// Scheduled brings the outcome of an effect of package schedule under an
	// ownership.
	Scheduled struct {
		Owner int64
		Event any
	}
	// Called is a question that waits for a Reply with the token.
	Called struct {
		Token    uint64
		Question any
	}
	// Forgotten says that nobody waits for a token any more.
	Forgotten struct{ Token uint64 }
	// Stopping begins a planned stop.
	Stopping struct{}
)

func (Tick) isEvent()          {}
func (CatalogRead) isEvent()   {}
func (StoreHeard) isEvent()    {}
func (OwnerSeen) isEvent()     {}
func (CampaignDone) isEvent()  {}
func (Recovered) isEvent()     {}
func (RenewDone) isEvent()     {}
func (Committed) isEvent()     {}
func (DirectoryRead) isEvent() {}
func (JobsSeen) isEvent()      {}
func (Scheduled) isEvent()     {}
func (Called) isEvent()        {}
func (Forgotten) isEvent()     {}
func (Stopping) isEvent()      {}

// Submission is a recorded job and the revision at which it was recorded.
type Submission struct {
	Job      *job.Job
	Revision int64
}

// Recovery is what a new owner reads before it acts.
type Recovery struct {
	Sequences [schedule.CommitLanes]int64 // revisions of the sequence records
	ReadAt    int64                       // store revision; every job recorded by then is among Jobs or has ended
	Jobs      []schedule.Known
	Roster    []schedule.Rostered
	Workers   []schedule.Worker
}

// Questions of Called, and their replies.
type (
	// Submit hands a recorded job to the owner. The reply is Reply{Known: true}.
	Submit struct{ Submission }
	// StateOf asks for the state of a job.
	StateOf struct{ Job job.ID }
	// Cancel cancels a job; the reply follows when that is recorded.
	Cancel struct {
		Job   job.ID
		Queue string // of the call; a job of another queue is not known to the caller
		Team  string // whose key came with the call; empty where the queue is open
	}
	// Follow says that an instance is there and takes advice calls, and asks for
	// what has changed since it last did.
	Follow struct {
		Instance  string
		Epoch     int64
		Since     uint64
		Submitted map[string]int // jobs handed to it since, by team
	}
)

// Reply answers a question.
type Reply struct {
	NotOwner bool // this instance cannot answer
	Known    bool
	State    job.State
	Team     string
	Queue    string
	View     *schedule.View // answers Follow
}
