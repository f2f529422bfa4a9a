package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// reservation reserves capacity on workers for a gang until all of it is free. Without it, a stream
// of small tasks would take capacity as it becomes free and starve a gang, which needs all of its
// capacity at once.
type reservation struct {
	members   map[*worker]int // number of tasks of the gang on each worker
	ready     time.Time       // expected time at which all of the capacity is free
	plannedAt time.Time
	service   string // service of the workers; the queue may since have been routed to another one
	cpu       int64  // of all members, in millicores
}

// claim is the capacity of a worker that is reserved for a gang.
type claim struct {
	size     task.Resources
	ready    time.Time // expected start of the gang; tasks that end before may backfill the capacity
	priority int       // of the gang's queue
}

const (
	// replanInterval is the minimum interval between plans for a waiting gang. Plans are revised
	// because tasks do not end when expected, and a few tasks per second end on each worker.
	replanInterval = 250 * time.Millisecond
	// maxPlanBackoff is the maximum interval between plans for a gang for which there are too few
	// workers. The interval doubles from replanInterval on, so that such gangs leave the plans of a
	// pass to others.
	maxPlanBackoff = 2 * time.Second
	// maxPlanAge is the age at which a plan that was not revised is discarded and its reservation
	// released. Because of plansPerPass, the revision may take several passes, of which there are at
	// worst a few per second.
	maxPlanAge = 2 * time.Second
	// plansPerPass is the maximum number of plans in a pass for each planWorkers workers. The plans are
	// made for the most urgent gangs: a plan examines every run of a hundred workers, and a pass should
	// take a few milliseconds.
	plansPerPass = 8
	planWorkers  = 400
	// maxReservedShare is the share of a service's CPU that may be reserved for gangs. In a backlog,
	// three quarters of the reserved CPU are idle and the rest of the service has to carry the load;
	// with a smaller share, wide gangs wait longer.
	maxReservedShare = 0.12
	// firstGangs is the number of reservations on a service up to which firstGangsShare applies
	// instead of maxReservedShare: on a service of about 50 workers, an eighth of the CPU holds only
	// two gangs, and no capacity would be reserved for the next gangs until these start.
	firstGangs      = 4
	firstGangsShare = 0.25
	// maxReservedFreeShare is the share of a service's free CPU that may be reserved for gangs, if
	// that is more than the other limits: reserving capacity that is not in demand costs nothing.
	maxReservedFreeShare = 0.5
	// lateGangUtilization is the utilization of a service up to which capacity is also reserved for
	// gangs of rankSurplus and rankExpired, which must not delay others. Such a gang counts as delayed
	// only once half of the service has been free for several seconds.
	lateGangUtilization = 0.75
	// backfillMargin is the factor applied to the estimate of a task that would backfill reserved
	// capacity: one task in twenty takes three times its declared time, and a late task delays all
	// members of the gang.
	backfillMargin = 3
	// minPlanImprovement is how much earlier the capacity of a new plan must be ready for it to
	// replace the previous plan, whose tickets may already have been renewed; a renewal takes about as
	// long.
	minPlanImprovement = 700 * time.Millisecond
	// furtherQueryThreshold is the remaining wait of a gang with a reservation above which the advice
	// service is queried about further workers; a call takes about as long.
	furtherQueryThreshold = time.Second
	// eligibleFactor is how many eligible workers a call should yield, as a multiple of the number
	// that the gang needs. With a higher factor, the calls would take proxies from other steps.
	eligibleFactor = 6
	// lowProxyUsage is the share of busy proxies below which the advice service is queried about
	// further workers although the eligible ones suffice.
	lowProxyUsage = 0.5
	// highProxyUsage is the share of busy proxies above which tickets are renewed only once the
	// capacity is nearly free, without lead time for the duration of the call.
	highProxyUsage = 0.7
	// maxReservationDelay is the time after which a step overrides the reservations of gangs. An accepted
	// job must not be without a running task for 3 s beside free capacity.
	maxReservationDelay = time.Second
	// overrideUtilization is the utilization of a service below which jobs without a running task override
	// reservations. Above it, waiting for a gang is part of sharing the capacity.
	overrideUtilization = 0.5
	// renewalLead is the lead time of the renewal of a gang's tickets before its capacity is free, in
	// addition to the duration of the call.
	renewalLead = 150 * time.Millisecond
)

