package allowance

import (
	"maps"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Record is the division of the resource limit of one team among the worker partitions.
// Allowances includes resources without a limit, so that a limit that is set later is
// compared with the resources in use.
type Record struct {
	Team          task.Team                 `json:"team"`
	Limit         task.Resources            `json:"limit"`                 // in force; zero means that the resource has no limit
	Pending       task.Resources            `json:"pending"`               // lower limit that is not in force yet
	HasPending    bool                      `json:"has_pending,omitempty"` // whether Pending is set
	LimitRevision int64                     `json:"limit_revision"`        // of the document that sets the newest limit
	Allowances    map[string]task.Resources `json:"parts,omitempty"`       // allowances by worker partition
	Revision      int64                     `json:"-"`                     // of the store; 0 if there is no record
}

// Write requests the replacement of the record of one team. Its transaction succeeds
// only if the record has revision ExpectedRevision (0: absent) and the ownership record of
// each partition in OwnershipRevisions has the given revision. The comparison of the
// ownership records prevents a delayed write of a former owner from returning an allowance
// that the next owner uses.
type Write struct {
	Record             Record
	ExpectedRevision   int64
	OwnershipRevisions map[string]int64
}

// Outcome is the result of a transaction.
type Outcome int

const (
	Succeeded Outcome = iota + 1
	Conflict          // a compare failed; nothing was written
	Unclear           // indeterminate: the transaction may have taken effect or may do so later
	NoEffect          // the transaction did not and will not take effect
)

// WriteResult reports the outcome of a transaction.
type WriteResult struct {
	Outcome  Outcome
	Revision int64    // of the records, if the transaction succeeded
	Current  []Record // records that the store returned with a conflict
}

// WithLimit returns r with the limit that the document of the given revision sets. A limit
// below the sum of the allowances stays pending until enough allowance has been returned.
// A document that is not newer than LimitRevision is ignored.
func WithLimit(r Record, limit task.Resources, revision int64) Record {
	if revision <= r.LimitRevision {
		return r
	}
	r.LimitRevision = revision
	r.Pending, r.HasPending = limit, true
	r.applyPending()
	return r
}

// applyPending puts a pending limit in force if the sum of the allowances does not
// exceed it. It reports whether it did.
func (r *Record) applyPending() bool {
	if !r.HasPending || !fitsLimit(r.sum(), r.Pending) {
		return false
	}
	r.Limit, r.Pending, r.HasPending = r.Pending, task.Resources{}, false
	return true
}

// sum returns the sum of the allowances.
func (r *Record) sum() task.Resources {
	var total task.Resources
	for _, amount := range r.Allowances {
		total = total.Add(amount)
	}
	return total
}

// clone returns a copy of r with its own, non-nil Allowances.
func (r *Record) clone() Record {
	c := *r
	c.Allowances = maps.Clone(r.Allowances)
	if c.Allowances == nil {
		c.Allowances = make(map[string]task.Resources)
	}
	return c
}

// unlimited represents "no limit" in comparisons. It is far above the capacity of any
// fleet, and sums of such amounts do not overflow.
const unlimited = int64(1) << 50

// withUnlimited returns limit with its zero amounts replaced by unlimited.
func withUnlimited(limit task.Resources) task.Resources {
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

// onlyLimited returns r with zero amounts of the resources that have no limit.
func onlyLimited(r, limit task.Resources) task.Resources {
	return task.Resources{
		CPUMilli:     amountIfLimited(r.CPUMilli, limit.CPUMilli),
		MemoryMB:     amountIfLimited(r.MemoryMB, limit.MemoryMB),
		Accelerators: amountIfLimited(r.Accelerators, limit.Accelerators),
		Slots:        amountIfLimited(r.Slots, limit.Slots),
		Connections:  amountIfLimited(r.Connections, limit.Connections),
	}
}

func amountIfLimited(n, limit int64) int64 {
	if limit == 0 {
		return 0
	}
	return n
}

// fitsLimit reports whether r does not exceed limit, in which a zero amount means no limit.
func fitsLimit(r, limit task.Resources) bool { return r.Fits(withUnlimited(limit)) }

// nonNegative returns r with negative amounts replaced by zero.
func nonNegative(r task.Resources) task.Resources { return r.Max(task.Resources{}) }

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

// unlimitedGrowth returns the amounts in r of the resources that have no limit and of
// which need is not zero. The other amounts are zero.
func unlimitedGrowth(r, need, limit task.Resources) task.Resources {
	unlimitedAmounts := r.Sub(onlyLimited(r, limit))
	return onlyLimited(unlimitedAmounts, need)
}
