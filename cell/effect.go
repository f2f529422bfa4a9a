package cell

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/schedule"
)

// Effect is an action that the executor carries out, except for Answer, which the Loop
// delivers itself.
type Effect interface{ isEffect() }

// Effects.
type (
	// Campaign tries to acquire the ownership of a partition that has no owner.
	Campaign struct{}
	// Recover reads the stored state that a new owner resumes from.
	Recover struct{ OwnerRevision int64 }
	// Renew renews the lease of the ownership record.
	Renew struct{ Lease int64 }
	// Resign removes the ownership record.
	Resign struct{ OwnerRevision, Lease int64 }
	// CancelCalls cancels all calls in flight that were made under an ownership that has
	// ended.
	CancelCalls struct{ OwnerRevision int64 }
	// CommitRecords writes a commit in one transaction, on the condition that this
	// instance is still the owner.
	CommitRecords struct {
		Commit        schedule.Commit
		OwnerRevision int64
		Sequence      int64 // revision of the sequence record of the commit stream
	}
	// RecordCores writes this instance's core count, the highest of all instances, to the
	// store.
	RecordCores struct{ Cores float64 }
	// Order is an effect of package schedule that calls a worker or the advice
	// service. It carries the fencing token of the ownership that issued it.
	Order struct {
		Fence  int64
		Effect schedule.Effect
	}
	// ShowPastUse shows the past use of the teams in the metrics; none if this instance is
	// not the owner.
	ShowPastUse struct{ schedule.PastUse }
	// ShowHeldMemory shows the memory that accepted jobs take in the metrics; none if this instance is not the
	// owner.
	ShowHeldMemory struct{ schedule.HeldMemory }
	// Log writes one log line about a decision.
	Log struct{ schedule.Decision }
	// StartForecast records by how much later a job has started than was forecast.
	StartForecast struct{ Error time.Duration }
	// Answer delivers the reply to the caller of a request.
	Answer struct {
		Token uint64
		Reply Reply
	}
)

func (Campaign) isEffect()       {}
func (Recover) isEffect()        {}
func (Renew) isEffect()          {}
func (Resign) isEffect()         {}
func (CancelCalls) isEffect()    {}
func (CommitRecords) isEffect()  {}
func (RecordCores) isEffect()    {}
func (Order) isEffect()          {}
func (ShowPastUse) isEffect()    {}
func (ShowHeldMemory) isEffect() {}
func (Log) isEffect()            {}
func (StartForecast) isEffect()  {}
func (Answer) isEffect()         {}

// collectCoreEffects converts the effects of the core to effects of this package.
func (s *State) collectCoreEffects() {
	for _, e := range s.core.Finish() {
		switch e := e.(type) {
		case schedule.Decision:
			s.emit(Log{e})
		case schedule.ForecastChecked:
			s.emit(StartForecast{Error: e.Error})
		case schedule.CancelDone:
			s.emit(Answer{Token: e.Token, Reply: Reply{Found: true, State: job.Cancelled}})
		case schedule.HeldMemory:
			s.emit(ShowHeldMemory{e})
		case schedule.PastUse:
			s.emit(ShowPastUse{e})
		case schedule.Commit:
			s.emit(CommitRecords{Commit: e, OwnerRevision: s.ownershipRevision, Sequence: s.sequences[e.Stream]})
		default:
			s.emit(Order{Fence: s.ownershipRevision, Effect: e})
		}
	}
}
