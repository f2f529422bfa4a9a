package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// waitCause is the logged cause why tasks of a step are not started.
type waitCause string

const (
	waitsForLimit    waitCause = "team_limit"     // the team is at its limit
	waitsForCapacity waitCause = "no_room"        // not enough free capacity on the eligible workers
	waitsForWorker   waitCause = "no_worker"      // no worker has both free capacity and a valid ticket
	waitsForTicket   waitCause = "no_ticket"      // all tickets of the step have expired
	waitsForShare    waitCause = "reserved_share" // the maximum share is reserved for gangs
	waitsForPlan     waitCause = "plans"          // plans for more urgent gangs have reached the limit of the pass
	waitsForEligible waitCause = "few_workers"    // too few workers are eligible
	waitsForOrders   waitCause = "orders"         // as many start orders as permitted are in flight
	waitsForReserved waitCause = "reserved"       // capacity is reserved but not all of it is free yet
)

// waitLogInterval is the minimum interval between log entries for a step whose wait cause has not
// changed, since a backlog has hundreds of waiting steps.
const waitLogInterval = 4 * time.Second

// recordWait records and logs why a step waits.
func (c *Core) recordWait(s *stepState, cause waitCause, fields ...any) {
	s.wait = cause
	if s.loggedWait == cause && c.now.Sub(s.waitLoggedAt) < waitLogInterval {
		return
	}
	s.loggedWait, s.waitLoggedAt = cause, c.now
	c.logDecision(s.key.Job, "waits", append([]any{"step", s.key.String(), "why", cause, "tasks", len(s.tasks), "rank", c.rank(s),
		"slack_ms", s.latestStart.Sub(c.now).Milliseconds()}, fields...)...)
}

// placementWaitCause returns the wait cause after tasks of a step were not started. It takes the
// number of candidate workers and the number of tasks that the limit of the team still allows.
func placementWaitCause(candidates, allowed int) waitCause {
	switch {
	case allowed <= 0:
		return waitsForLimit
	case candidates == 0:
		return waitsForWorker
	default:
		return waitsForCapacity
	}
}

// isAtLimit reports whether the limit of its team prevents a step from starting a task or, for a
// gang, all tasks.
func (c *Core) isAtLimit(s *stepState) bool {
	need := 1
	if s.spec.Gang {
		need = len(s.tasks)
	}
	return c.allowance(s.job.Team, taskSize(s.spec), need) < need
}

// unresolvedUsage returns the resources that tasks may use on workers that have not yet reported
// their runs to a new owner. It is computed once per event, since every step of a pass needs it.
func (c *Core) unresolvedUsage() task.Resources {
	if !c.unresolvedUsageValid {
		c.unresolvedUsageSum, c.unresolvedUsageValid = c.sumUnresolvedUsage(), true
	}
	return c.unresolvedUsageSum
}