// free returns the resources that a task of a step may use on a worker if it starts now. Capacity
// reserved for another gang counts only if the task ends before the gang is expected to start
// (backfill).
func (w *worker) free(s *stepState, now time.Time) task.Resources {
	return w.freeExceptClaims(s, now, math.MaxInt)
}

// freeIncludingLessUrgentClaims is like free but includes capacity that is reserved for gangs of
// less urgent queues.
func (w *worker) freeIncludingLessUrgentClaims(s *stepState, now time.Time) task.Resources {
	return w.freeExceptClaims(s, now, s.job.terms.Priority)
}

// freeExceptClaims returns the free resources without the capacity reserved for other gangs whose
// priority value is at most the given one.
func (w *worker) freeExceptClaims(s *stepState, now time.Time, priority int) task.Resources {
	free := w.Capacity.Sub(w.used)
	for key, claimed := range w.claims {
		if key != s.key && claimed.priority <= priority && !s.endsBefore(w, claimed.ready, now) {
			free = free.Sub(claimed.size)
		}
	}
	return free
}

// overridesReservations reports whether a step may use capacity that is reserved for gangs of any
// priority, because it has waited for long: a long-lived step, for which no reservation ends soon enough,
// or a step of a job without a running task while the service is mostly free. The gangs concerned plan
// anew with the remaining capacity.
func (c *Core) overridesReservations(s *stepState) bool {
	if s.spec.Gang || s.heldSince.IsZero() || c.now.Sub(s.heldSince) < maxReservationDelay {
		return false
	}
	u := c.serviceUsage[s.job.terms.Service]
	return s.spec.LongLived || len(s.job.runs) == 0 && float64(u.used) < overrideUtilization*float64(u.capacity)
}

// endsBefore reports whether a task of the step that starts now on a worker can be expected to end by t.
func (s *stepState) endsBefore(w *worker, t, now time.Time) bool {
	expected := s.durationOn(w)
	if s.spec.LongLived || expected == 0 {
		return false
	}
	return !now.Add(time.Duration(float64(expected) * backfillMargin)).After(t)
}

// reserve plans on which workers and when a gang that does not fit now can start, and reserves the
// capacity. It releases the reservation if no plan is possible or permitted.
func (c *Core) reserve(s *stepState, usable []*worker) {
	if r := s.reservation; r != nil && c.allUsable(r) && (c.plansMade >= c.maxPlans() || c.now.Sub(r.plannedAt) < replanInterval) {
		return
	}
	previous := s.reservation
	c.releaseReservation(s)
	size := taskSize(s.spec)
	if c.now.Before(s.planRetryAt) {
		c.recordWait(s, waitsForEligible)
		return
	}
	if !c.mayReserve(s) {
		c.recordWait(s, waitsForShare)
		return
	}
	if c.plansMade >= c.maxPlans() {
		c.recordWait(s, waitsForPlan)
		return
	}
	c.plansMade++
	slots := c.slots(s, usable)
	if len(slots) < len(s.tasks) {
		s.planBackoff = min(max(2*s.planBackoff, replanInterval), maxPlanBackoff)
		s.planRetryAt = c.now.Add(s.planBackoff)
		c.recordWait(s, waitsForEligible, "slots", len(slots))
		return
	}
	s.resetPlanBackoff()
	slices.SortFunc(slots, compareSlots)
	slots = c.fasterSlots(s, slots)
	r := &reservation{
		members: chooseSlots(slots, len(s.tasks)), ready: slots[len(s.tasks)-1].at, plannedAt: c.now,
		service: s.job.terms.Service, cpu: s.totalCPU(),
	}
	if ready, ok := previous.readyTime(slots); ok && ready.Sub(r.ready) < minPlanImprovement {
		r.members, r.ready = previous.members, ready
	}
	for w, n := range r.members {
		w.claims[s.key] = claim{size: size.Scale(int64(n)), ready: r.ready, priority: s.job.terms.Priority}
	}
	s.reservation = r
	c.reservedGangs[s.key] = s
	c.reservedCPU[r.service] += r.cpu
	c.recordWait(s, waitsForReserved, "workers", len(r.members), "ready_ms", r.ready.Sub(c.now).Milliseconds())
}

