package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// reservation keeps room on workers for a gang until all of it is free. It
// answers a stream of small tasks: without it they take each piece of room as it
// becomes free, and a gang that needs many pieces at once never starts.
type reservation struct {
	members   map[*worker]int // tasks of the gang on each worker
	ready     time.Time       // when the last of the room should be free
	plannedAt time.Time
	service   string // whose workers these are; the queue may be routed elsewhere meanwhile
	cpu       int64  // of all members, in thousandths of a core
}

// claim is room of a worker that is kept for a gang.
type claim struct {
	size     task.Resources
	ready    time.Time // when the gang should start; tasks that end before may use the room
	priority int       // of the gang's queue
}

const (
	// replanInterval is how long a plan stands at least while its gang waits. Tasks
	// end at other times than expected, a few on each worker in a second.
	replanInterval = 250 * time.Millisecond
	// stalePlan is the age at which a plan that was not made anew is given up. With
	// plansPerPass a plan may wait for some passes, a few in a second at worst.
	stalePlan = 2 * time.Second
	// plansPerPass bounds the plans of one pass, the most urgent first: a plan looks
	// at every run of a hundred workers, and a pass should take some milliseconds.
	plansPerPass = 8
	// maxReservedShare is the part of a service's processors that may be kept for
	// gangs. Three quarters of what is kept are idle in a backlog, so that the rest
	// has to carry the load; with less of it wide gangs wait longer.
	maxReservedShare = 0.12
	// fewGangs may keep up to fewGangsShare: on a service of some 50 workers an
	// eighth holds two gangs, and the next ones would not be prepared meanwhile.
	fewGangs      = 4
	fewGangsShare = 0.25
	// freeShare is the part of what a service has free that may be kept for gangs,
	// if that is more: room that others do not need costs nothing.
	freeShare = 0.5
	// idleShare is the part of a service's processors that may be in use while room
	// is also kept for gangs that are too late to be worth delaying others. Half of
	// a service has to be free, for seconds, before such a gang may be missed.
	idleShare = 0.75
	// backfillMargin stretches the estimate of a task that would use room kept for
	// a gang: one task in twenty takes three times the declared time, and a task
	// that is late delays all members.
	backfillMargin = 3
	// worthMoving is how much earlier another plan has to be to replace one whose
	// tickets may be renewed already; a renewal takes about as long.
	worthMoving = 700 * time.Millisecond
	// askFurtherAfter is the wait for room that is long enough to ask about workers
	// that were not named yet; a call takes about as long.
	askFurtherAfter = time.Second
	// choiceFactor is how many times the workers that a gang needs should be known
	// to choose from. With more of them the calls take lanes from other steps.
	choiceFactor = 4
	// spareLanes is the part of the lanes in use below which further workers are
	// asked about although those known will do.
	spareLanes = 0.5
	// scarceLanes is the part of the lanes in use above which tickets are renewed
	// only when the room is there.
	scarceLanes = 0.7
	// renewLead is how long before its room is free the tickets of a gang are
	// renewed, beyond the length of the call.
	renewLead = 150 * time.Millisecond
)

// free returns the room that a task of a step may use on a worker if it starts
// now. Room that is kept for a gang counts only for a task that ends in time.
func (w *worker) free(s *stepState, now time.Time) task.Resources {
	return w.freeBeside(s, now, math.MaxInt)
}

// freeFirst is free for a step that comes before gangs of less urgent queues and
// takes room that is kept for them.
func (w *worker) freeFirst(s *stepState, now time.Time) task.Resources {
	return w.freeBeside(s, now, s.job.priority)
}

// freeBeside leaves the room that is kept for gangs up to a priority.
func (w *worker) freeBeside(s *stepState, now time.Time, priority int) task.Resources {
	room := w.Capacity.Sub(w.used)
	for key, kept := range w.claims {
		if key != s.key && kept.priority <= priority && !s.endsBefore(kept.ready, now) {
			room = room.Sub(kept.size)
		}
	}
	return room
}

