package cell

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/pastuse"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// Event is an input to the control state: a request, the outcome of an effect or data
// read from the store.
type Event interface{ isEvent() }

// Owner is the ownership record of the partition.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"` // of the process; differs after a restart, so that a restarted process is a different owner
	Address     string `json:"address"`     // at which it accepts calls from other instances
}

// Events. The schedule events arrive wrapped in ScheduleOutcome.
type (
	// Tick triggers the work that is due at the current time.
	Tick struct{}
	// CatalogRead delivers a version of the configuration.
	CatalogRead struct{ Catalog *job.Catalog }
	// EvacuationsRead delivers the set of evacuated failure domains.
	EvacuationsRead struct{ job.Evacuations }
	// StoreSynced reports that every change which the store had acknowledged by At
	// has been delivered to this instance.
	StoreSynced struct{ At time.Time }
	// OwnerObserved delivers the ownership record as read from the store.
	OwnerObserved struct {
		Found    bool
		Owner    Owner
		Revision int64 // of the record, or of its removal
		// MaxCores is the highest processor core count that any instance has recorded;
		// 0 if none has.
		MaxCores float64
	}
	// CampaignDone is the outcome of Campaign.
	CampaignDone struct {
		Won       bool
		Revision  int64 // of the ownership record
		Lease     int64
		GrantedAt time.Time // when the grant of the lease was sent
	}
	// Recovered is the outcome of Recover.
	Recovered struct {
		Revision int64 // of the ownership record under which the state was read
		State    Recovery
	}
	// RenewDone is the outcome of Renew.
	RenewDone struct {
		Lease int64
		Gone  bool // the lease has expired or was revoked
	}
	// Committed is the outcome of CommitRecords.
	Committed struct {
		Commit        schedule.Commit
		OwnerRevision int64 // revision of the ownership record
		Sequence      int64 // new revision of the sequence record of the commit stream
		Lost          bool  // the commit was refused because another owner has taken over
	}
	// DirectoryRead delivers the list of existing workers.
	DirectoryRead struct {
		Workers []schedule.Worker
		AsOf    time.Time // it includes every change acknowledged up to then
	}
	// StoreUnavailable reports that the store did not deliver the list of existing workers.
	StoreUnavailable struct{}
	// JobsObserved delivers jobs and cancellations that were read from the store.
	JobsObserved struct {
		OwnerRevision int64 // of the ownership record under which they were read
		Jobs          []Submission
		Cancelled     []job.ID
		Revision      int64     // of the store; every one recorded up to it was delivered
		AsOf          time.Time // every one acknowledged up to then was delivered; zero for a part of a list
	}
	// ScheduleOutcome delivers the outcome of an effect of package schedule that was
	// issued under the ownership with revision OwnerRevision.
	ScheduleOutcome struct {
		OwnerRevision int64
		Event         any
	}
	// RequestReceived delivers a request. The reply is returned in an Answer with the
	// same token.
	RequestReceived struct {
		Token   uint64
		Request any
	}
	// CallerGone reports that the caller of a request no longer waits for the reply.
	CallerGone struct{ Token uint64 }
	// ShutdownRequested begins a graceful shutdown.
	ShutdownRequested struct{}
)

func (Tick) isEvent()              {}
func (CatalogRead) isEvent()       {}
func (EvacuationsRead) isEvent()   {}
func (StoreSynced) isEvent()       {}
func (OwnerObserved) isEvent()     {}
func (CampaignDone) isEvent()      {}
func (Recovered) isEvent()         {}
func (RenewDone) isEvent()         {}
func (Committed) isEvent()         {}
func (DirectoryRead) isEvent()     {}
func (StoreUnavailable) isEvent()  {}
func (JobsObserved) isEvent()      {}
func (ScheduleOutcome) isEvent()   {}
func (RequestReceived) isEvent()   {}
func (CallerGone) isEvent()        {}
func (ShutdownRequested) isEvent() {}

// Submission is a recorded job and the revision at which it was recorded.
type Submission struct {
	Job      *job.Job
	Revision int64
}

// Recovery is the stored state that a new owner reads before it schedules.
type Recovery struct {
	Sequences    [schedule.CommitStreams]int64 // revisions of the sequence records
	ReadRevision int64                         // store revision; every job recorded up to it is among Jobs or has ended
	Jobs         []schedule.RecordedJob
	Roster       []schedule.RosterEntry
	Workers      []schedule.Worker
	PastUse      *pastuse.Record // nil if there is none that can be read
	AsOf         time.Time       // everything acknowledged up to then is included
}

// Requests that RequestReceived delivers, and their replies.
type (
	// Submit passes a recorded job to the owner. The reply is Reply{Found: true}.
	Submit struct{ Submission }
	// AdmissionQuery asks whether a submission that is not recorded yet may be recorded. The spec of the
	// job may be missing.
	AdmissionQuery struct {
		Job       *job.Job
		SpecBytes int // length of the spec
	}
	// JobStateQuery requests the state of a job on behalf of an instance, which receives
	// the changes of the job from then on.
	JobStateQuery struct {
		Job      job.ID
		Instance string
	}
	// Cancel cancels a job; the reply is sent once the cancellation is recorded.
	Cancel struct {
		Job   job.ID
		Queue string // to which the request was sent; a job of another queue is reported as unknown
		Team  string // to which the API key belongs; empty if the queue is open
	}
	// ViewRequest is the periodic poll of the owner by an instance. It is a heartbeat,
	// which also makes the instance available for advice calls, and requests the job
	// changes since the instance's last poll.
	ViewRequest struct {
		Instance  string
		Epoch     int64
		Since     uint64         // sequence number of the last change that the instance received
		Submitted map[string]int // number of jobs submitted to the instance since its last poll, by team
		OwnerTime time.Duration  // of the last view; 0 if none was received in this epoch
		JobMemory int64          // that accepted jobs may take if the instance becomes the owner; 0 if unknown
	}
)

// Reply is the response to a request.
type Reply struct {
	NotOwner bool // this instance is not the owner, which alone can reply
	Found    bool // the job exists; always true in the owner's replies to Submit and ViewRequest
	State    job.State
	Team     string
	Queue    string
	View     *schedule.View // in replies to ViewRequest only

	Admission schedule.Admission // in replies to AdmissionQuery only
}
