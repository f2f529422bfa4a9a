package allowance

import (
	"maps"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Record is the division of the upper limit of one team, as the store holds it.
// Parts holds every resource, also those without a limit, so that a limit that
// is set later is compared with what runs.
type Record struct {
	Team          task.Team                 `json:"team"`
	Limit         task.Resources            `json:"limit"`                 // in force; a zero amount means no limit on that resource
	Pending       task.Resources            `json:"pending"`               // lower limit that is not in force yet
	HasPending    bool                      `json:"has_pending,omitempty"` // whether Pending is set
	LimitRevision int64                     `json:"limit_revision"`        // of the document that states the newest limit
	Parts         map[string]task.Resources `json:"parts,omitempty"`       // by worker partition
	Revision      int64                     `json:"-"`                     // of the store; 0 if there is no record
}

// Write asks for a replacement of the record of one team. The transaction that
// carries it succeeds only if the record's last revision is Expect (0: absent)
// and the ownership record of each partition in Owners has the stated revision.
// The latter keeps a former owner's delayed write from returning an allowance
// that the next owner relies on.
type Write struct {
	Record Record
	Expect int64
	Owners map[string]int64
}

// Outcome is the end of a transaction.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota + 1
	Conflict          // a compare failed; nothing was written
	Unclear           // the transaction may take effect, also later
	NoEffect          // the transaction did not and will not take effect
)

// WriteResult reports the end of a transaction.
type WriteResult struct {
	Outcome  Outcome
	Revision int64    // of the records, when succeeded
	Current  []Record // as the store returned them with a conflict
}

// WithLimit returns the record that follows r when the document of the given
// revision states the limit. A limit below what the partitions hold becomes
// pending; an older document changes nothing.
func WithLimit(r Record, limit task.Resources, revision int64) Record {
	if revision <= r.LimitRevision {
		return r
	}
	r.LimitRevision = revision
	r.Pending, r.HasPending = limit, true
	r.settle()
	return r
}

// settle puts a pending limit in force if the partitions hold no more than that.
func (r *Record) settle() bool {
	if !r.HasPending || !fitsLimit(r.sum(), r.Pending) {
		return false
	}
	r.Limit, r.Pending, r.HasPending = r.Pending, task.Resources{}, false
	return true
}

func (r *Record) sum() task.Resources {
	var total task.Resources
	for _, part := range r.Parts {
		total = total.Add(part)
	}
	return total
}

func (r *Record) clone() Record {
	c := *r
	c.Parts = maps.Clone(r.Parts)
	if c.Parts == nil {
		c.Parts = make(map[string]task.Resources)
	}
	return c
}

// unlimited is the amount that stands for "no limit" in comparisons. It is far
// above any fleet, and sums of it do not overflow.
const unlimited = int64(1) << 50

// bound replaces the zero amounts of a limit by unlimited.
func bound(limit task.Resources) task.Resources {
	return task.Resources{
		CPUMilli:     orUnlimited(limit.CPUMilli),
		MemoryMB:     orUnlimited(limit.MemoryMB),
		Accelerators: orUnlimited(limit.Accelerators),
		Slots:        orUnlimited(limit.Slots),
		Connections:  orUnlimited(limit.Connections),
	}
}

func orUnlimited(n int64) int64 {
	if n == 0 {
		return unlimited
	}
	return n
}

// limited returns the amounts of r in the resources that have a limit.
func limited(r, limit task.Resources) task.Resources {
	return task.Resources{
		CPUMilli:     ifLimited(r.CPUMilli, limit.CPUMilli),
		MemoryMB:     ifLimited(r.MemoryMB, limit.MemoryMB),
		Accelerators: ifLimited(r.Accelerators, limit.Accelerators),
		Slots:        ifLimited(r.Slots, limit.Slots),
		Connections:  ifLimited(r.Connections, limit.Connections),
	}
}

func ifLimited(n, limit int64) int64 {
	if limit == 0 {
		return 0
	}
	return n
}

func fitsLimit(r, limit task.Resources) bool { return r.Fits(bound(limit)) }

// positive replaces negative amounts by zero.
func positive(r task.Resources) task.Resources { return r.Max(task.Resources{}) }

// quarter returns a quarter of each amount.
func quarter(r task.Resources) task.Resources {
	return task.Resources{
		CPUMilli:     r.CPUMilli / 4,
		MemoryMB:     r.MemoryMB / 4,
		Accelerators: r.Accelerators / 4,
		Slots:        r.Slots / 4,
		Connections:  r.Connections / 4,
	}
}

// unlimitedGrowth returns the amounts of r in the resources that have no limit
// and of which something is needed.
func unlimitedGrowth(r, need, limit task.Resources) task.Resources {
	open := r.Sub(limited(r, limit))
	return limited(open, need)
}