// endsBefore reports whether a task of the step that starts now should end by t.
func (s *stepState) endsBefore(t, now time.Time) bool {
	if s.spec.LongLived || s.spec.Estimate == 0 {
		return false
	}
	return !now.Add(time.Duration(float64(s.spec.Estimate) * backfillMargin)).After(t)
}

// reserve plans where and when a gang that does not fit now can start, and keeps
// the room. It gives up the room when no plan is possible or worth it.
func (c *Core) reserve(s *stepState, usable []*worker) {
	if r := s.reserved; r != nil && c.allUsable(r) && (c.plans >= plansPerPass || c.now.Sub(r.plannedAt) < replanInterval) {
		return
	}
	former := s.reserved
	c.dropReservation(s)
	size := stepSize(s.spec)
	if !c.mayReserve(s) {
		c.waits(s, waitsForShare)
		return
	}
	if c.plans >= plansPerPass {
		c.waits(s, waitsForPlan)
		return
	}
	c.plans++
	slots := c.slots(s, usable)
	if len(slots) < len(s.tasks) {
		c.waits(s, waitsForFurther, "slots", len(slots))
		return
	}
	slices.SortFunc(slots, compareSlots)
	r := &reservation{
		members: chooseSlots(slots, len(s.tasks)), ready: slots[len(s.tasks)-1].at, plannedAt: c.now,
		service: s.job.service, cpu: s.needCPU(),
	}
	if ready, ok := former.readyWith(slots); ok && ready.Sub(r.ready) < worthMoving {
		r.members, r.ready = former.members, ready
	}
	for w, n := range r.members {
		w.claims[s.key] = claim{size: size.Scale(int64(n)), ready: r.ready, priority: s.job.priority}
	}
	s.reserved = r
	c.reserved[s.key] = s
	c.kept[r.service] += r.cpu
	c.waits(s, waitsForKept, "workers", len(r.members), "ready_ms", r.ready.Sub(c.now).Milliseconds())
}

// serviceUse is what the usable workers of a service have.
type serviceUse struct{ capacity, used int64 } // thousandths of a core

// sumUse sums up the workers of each service for the plans of a pass.
func (c *Core) sumUse(usable []*worker) {
	clear(c.use)
	for _, w := range usable {
		u := c.use[w.Service]
		u.capacity += w.Capacity.CPUMilli
		u.used += w.used.CPUMilli
		c.use[w.Service] = u
	}
}

// mayReserve reports whether room may be kept for a gang: only a part of the
// service at a time, and for gangs that nobody waits for any more only on a
// service that has room to spare.
func (c *Core) mayReserve(s *stepState) bool {
	u, kept := c.use[s.job.service], c.kept[s.job.service]
	most := freeShare * float64(u.capacity-u.used)
	switch {
	case c.rank(s) < rankSurplus && c.reservedOn(s.job.service) < fewGangs:
		most = max(most, fewGangsShare*float64(u.capacity))
	case c.rank(s) < rankSurplus:
		most = max(most, maxReservedShare*float64(u.capacity))
	case float64(u.used) > idleShare*float64(u.capacity):
		return false
	}
	if kept == 0 || !c.widerWaits[s.job.service] && float64(kept+s.needCPU()) <= most {
		return true
	}
	if float64(s.needCPU()) > maxReservedShare*float64(u.capacity) {
		// Less urgent gangs would keep room in turn, so that there is never enough
		// left for this one.
		c.widerWaits[s.job.service] = true
	}
	return false
}

// reservedOn returns for how many gangs of a service room is kept.
func (c *Core) reservedOn(service string) int {
	n := 0
	for _, s := range c.reserved {
		if s.reserved.service == service {
			n++
		}
	}
	return n
}

// needCPU returns the processors of all tasks of a step.
func (s *stepState) needCPU() int64 { return stepSize(s.spec).CPUMilli * int64(len(s.tasks)) }

// allUsable reports whether every worker of a plan may still get work.
func (c *Core) allUsable(r *reservation) bool {
	for w := range r.members {
		if !c.isUsable(w) {
			return false
		}
	}
	return true
}

