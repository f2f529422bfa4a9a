package schedule

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// adviceState holds the replies of the advice service for a step. A worker that is eligible to run
// a step remains eligible, but the ticket that a start order must contain as proof expires.
type adviceState struct {
	tickets   map[string]ticket // by worker, including expired ones
	queried   map[string]int64  // incarnation of each worker named in a call
	proxy     *adviceProxy      // proxy of the call in flight; nil if there is none
	named     map[string]int64  // incarnation of each worker named in the call in flight
	answered  time.Time         // when the last reply arrived
	retryAt   time.Time
	expiresAt time.Time // latest expiry of the tickets
}

type ticket struct {
	text        string
	incarnation int64 // of the worker
	expiresAt   time.Time
}

// ticketMargin is the minimum remaining validity of a ticket when a start order is sent: an order
// takes 12 ms across regions and sometimes waits for a connection.
const ticketMargin = 120 * time.Millisecond

// ticket returns the ticket of the worker's current incarnation. Unless allowExpired is set, the
// ticket must remain valid for at least ticketMargin.
func (a *adviceState) ticket(w *worker, now time.Time, allowExpired bool) (string, bool) {
	t, ok := a.tickets[w.ID]
	if !ok || t.incarnation != w.Incarnation || (!allowExpired && now.Add(ticketMargin).After(t.expiresAt)) {
		return "", false
	}
	return t.text, true
}

// entries returns the number of entries by worker, which determine the memory that the state takes.
func (a *adviceState) entries() int { return len(a.tickets) + len(a.queried) }

// expireTicket invalidates the ticket of a worker but keeps the worker eligible for the step.
func (a *adviceState) expireTicket(worker string) {
	if t, ok := a.tickets[worker]; ok {
		t.expiresAt = time.Time{}
		a.tickets[worker] = t
	}
}

// adviceProxy is an instance that can call the advice service for this owner. The service processes
// one call per instance at a time.
type adviceProxy struct {
	name       string
	lastSeenAt time.Time
	inFlight   int
	busyUntil  time.Time
	longCalls  int // long calls in flight
}

const (
	// proxyTimeout is how long an instance may go without a report before it is no longer used;
	// instances report every second.
	proxyTimeout = 2500 * time.Millisecond
	// longCallThreshold is the expected duration from which a call counts as long. A long call would
	// block the calls that are queued behind it on the same proxy.
	longCallThreshold = 150 * time.Millisecond
	// maxShortCallBacklog is the total duration of the short calls that may be queued on a proxy, so
	// that the service is not idle between calls.
	maxShortCallBacklog = 60 * time.Millisecond
	// minShortCallProxies is the minimum number of proxies reserved for short calls, and
	// shortCallProxyShare their share of all proxies. On a large deployment there are 100 short
	// calls per second of 22 ms each, and up to twice that in a burst.
	minShortCallProxies = 2
	shortCallProxyShare = 1.0 / 6
	// maxWorkersPerCall is the maximum number of workers that one call may name.
	maxWorkersPerCall = 100
	// adviceRetryDelay is the delay before a failed call is retried.
	adviceRetryDelay = 60 * time.Millisecond
	// adviceRecheckPasses is the number of pass intervals for which a step that needs no call is not
	// examined again. Most steps of a backlog wait for capacity, and examining one takes longer than
	// trying to place it.
	adviceRecheckPasses = 3
)

// ObserveInstance records that an instance is alive and can call the advice service.
func (c *Core) ObserveInstance(name string) {
	proxy, known := c.proxies[name]
	if !known {
		proxy = &adviceProxy{name: name}
		c.proxies[name] = proxy
		c.proxyOrder = nil
		c.passDue = true
	}
	proxy.lastSeenAt = c.now
}

func (c *Core) removeSilentProxies() {
	for name, proxy := range c.proxies {
		if c.now.Sub(proxy.lastSeenAt) > proxyTimeout && proxy.inFlight == 0 {
			delete(c.proxies, name)
			c.proxyOrder = nil
		}
	}
}

