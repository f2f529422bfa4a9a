package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// adviceState is what the advice service has said of a step. Which workers may
// run a step does not change; the tickets that prove it expire.
type adviceState struct {
	tickets map[string]ticket // by worker, also expired ones
	asked   map[string]int64  // lives of workers that were named in a call
	lane    *lane             // of the call under way
	retryAt time.Time
	till    time.Time // when the last of the tickets expires
}

type ticket struct {
	text string
	born int64
	till time.Time
}

// ticketMargin is the least time that a ticket must have left when a start is
// sent: an order crosses regions in 12 ms and waits for a connection at times.
const ticketMargin = 120 * time.Millisecond

func (a *adviceState) ticket(w *worker, now time.Time, anyAge bool) (string, bool) {
	t, ok := a.tickets[w.ID]
	if !ok || t.born != w.Born || (!anyAge && now.Add(ticketMargin).After(t.till)) {
		return "", false
	}
	return t.text, true
}

// forget makes the ticket of a worker unusable without forgetting that the
// worker may run the step.
func (a *adviceState) forget(worker string) {
	if t, ok := a.tickets[worker]; ok {
		t.till = time.Time{}
		a.tickets[worker] = t
	}
}

// lane is an instance through which the advice service can be asked. The
// service serves one call of each instance at a time.
type lane struct {
	name     string
	seenAt   time.Time
	inFlight int
	busyTill time.Time
	long     int // calls under way that take long
}

const (
	// laneSilence is how long an instance may be silent before it is no longer
	// used; it reports every second.
	laneSilence = 2500 * time.Millisecond
	// longCall is the length from which a call holds up the others of its lane.
	longCall = 150 * time.Millisecond
	// shortQueue is how far ahead a lane may be booked with short calls, so that
	// the service does not wait for the next one.
	shortQueue = 60 * time.Millisecond
	// lanesForShort and shortShare are how many lanes long calls leave to short
	// ones, at least and of all. On a grown deployment a hundred short calls a
	// second take 22 ms each, and up to twice that in a burst.
	lanesForShort = 2
	shortShare    = 1.0 / 6
	// maxNamed is the most workers that one call may name.
	maxNamed = 100
	// adviceRetry is the wait after a call that failed.
	adviceRetry = 60 * time.Millisecond
)

// SeeLane notes that an instance is there and can ask for advice.
func (c *Core) SeeLane(name string) {
	l, known := c.lanes[name]
	if !known {
		l = &lane{name: name}
		c.lanes[name] = l
		c.laneOrder = nil
		c.passDue = true
	}
	l.seenAt = c.now
}

func (c *Core) dropSilentLanes() {
	for name, l := range c.lanes {
		if c.now.Sub(l.seenAt) > laneSilence && l.inFlight == 0 {
			delete(c.lanes, name)
			c.laneOrder = nil
		}
	}
}

// seekAdvice asks for the steps that have no usable ticket, in their order, as
// far as lanes are free.
func (c *Core) seekAdvice(steps []*stepState, usable []*worker) {
	if c.freeLane(0) == nil {
		return
	}
	for _, s := range steps {
		if s.advice.lane != nil || c.now.Before(s.advice.retryAt) {
			continue
		}
		policy := c.catalog.Queue(s.job.Queue).Advice
		if c.freeLane(policy.Base) == nil {
			continue
		}
		named := c.workersToName(s, usable)
		if len(named) == 0 {
			continue
		}
		takes := policy.Base + time.Duration(len(named))*policy.PerWorker
		if l := c.freeLane(takes); l != nil {
			c.ask(s, l, named, takes)
		}
	}
}

// workersToName returns the workers about which a call is worth its time: those
// about which nothing is known yet, or else those that would be chosen if their
// tickets had not expired.
func (c *Core) workersToName(s *stepState, usable []*worker) []string {
	if s.spec.Gang {
		return c.gangWorkersToName(s, usable, c.catalog.Queue(s.job.Queue).Advice)
	}
	if !c.hasEnoughTickets(s) {
		if unknown := s.unknown(usable); len(unknown) > 0 {
			return c.namesOf(unknown, maxNamed)
		}
	}
	options := c.options(s, usable, true)
	slices.SortFunc(options, func(a, b option) int {
		if c.prefer(s, &a, &b) {
			return -1
		}
		return 1
	})
	var names []string
	room := 0
	for _, o := range options {
		if room >= s.left {
			break
		}
		names = append(names, o.worker.ID)
		room += o.room
	}
	if room == 0 || room >= s.left {
		return names
	}
	return c.nameMore(s, names, usable)
}