// dropStalePlans gives up room that is kept for gangs which the passes do not
// reach any more, because more urgent steps fill them.
func (c *Core) dropStalePlans() {
	for _, s := range c.reserved {
		if s.advice.lane == nil && c.now.Sub(s.reserved.plannedAt) > stalePlan {
			c.dropReservation(s)
		}
	}
}

// dropReservation gives back the room that is kept for a gang.
func (c *Core) dropReservation(s *stepState) {
	if s.reserved == nil {
		return
	}
	for w := range s.reserved.members {
		delete(w.claims, s.key)
	}
	c.kept[s.reserved.service] -= s.reserved.cpu
	s.reserved = nil
	delete(c.reserved, s.key)
}

// gangWorkersToName returns the workers about which a call is worth its time for
// a gang: those on which room is kept once it is nearly free, or further ones
// while the known ones have no room for long.
func (c *Core) gangWorkersToName(s *stepState, usable []*worker, policy *job.AdvicePolicy) []string {
	r := s.reserved
	if r == nil {
		if !s.isAdvised() || s.wait == waitsForFurther {
			return c.namesOf(s.unknown(usable), c.worthNaming(s))
		}
		// Enough is known for a plan. While lanes are free, tickets are renewed for
		// gangs without one too if they would fit, and more is asked if they do not.
		if c.busyLanesShare() >= spareLanes {
			return nil
		}
		if known := s.known(usable, c.now); c.fitsOn(s, known) {
			return c.namesOf(known, c.worthNaming(s))
		}
		return c.namesOf(s.unknown(usable), c.worthNaming(s))
	}
	wait := r.ready.Sub(c.now)
	takes := policy.Base + time.Duration(len(r.members))*policy.PerWorker
	if c.busyLanesShare() > scarceLanes {
		takes = 0 // a renewal in vain would hold up others
	}
	if wait <= takes+renewLead && len(r.members) <= maxNamed {
		return c.expiringTickets(s, c.now.Add(max(wait, 0)))
	}
	if wait > askFurtherAfter && c.busyLanesShare() < spareLanes {
		return c.namesOf(s.unknown(usable), c.worthNaming(s))
	}
	return nil
}

// fitsOn reports whether all tasks of a gang fit on workers as they are now.
func (c *Core) fitsOn(s *stepState, workers []*worker) bool {
	size, room := stepSize(s.spec), 0
	for _, w := range workers {
		fits := fitCount(size, w.free(s, c.now), len(s.tasks))
		if s.spec.AntiAffinity > 0 {
			fits = min(fits, s.spec.AntiAffinity)
		}
		room += fits
	}
	return room >= len(s.tasks)
}

// worthNaming returns how many workers a call for a gang should name: several
// times as many as the gang needs if they were empty. A call takes longer for
// each worker, and the service answers one call of an instance at a time.
func (c *Core) worthNaming(s *stepState) int {
	size := stepSize(s.spec)
	perWorker := 1
	for _, w := range c.sortedWorkers() {
		perWorker = max(perWorker, fitCount(size, w.Capacity, len(s.tasks)))
	}
	if s.spec.AntiAffinity > 0 {
		perWorker = min(perWorker, s.spec.AntiAffinity)
	}
	needed := float64(len(s.tasks)) / float64(perWorker)
	return min(maxNamed, int(math.Ceil(needed*choiceFactor/c.goodShare(s.job.Queue))))
}

// expiringTickets returns the reserved workers of a gang if a ticket of one of
// them is not valid at t. All are named, so that the tickets last together.
func (c *Core) expiringTickets(s *stepState, t time.Time) []string {
	expiring := false
	names := make([]string, 0, len(s.reserved.members))
	for w := range s.reserved.members {
		names = append(names, w.ID)
		if _, valid := s.advice.ticket(w, t, false); !valid {
			expiring = true
		}
	}
	if !expiring {
		return nil
	}
	slices.Sort(names)
	return names
}