// resetPlanBackoff permits a plan in the next pass.
func (s *stepState) resetPlanBackoff() { s.planBackoff, s.planRetryAt = 0, time.Time{} }

// maxPlans returns the maximum number of plans in a pass.
func (c *Core) maxPlans() int { return plansPerPass * (1 + len(c.workers)/planWorkers) }

// serviceCPU is the CPU of the usable workers of a service.
type serviceCPU struct{ capacity, used int64 } // millicores

// sumServiceUsage sums up the usable workers of each service for the plans of a pass.
func (c *Core) sumServiceUsage(usable []*worker) {
	clear(c.serviceUsage)
	for _, w := range usable {
		u := c.serviceUsage[w.Service]
		u.capacity += w.Capacity.CPUMilli
		u.used += w.used.CPUMilli
		c.serviceUsage[w.Service] = u
	}
}

// mayReserve reports whether capacity may be reserved for a gang: only a share of the service at a
// time, and for gangs of rankSurplus and rankExpired only if the utilization of the service is low.
func (c *Core) mayReserve(s *stepState) bool {
	u, reserved := c.serviceUsage[s.job.terms.Service], c.reservedCPU[s.job.terms.Service]
	maxReserved := maxReservedFreeShare * float64(u.capacity-u.used)
	switch {
	case c.rank(s) < rankSurplus && c.reservationCount(s.job.terms.Service) < firstGangs:
		maxReserved = max(maxReserved, firstGangsShare*float64(u.capacity))
	case c.rank(s) < rankSurplus:
		maxReserved = max(maxReserved, maxReservedShare*float64(u.capacity))
	case float64(u.used) > lateGangUtilization*float64(u.capacity):
		return false
	}
	if reserved == 0 || !c.oversizedGangWaits[s.job.terms.Service] && float64(reserved+s.totalCPU()) <= maxReserved {
		return true
	}
	if float64(s.totalCPU()) > maxReservedShare*float64(u.capacity) {
		// Otherwise, less urgent gangs would hold reservations in turn and starve this one.
		c.oversizedGangWaits[s.job.terms.Service] = true
	}
	return false
}

// reservationCount returns the number of gangs that have a reservation on a service.
func (c *Core) reservationCount(service string) int {
	n := 0
	for _, s := range c.reservedGangs {
		if s.reservation.service == service {
			n++
		}
	}
	return n
}

// totalCPU returns the CPU of all tasks of a step in millicores.
func (s *stepState) totalCPU() int64 { return taskSize(s.spec).CPUMilli * int64(len(s.tasks)) }

// allUsable reports whether every worker of a reservation is still usable.
func (c *Core) allUsable(r *reservation) bool {
	for w := range r.members {
		if !c.isUsable(w) {
			return false
		}
	}
	return true
}

// releaseStaleReservations releases the reservations of gangs that the passes no longer reach
// because they consider only the most urgent steps.
func (c *Core) releaseStaleReservations() {
	for _, s := range c.reservedGangs {
		if s.advice.proxy == nil && c.now.Sub(s.reservation.plannedAt) > maxPlanAge {
			c.releaseReservation(s)
		}
	}
}

// releaseReservation releases the reservation of a gang.
func (c *Core) releaseReservation(s *stepState) {
	if s.reservation == nil {
		return
	}
	for w := range s.reservation.members {
		delete(w.claims, s.key)
	}
	c.reservedCPU[s.reservation.service] -= s.reservation.cpu
	s.reservation = nil
	delete(c.reservedGangs, s.key)
}