// moreNamed is the part of the fixed length of a call that may go to workers
// without room at present. Their tickets are valid when a task ends there, which
// saves a call for each end.
const moreNamed = 0.5

// nameMore adds workers that may run a step, those with the most room first.
func (c *Core) nameMore(s *stepState, names []string, usable []*worker) []string {
	policy := c.catalog.Queue(s.job.Queue).Advice
	most := maxNamed
	if policy.PerWorker > 0 {
		most = min(most, len(names)+int(moreNamed*float64(policy.Base)/float64(policy.PerWorker)))
	}
	more := slices.DeleteFunc(s.known(usable, c.now), func(w *worker) bool { return slices.Contains(names, w.ID) })
	return append(names, c.namesOf(more, max(0, most-len(names)))...)
}

// unknown returns the workers that suit a step and about which nothing was asked.
func (s *stepState) unknown(usable []*worker) []*worker {
	var unknown []*worker
	for _, w := range usable {
		if born, asked := s.advice.asked[w.ID]; (!asked || born != w.Born) && suits(w, s) {
			unknown = append(unknown, w)
		}
	}
	return unknown
}

// known returns the workers that may run a step.
func (s *stepState) known(usable []*worker, now time.Time) []*worker {
	var known []*worker
	for _, w := range usable {
		if _, ok := s.advice.ticket(w, now, true); ok && suits(w, s) {
			known = append(known, w)
		}
	}
	return known
}

// isAdvised reports whether something was asked for a step, or is being asked.
func (s *stepState) isAdvised() bool { return s.advice.lane != nil || len(s.advice.asked) > 0 }

// hasEnoughTickets reports whether the workers that may run a step are enough to
// wait for, so that asking about further ones is not worth a call: some choice
// for small steps, and room for every task of a wide one if they were empty.
func (c *Core) hasEnoughTickets(s *stepState) bool {
	const choice = 4 // workers; fewer are too few to wait for
	size, room, known := stepSize(s.spec), 0, 0
	for id := range s.advice.tickets {
		w := c.workers[id]
		if w == nil || !w.listed || w.Draining {
			continue
		}
		fits := fitCount(size, w.Capacity, len(s.tasks))
		if s.spec.AntiAffinity > 0 {
			fits = min(fits, s.spec.AntiAffinity)
		}
		known++
		room += fits
	}
	return known >= choice && room >= len(s.tasks)
}

// namesOf names at most so many workers, those with the most room first: if a
// call cannot name all, these are the ones that would be chosen.
func (c *Core) namesOf(list []*worker, most int) []string {
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(a.roomCPU(), b.roomCPU()), cmp.Compare(a.ID, b.ID))
	})
	most = min(len(list), most, maxNamed)
	names := make([]string, 0, most)
	for _, w := range list[:most] {
		names = append(names, w.ID)
	}
	return names
}

// freeLane returns the lane that can take a call soonest, or nil if none should.
// Long calls leave some lanes to short ones, which would wait behind them.
func (c *Core) freeLane(takes time.Duration) *lane {
	isLong := takes >= longCall
	long := 0
	var best *lane
	for _, l := range c.sortedLanes() {
		long += min(l.long, 1)
		if !c.laneTakes(l, isLong) {
			continue
		}
		if best == nil || l.busyTill.Before(best.busyTill) {
			best = l
		}
	}
	if isLong && long >= c.lanesForLong() {
		return nil
	}
	return best
}

// lanesForLong returns how many lanes may have a long call under way.
func (c *Core) lanesForLong() int {
	n := len(c.lanes)
	return max(1, n-max(lanesForShort, int(shortShare*float64(n))))
}

// busyLanesShare returns the part of the lanes that has a call under way.
func (c *Core) busyLanesShare() float64 {
	busy := 0
	for _, l := range c.lanes {
		busy += min(l.inFlight, 1)
	}
	return float64(busy) / float64(max(1, len(c.lanes)))
}

