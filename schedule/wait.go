package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// waitCause says why a step has tasks that do not start.
type waitCause string

// The causes, as they stand in the log.
const (
	waitsForLimit   waitCause = "team_limit"     // its team runs as much as it may
	waitsForRoom    waitCause = "no_room"        // not enough on the workers that may run it
	waitsForWorker  waitCause = "no_worker"      // none has both room and a ticket that is valid
	waitsForTicket  waitCause = "no_ticket"      // all that it had have expired
	waitsForShare   waitCause = "reserved_share" // as much is kept for gangs as may be
	waitsForPlan    waitCause = "plans"          // more urgent gangs have had the plans of the pass
	waitsForFurther waitCause = "few_workers"    // those known to run it are too few
	waitsForKept    waitCause = "reserved"       // room is kept, and not all of it is free
)

// waitsInterval separates the lines on a step that goes on waiting for the same
// cause. A backlog has hundreds of them.
const waitsInterval = 4 * time.Second

// waits notes why a step waits and logs it.
func (c *Core) waits(s *stepState, cause waitCause, fields ...any) {
	s.wait = cause
	if s.noted == cause && c.now.Sub(s.notedAt) < waitsInterval {
		return
	}
	s.noted, s.notedAt = cause, c.now
	c.decide(s.key.Job, "waits", append([]any{"step", s.key.String(), "why", cause, "tasks", len(s.tasks), "rank", c.rank(s),
		"slack_ms", s.urgent.Sub(c.now).Milliseconds()}, fields...)...)
}

// waitReason returns why tasks that need not run together were not started.
func waitReason(options, allowed int) waitCause {
	switch {
	case allowed <= 0:
		return waitsForLimit
	case options == 0:
		return waitsForWorker
	default:
		return waitsForRoom
	}
}

// isAtLimit reports whether the limit of its team keeps a step from starting what
// it could start: one task, or all of a gang.
func (c *Core) isAtLimit(s *stepState) bool {
	need := 1
	if s.spec.Gang {
		need = len(s.tasks)
	}
	return c.allowance(s.job.Team, stepSize(s.spec), need) < need
}

// mayHold returns what tasks may take on workers that have not yet told a new
// owner what they run. It is summed up once for each event, since every step of a
// pass asks for it.
func (c *Core) mayHold() task.Resources {
	if !c.mayHoldKnown {
		c.mayHoldSum, c.mayHoldKnown = c.unresolvedRoom(), true
	}
	return c.mayHoldSum
}