// gangWorkersToQuery returns the workers that the next call for a gang should name: the reserved ones
// once their capacity is nearly free, or further ones if the eligible ones will have no capacity for
// a long time. It returns none if the benefit of a call does not justify its duration.
func (c *Core) gangWorkersToQuery(s *stepState, usable []*worker, policy *job.AdvicePolicy) []string {
	r := s.reservation
	if r == nil {
		if !s.hasQueried() || s.wait == waitsForEligible {
			return c.unqueried(s, usable, c.gangCallSize(s), false)
		}
		// Enough workers are eligible for a plan. While proxies are free, a gang without a plan also
		// has its tickets renewed if it would fit; otherwise, further workers are queried.
		if c.busyProxyShare() >= lowProxyUsage {
			return nil
		}
		if eligible := c.eligible(s, usable); c.fitsNow(s, eligible) {
			return c.idsByFreeCPU(eligible, c.gangCallSize(s))
		}
		return c.unqueried(s, usable, c.gangCallSize(s), false)
	}
	remaining := r.ready.Sub(c.now)
	callDuration := policy.Base + time.Duration(len(r.members))*policy.PerWorker
	if c.busyProxyShare() > highProxyUsage {
		callDuration = 0 // an unnecessary renewal would delay other calls
	}
	if remaining <= callDuration+renewalLead && len(r.members) <= maxWorkersPerCall {
		return c.expiringTickets(s, c.now.Add(max(remaining, 0)))
	}
	if remaining > furtherQueryThreshold && c.busyProxyShare() < lowProxyUsage {
		return c.unqueried(s, usable, c.gangCallSize(s), false)
	}
	return nil
}

// fitsNow reports whether all tasks of a gang fit into the free capacity of the workers.
func (c *Core) fitsNow(s *stepState, workers []*worker) bool {
	size, capacity := taskSize(s.spec), 0
	for _, w := range workers {
		fits := fitCount(size, w.free(s, c.now), len(s.tasks))
		if s.spec.AntiAffinity > 0 {
			fits = min(fits, s.spec.AntiAffinity)
		}
		capacity += fits
	}
	return capacity >= len(s.tasks)
}

// gangCallSize returns how many workers a call for a gang should name, so that several times as many
// as the gang would need if they were empty are eligible. Each worker makes the call longer, and the
// service processes one call per instance at a time.
func (c *Core) gangCallSize(s *stepState) int {
	size := taskSize(s.spec)
	perWorker := 1
	for capacity := range c.capacities() {
		perWorker = max(perWorker, fitCount(size, capacity, len(s.tasks)))
	}
	if s.spec.AntiAffinity > 0 {
		perWorker = min(perWorker, s.spec.AntiAffinity)
	}
	needed := float64(len(s.tasks)) / float64(perWorker)
	return min(maxWorkersPerCall, int(math.Ceil(needed*eligibleFactor/c.eligibleShare(s.job.Queue))))
}

// capacities returns the different capacities of the workers, of which a fleet has few.
func (c *Core) capacities() map[task.Resources]struct{} {
	if c.capacitySet == nil {
		c.capacitySet = make(map[task.Resources]struct{})
		for _, w := range c.workers {
			c.capacitySet[w.Capacity] = struct{}{}
		}
	}
	return c.capacitySet
}

// expiringTickets returns the IDs of the reserved workers of a gang if the ticket of any of them is
// not valid at t. It returns all of them, so that their tickets expire together.
func (c *Core) expiringTickets(s *stepState, t time.Time) []string {
	expiring := false
	ids := make([]string, 0, len(s.reservation.members))
	for w := range s.reservation.members {
		ids = append(ids, w.ID)
		if _, valid := s.advice.ticket(w, t, false); !valid {
			expiring = true
		}
	}
	if !expiring {
		return nil
	}
	slices.Sort(ids)
	return ids
}