// requestAdvice calls the advice service for the steps without a valid ticket, in the given order,
// as long as proxies are available.
func (c *Core) requestAdvice(steps []*stepState, usable []*worker) {
	if c.selectProxy(0) == nil {
		return
	}
	c.byFreeCPU = nil
	longAvailable := true // a proxy for a long call may be available
	for _, s := range steps {
		if s.advice.proxy != nil || c.now.Before(s.advice.retryAt) {
			continue
		}
		policy := s.job.terms.Advice
		isLong := policy.Base >= longCallThreshold
		if isLong && !longAvailable {
			continue
		}
		if c.selectProxy(policy.Base) == nil {
			if !isLong {
				return // a proxy that cannot take a short call cannot take a long one
			}
			longAvailable = false
			continue
		}
		workerIDs := c.workersToQuery(s, usable)
		if len(workerIDs) == 0 {
			s.advice.retryAt = c.now.Add(adviceRecheckPasses * c.passInterval())
			continue
		}
		workerIDs = c.keepShort(s, workerIDs)
		callDuration := policy.Base + time.Duration(len(workerIDs))*policy.PerWorker
		if proxy := c.selectProxy(callDuration); proxy != nil {
			c.callAdvice(s, proxy, workerIDs, callDuration)
		}
	}
}

// workersToQuery returns the workers that the next call for a step should name: those that were not
// named before or, if enough are eligible, those that would be chosen if their tickets had not
// expired. It returns none if the benefit of a call does not justify its duration.
func (c *Core) workersToQuery(s *stepState, usable []*worker) []string {
	if s.spec.Gang {
		return c.gangWorkersToQuery(s, usable, s.job.terms.Advice)
	}
	if !c.hasEnoughTickets(s) {
		if ids := c.unqueried(s, usable, maxWorkersPerCall, false); len(ids) > 0 {
			return ids
		}
	}
	candidates := c.candidates(s, usable, true)
	slices.SortFunc(candidates, func(a, b candidate) int {
		if c.prefer(s, &a, &b) {
			return -1
		}
		return 1
	})
	var ids []string
	capacity := 0
	for _, cand := range candidates {
		if capacity >= s.unfinishedTasks {
			break
		}
		ids = append(ids, cand.worker.ID)
		capacity += cand.taskCount
	}
	if capacity >= s.unfinishedTasks {
		return ids
	}
	if c.now.Sub(s.advice.answered) >= furtherAdviceDelay {
		if further := c.unqueried(s, usable, maxWorkersPerCall-len(ids), true); len(further) > 0 {
			return append(ids, further...)
		}
	}
	if capacity == 0 {
		return nil
	}
	return c.addEligible(s, ids, usable)
}

// furtherAdviceDelay is the time after the last reply after which a call for a step whose eligible
// workers are full also names workers that were not named before and have room for its tasks.
const furtherAdviceDelay = time.Second

// extraWorkersShare limits the time that a call spends on workers without free capacity, as a share
// of the call's fixed duration. Their tickets are then already valid when a task ends there, which
// saves a call for each task that ends.
const extraWorkersShare = 0.5

// addEligible adds the IDs of eligible workers to ids, those of the workers with the most free CPU
// first.
func (c *Core) addEligible(s *stepState, ids []string, usable []*worker) []string {
	policy := s.job.terms.Advice
	limit := maxWorkersPerCall
	if policy.PerWorker > 0 {
		limit = min(limit, len(ids)+int(extraWorkersShare*float64(policy.Base)/float64(policy.PerWorker)))
	}
	extra := slices.DeleteFunc(c.eligible(s, usable), func(w *worker) bool { return slices.Contains(ids, w.ID) })
	return append(ids, c.idsByFreeCPU(extra, max(0, limit-len(ids)))...)
}

// unqueried returns the IDs of at most limit workers that meet the requirements of a step and whose
// current incarnation was not named in a call, those with the most free CPU first. With withRoom, a task
// of the step must fit there now.
func (c *Core) unqueried(s *stepState, usable []*worker, limit int, withRoom bool) []string {
	if c.byFreeCPU == nil {
		c.byFreeCPU = slices.Clone(usable)
		sortByFreeCPU(c.byFreeCPU)
	}
	limit = min(limit, maxWorkersPerCall)
	var ids []string
	for _, w := range c.byFreeCPU {
		if len(ids) >= limit {
			break
		}
		if incarnation, queried := s.advice.queried[w.ID]; queried && incarnation == w.Incarnation || !meetsRequirements(w, s) {
			continue
		}
		if withRoom && !taskSize(s.spec).Fits(w.free(s, c.now)) {
			continue
		}
		ids = append(ids, w.ID)
	}
	return ids
}

// possibleWorkers iterates over those of the usable workers on which tasks of a step may start as far
// as advice is concerned: all of them, or those for which the step has a ticket, which may have
// expired. In a large fleet the latter are few, so that the cost of a step does not grow with the
// fleet. The order is undefined.
func (c *Core) possibleWorkers(s *stepState, usable []*worker) iter.Seq[*worker] {
	if !needsAdvice(s) || len(usable) <= len(s.advice.tickets) {
		return slices.Values(usable)
	}
	return func(yield func(*worker) bool) {
		for id := range s.advice.tickets {
			if w := c.workers[id]; w != nil && c.isUsable(w) && !yield(w) {
				return
			}
		}
	}
}

