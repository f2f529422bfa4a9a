package schedule

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated sets the failure domains in which no tasks may start. Running tasks go on. Plans and
// reservations for gangs leave out the workers of these domains from the next pass on.
func (c *Core) SetEvacuated(domains []string) {
	former := c.evacuated
	c.evacuated = make(map[string]struct{}, len(domains))
	for _, domain := range domains {
		c.evacuated[domain] = struct{}{}
		if _, known := former[domain]; !known {
			c.logEvacuation(domain, true)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(former)) {
		if !slices.Contains(domains, domain) {
			c.logEvacuation(domain, false)
		}
	}
	c.passDue = true
}

// logEvacuation logs the begin or end of an evacuation, and how many workers it concerns: none if the
// name is misspelled.
func (c *Core) logEvacuation(domain string, begins bool) {
	workers, runs := 0, 0
	for _, w := range c.workers {
		if w.FailureDomain == domain {
			workers++
			runs += len(w.runs)
		}
	}
	c.emit(Decision{Event: "evacuation", Fields: []any{"domain", domain, "begins", begins, "workers", workers, "runs", runs}})
}

// isEvacuated reports whether no task may start on a worker because of its failure domain.
func (c *Core) isEvacuated(w *worker) bool {
	if len(c.evacuated) == 0 {
		return false
	}
	_, evacuated := c.evacuated[w.FailureDomain]
	return evacuated
}

// setColdUntil records until when a worker is slow after its start, as its latest entry says.
func (w *worker) setColdUntil(now time.Time) {
	w.coldUntil = time.Time{}
	if w.ColdLeft > 0 {
		w.coldUntil = now.Add(w.ColdLeft)
	}
}

// isCold reports whether a worker is still slow after its start.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) }