const (
	// firstGoodShare is taken before the first answer for a queue.
	firstGoodShare = 0.4
	// goodShareWeight is that of one answer: some twenty count.
	goodShareWeight = 0.05
	// leastGoodShare bounds what a row of bad answers makes of it.
	leastGoodShare = 0.1
)

// goodShare returns the part of the named workers that may run a step of a queue,
// as the answers so far tell.
func (c *Core) goodShare(queue string) float64 {
	if share, known := c.good[queue]; known {
		return max(leastGoodShare, share)
	}
	return firstGoodShare
}

// observeGood takes in the answer about workers that were not named before.
func (c *Core) observeGood(queue string, named, good int) {
	share := c.goodShare(queue)
	c.good[queue] = share + goodShareWeight*(float64(good)/float64(named)-share)
}

// sortedLanes returns the lanes by name.
func (c *Core) sortedLanes() []*lane {
	if c.laneOrder == nil {
		for _, name := range slices.Sorted(maps.Keys(c.lanes)) {
			c.laneOrder = append(c.laneOrder, c.lanes[name])
		}
	}
	return c.laneOrder
}

func (c *Core) laneTakes(l *lane, isLong bool) bool {
	if c.now.Sub(l.seenAt) > laneSilence {
		return false
	}
	if isLong {
		return l.inFlight == 0
	}
	return l.inFlight == 0 || (l.long == 0 && l.busyTill.Sub(c.now) < shortQueue)
}

func (c *Core) ask(s *stepState, l *lane, named []string, takes time.Duration) {
	s.advice.lane = l
	if s.advice.asked == nil {
		s.advice.asked = make(map[string]int64)
		s.advice.tickets = make(map[string]ticket)
	}
	l.inFlight++
	if takes >= longCall {
		l.long++
	}
	if l.busyTill.Before(c.now) {
		l.busyTill = c.now
	}
	l.busyTill = l.busyTill.Add(takes)
	c.emit(Ask{Lane: l.name, Step: s.key, Workers: named})
}

// AskDone takes in an answer of the advice service.
func (c *Core) AskDone(e AskDone) {
	if l := c.lanes[e.Ask.Lane]; l != nil {
		l.inFlight = max(0, l.inFlight-1)
		if l.inFlight == 0 {
			l.long = 0
			l.busyTill = c.now
		}
	}
	c.passDue = true
	s := c.steps[e.Ask.Step]
	if s == nil {
		return
	}
	s.advice.lane = nil
	if e.Failed {
		s.advice.retryAt = c.now.Add(adviceRetry)
		return
	}
	first := len(s.advice.asked) == 0
	for _, id := range e.Ask.Workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		s.advice.asked[id] = w.Born
		if text, good := e.Tickets[id]; good {
			s.advice.till = c.now.Add(e.Valid)
			s.advice.tickets[id] = ticket{text: text, born: w.Born, till: c.now.Add(e.Valid)}
		}
	}
	if first {
		c.observeGood(s.job.Queue, len(e.Ask.Workers), len(e.Tickets))
	}
	c.decide(s.key.Job, "advised", "step", s.key.String(), "named", len(e.Ask.Workers), "good", len(e.Tickets), "through", e.Ask.Lane, "valid_ms", e.Valid.Milliseconds())
	if s.reserved != nil && s.hasUnplaced() && !c.stopping {
		c.placeReserved(s)
	}
}

// placeReserved starts a gang whose tickets were renewed in the room that is
// kept for it, before they expire.
func (c *Core) placeReserved(s *stepState) {
	var members []*worker
	for _, w := range c.sortedWorkers() {
		if _, ok := s.reserved.members[w]; ok && c.isUsable(w) {
			members = append(members, w)
		}
	}
	c.placeStep(s, members)
}

// Room returns the capacity of the workers that may get work, and what of it is
// in use.
func (c *Core) Room() (capacity, used task.Resources) {
	for _, w := range c.workers {
		if c.isUsable(w) {
			capacity = capacity.Add(w.Capacity)
			used = used.Add(w.used)
		}
	}
	return capacity, used
}