// eligible returns the workers that the advice service allows to run a step, including those whose
// ticket has expired.
func (c *Core) eligible(s *stepState, usable []*worker) []*worker {
	var eligible []*worker
	for w := range c.possibleWorkers(s, usable) {
		if _, ok := s.advice.ticket(w, c.now, true); ok && meetsRequirements(w, s) {
			eligible = append(eligible, w)
		}
	}
	return eligible
}

// hasQueried reports whether a call to the advice service for the step was answered or is in flight.
func (s *stepState) hasQueried() bool { return s.advice.proxy != nil || len(s.advice.queried) > 0 }

// hasEnoughTickets reports whether so many workers are eligible for a step that a call for further
// ones is not worthwhile: at least minWorkers, and all tasks of the step would fit on them if they
// were empty.
func (c *Core) hasEnoughTickets(s *stepState) bool {
	const minWorkers = 4 // with fewer, the wait for one of them to become free is too long
	size, capacity, eligible := taskSize(s.spec), 0, 0
	for id := range s.advice.tickets {
		w := c.workers[id]
		if w == nil || !w.listed || w.Draining || c.isEvacuated(w) {
			continue
		}
		if _, ok := s.advice.ticket(w, c.now, true); !ok {
			continue
		}
		fits := fitCount(size, w.Capacity, len(s.tasks))
		if s.spec.AntiAffinity > 0 {
			fits = min(fits, s.spec.AntiAffinity)
		}
		eligible++
		capacity += fits
	}
	return eligible >= minWorkers && capacity >= len(s.tasks)
}

// idsByFreeCPU returns the IDs of at most limit workers, those with the most free CPU first: if a
// call cannot name all workers, these are the most likely to be chosen for placement.
func (c *Core) idsByFreeCPU(workers []*worker, limit int) []string {
	sortByFreeCPU(workers)
	limit = min(len(workers), limit, maxWorkersPerCall)
	ids := make([]string, 0, limit)
	for _, w := range workers[:limit] {
		ids = append(ids, w.ID)
	}
	return ids
}

// sortByFreeCPU sorts workers, those with the most free CPU first.
func sortByFreeCPU(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(a.freeCPU(), b.freeCPU()), cmp.Compare(a.ID, b.ID))
	})
}

// selectProxy returns the proxy that can make a call soonest, or nil if none is available. Some
// proxies are reserved for short calls, which would otherwise wait behind long ones.
func (c *Core) selectProxy(callDuration time.Duration) *adviceProxy {
	isLong := callDuration >= longCallThreshold
	longCallProxies := 0
	var best *adviceProxy
	for _, proxy := range c.sortedProxies() {
		longCallProxies += min(proxy.longCalls, 1)
		if !c.canCall(proxy, isLong) {
			continue
		}
		if best == nil || proxy.busyUntil.Before(best.busyUntil) {
			best = proxy
		}
	}
	if isLong && longCallProxies >= c.maxLongCallProxies() {
		return nil
	}
	return best
}

// maxLongCallProxies returns how many proxies may have a long call in flight.
func (c *Core) maxLongCallProxies() int {
	n := len(c.proxies)
	return max(1, n-max(minShortCallProxies, int(shortCallProxyShare*float64(n))))
}

// busyProxyShare returns the share of the proxies that have a call in flight.
func (c *Core) busyProxyShare() float64 {
	busy := 0
	for _, proxy := range c.proxies {
		busy += min(proxy.inFlight, 1)
	}
	return float64(busy) / float64(max(1, len(c.proxies)))
}

const (
	// initialEligibleShare is assumed until the first reply for a queue.
	initialEligibleShare = 0.4
	// eligibleShareWeight is the weight of one reply in the moving average, which thus covers about
	// twenty replies.
	eligibleShareWeight = 0.05
	// minEligibleShare is the lower bound of the estimate after a series of replies with few
	// eligible workers.
	minEligibleShare = 0.1
)

// eligibleShare estimates the share of the queried workers that are eligible to run a step of
// a queue, from the replies so far.
func (c *Core) eligibleShare(queue string) float64 {
	if share, known := c.eligibleShares[queue]; known {
		return max(minEligibleShare, share)
	}
	return initialEligibleShare
}

