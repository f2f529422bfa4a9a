package cell

import "github.com/mulberrydrum/mulberrydrum/schedule"

// Effect is something that the executor carries out.
type Effect interface{ isEffect() }

// Effects.
type (
	// Campaign tries to become the owner of a partition without one.
	Campaign struct{}
	// Recover reads what a new owner needs.
	Recover struct{ Owner int64 }
	// Renew keeps the lease of the ownership record.
	Renew struct{ Lease int64 }
	// Resign removes the ownership record.
	Resign struct{ Owner, Lease int64 }
	// Abandon ends the calls that were made as owner.
	Abandon struct{ Owner int64 }
	// CommitRecords records a commit under the conditions of ownership.
	CommitRecords struct {
		Commit   schedule.Commit
		Owner    int64
		Sequence int64 // revision of the sequence record of the lane
	}
	// RecordCores records the processors of this instance as the most of any.
	RecordCores struct{ Cores float64 }
	// Order is an effect of package schedule towards a worker or the advice
	// service, under the fence of an ownership.
	Order struct {
		Fence  int64
		Effect schedule.Effect
	}
	// Log is one line about a decision.
	Log struct{ schedule.Decision }
	// Answer answers a question.
	Answer struct {
		Token uint64
		Reply Reply
	}
)

func (Campaign) isEffect()      {}
func (Recover) isEffect()       {}
func (Renew) isEffect()         {}
func (Resign) isEffect()        {}
func (Abandon) isEffect()       {}
func (CommitRecords) isEffect() {}
func (RecordCores) isEffect()   {}
func (Order) isEffect()         {}
func (Log) isEffect()           {}
func (Answer) isEffect()        {}
