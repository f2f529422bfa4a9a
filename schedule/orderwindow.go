package schedule

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
)

// The start orders, and the stop orders, that are in flight are bounded, so that a job of thousands of
// tasks does not keep the owner from renewing its leases: an instance with 0.4 of a core carries out
// about 2,500 orders a second, and must renew the ownership within 1.2 s.
const (
	// maxOrderWindow is the maximum number of orders of a kind in flight, or the number of workers if
	// that is more.
	maxOrderWindow = 512
	// minOrderWindow is the number of orders of a kind in flight to which the window shrinks, or the number
	// of workers if that is more: with 3,000 workers answers take long because of their reports, and a
	// small window would keep workers idle.
	minOrderWindow = 128
	// slowOrder is the time from an order to its answer from which on the window shrinks: an order
	// expires after 0.7 s. Below fastOrder it grows; an answer from another region takes 50 ms.
	slowOrder = 300 * time.Millisecond
	fastOrder = 150 * time.Millisecond
	// windowShrinkFactor and windowGrowth are the changes of the window with each answer.
	windowShrinkFactor = 0.98
	windowGrowth       = 0.5
	// stepWindowShare is the share of the window that one step may fill, while at most half of the
	// window is in use.
	stepWindowShare = 0.25
	// reservedStepWindow is the number of orders that each step may have in flight while more than half
	// of the window is in use. Otherwise, a few large jobs would keep the tasks of all others waiting.
	reservedStepWindow = 8
	// idleJobShare is the share of the window that only jobs without a run may use, for one order each. In
	// the order of placement, many large jobs before them would take every place that becomes free.
	idleJobShare = 0.125
)

// orderWindow counts the orders in flight.
type orderWindow struct {
	size          float64
	starts, stops int
	startsByStep  map[job.StepKey]int
	startsHeld    bool // a pass has held back tasks because of the window
	stopsHeld     bool // stop orders were held back because of the window
}

// orderWindowSize returns the maximum number of orders of each kind in flight.
func (c *Core) orderWindowSize() int { return max(int(c.window.size), len(c.workers)) }

func (c *Core) maxOrderWindow() int { return max(maxOrderWindow, len(c.workers)) }

// observeLatency adjusts the window to the time that an order has taken.
func (c *Core) observeLatency(d time.Duration) {
	switch {
	case d > slowOrder:
		c.window.size = max(minOrderWindow, c.window.size*windowShrinkFactor)
	case d < fastOrder:
		c.window.size = min(float64(c.maxOrderWindow()), c.window.size+windowGrowth)
	}
}

// maxStarts returns the number of tasks of a step that may start now.
func (c *Core) maxStarts(s *stepState) int {
	size, inFlight := c.orderWindowSize(), c.window.startsByStep[s.key]
	limit := reservedStepWindow
	if 2*c.window.starts < size {
		limit = int(stepWindowShare * float64(size))
	}
	free := size - c.window.starts
	starts := min(limit-inFlight, free-int(idleJobShare*float64(size)))
	if len(s.job.runs) == 0 {
		starts = max(starts, min(1, free))
	}
	return max(0, starts)
}

// mayStartGang reports whether a gang may start now. Its members must all start within a few seconds, so
// that it starts as a whole, whatever its size.
func (c *Core) mayStartGang() bool { return c.window.starts < c.orderWindowSize() }

// emitStart issues a start order.
func (c *Core) emitStart(e Start) {
	c.window.starts++
	c.window.startsByStep[e.Task.StepKey]++
	c.emit(e)
}

// startAnswered removes a start order from the window.
func (c *Core) startAnswered(e Start) {
	c.window.starts--
	key := e.Task.StepKey
	if c.window.startsByStep[key]--; c.window.startsByStep[key] <= 0 {
		delete(c.window.startsByStep, key)
	}
	if c.window.startsHeld {
		c.window.startsHeld = false
		c.passDue = true
	}
}

// emitStop issues a stop order and reports whether the window allows it.
func (c *Core) emitStop(e Stop) bool {
	if c.window.stops >= c.orderWindowSize() {
		c.window.stopsHeld = true
		return false
	}
	c.window.stops++
	c.emit(e)
	return true
}

// stopAnswered removes a stop order from the window, and sends those that were held back once a quarter
// of the window is free.
func (c *Core) stopAnswered() {
	c.window.stops--
	if c.window.stopsHeld && 4*c.window.stops < 3*c.orderWindowSize() {
		c.window.stopsHeld = false
		c.sendDueStops()
	}
}