// updateEligibleShare updates the estimate for a queue after the first reply for a step.
func (c *Core) updateEligibleShare(queue string, queried, eligible int) {
	share := c.eligibleShare(queue)
	c.eligibleShares[queue] = share + eligibleShareWeight*(float64(eligible)/float64(queried)-share)
}

// sortedProxies returns the proxies sorted by name.
func (c *Core) sortedProxies() []*adviceProxy {
	if c.proxyOrder == nil {
		for _, name := range slices.Sorted(maps.Keys(c.proxies)) {
			c.proxyOrder = append(c.proxyOrder, c.proxies[name])
		}
	}
	return c.proxyOrder
}

// canCall reports whether a proxy is alive and can make another call now.
func (c *Core) canCall(proxy *adviceProxy, isLong bool) bool {
	if c.now.Sub(proxy.lastSeenAt) > proxyTimeout {
		return false
	}
	if isLong {
		return proxy.inFlight == 0
	}
	return proxy.inFlight == 0 || (proxy.longCalls == 0 && proxy.busyUntil.Sub(c.now) < maxShortCallBacklog)
}

// callAdvice makes a call through a proxy and adds its expected duration to the load of the proxy.
func (c *Core) callAdvice(s *stepState, proxy *adviceProxy, workerIDs []string, callDuration time.Duration) {
	s.advice.proxy = proxy
	if s.advice.queried == nil {
		s.advice.queried = make(map[string]int64)
		s.advice.tickets = make(map[string]ticket)
	}
	s.advice.named = make(map[string]int64, len(workerIDs))
	for _, id := range workerIDs {
		s.advice.named[id] = c.workers[id].Incarnation
	}
	proxy.inFlight++
	if callDuration >= longCallThreshold {
		proxy.longCalls++
	}
	if proxy.busyUntil.Before(c.now) {
		proxy.busyUntil = c.now
	}
	proxy.busyUntil = proxy.busyUntil.Add(callDuration)
	c.emit(AdviceCall{Instance: proxy.name, Step: s.key, Workers: workerIDs})
}

// AdviceCallDone handles the reply of the advice service or the failure of the call.
func (c *Core) AdviceCallDone(e AdviceCallDone) {
	if proxy := c.proxies[e.Call.Instance]; proxy != nil {
		proxy.inFlight = max(0, proxy.inFlight-1)
		if proxy.inFlight == 0 {
			proxy.longCalls = 0
			proxy.busyUntil = c.now
		}
	}
	c.passDue = true
	s := c.steps[e.Call.Step]
	if s == nil {
		return
	}
	s.advice.proxy = nil
	if e.Failed {
		s.advice.retryAt = c.now.Add(adviceRetryDelay)
		return
	}
	firstReply := len(s.advice.queried) == 0
	s.job.adviceEntries -= s.advice.entries()
	for _, id := range e.Call.Workers {
		w := c.workers[id]
		if w == nil || w.Incarnation != s.advice.named[id] {
			continue // the reply is about an incarnation that has ended
		}
		s.advice.queried[id] = w.Incarnation
		if text, eligible := e.Tickets[id]; eligible {
			s.advice.expiresAt = c.now.Add(e.Validity)
			s.advice.tickets[id] = ticket{text: text, incarnation: w.Incarnation, expiresAt: c.now.Add(e.Validity)}
		}
	}
	s.job.adviceEntries += s.advice.entries()
	c.chargeMemory(s.job)
	s.advice.named = nil
	s.advice.answered = c.now
	s.resetPlanBackoff()
	if firstReply {
		c.updateEligibleShare(s.job.Queue, len(e.Call.Workers), len(e.Tickets))
	}
	c.logDecision(s.key.Job, "advised", "step", s.key.String(), "named", len(e.Call.Workers), "good", len(e.Tickets), "through", e.Call.Instance, "valid_ms", e.Validity.Milliseconds())
	if s.reservation != nil && s.hasUnplaced() && c.mayPlace() {
		c.placeReserved(s)
	}
}

// placeReserved tries to start a gang whose tickets were renewed on its reserved workers, before
// the tickets expire.
func (c *Core) placeReserved(s *stepState) {
	var members []*worker
	for _, w := range c.sortedWorkers() {
		if _, ok := s.reservation.members[w]; ok && c.isUsable(w) {
			members = append(members, w)
		}
	}
	c.placeStep(s, members)
}

// UsableCapacity returns the total and the used capacity of the usable workers.
func (c *Core) UsableCapacity() (capacity, used task.Resources) {
	for _, w := range c.workers {
		if c.isUsable(w) {
			capacity = capacity.Add(w.Capacity)
			used = used.Add(w.used)
		}
	}
	return capacity, used
}
