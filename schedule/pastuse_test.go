package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/job"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// pastUseCatalog has two teams of equal weight without limits.
func pastUseCatalog() *job.Catalog {
	return job.NewCatalog(1, 1, []job.Queue{
		{Name: "plain", Service: "calc", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second, Priority: 1},
		{Name: "urgent", Service: "calc", MaxAttempts: 3, Stretch: 2, TargetAllowance: time.Second},
	}, []job.Service{{Name: "calc"}}, []job.Team{{Name: "red", Weight: 100}, {Name: "blue", Weight: 100}})
}

// newPastUseSimulation returns a simulation of two workers with 64 cores, whose owner takes past use into
// account.
func newPastUseSimulation(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed, 2)
	s.pastUseHalfLife = time.Hour
	s.catalog = pastUseCatalog()
	s.takeOver()
	s.run(time.Second)
	return s
}

// submitTeamEvery submits jobs of one task at an interval until the given time has passed.
func (s *simulation) submitTeamEvery(interval, duration time.Duration, team string, firstID int, step job.Step) {
	for i := range int(duration / interval) {
		s.pendingJobs++
		s.after(time.Duration(i)*interval, func() {
			s.submit(&job.Job{ID: job.ID(fmt.Sprintf("%016x", firstID+i)), Queue: "plain", Team: team, Spec: "work", Steps: []job.Step{step}})
		})
	}
}

// startsOf returns the number of tasks of a team that have started since the given time.
func (s *simulation) startsOf(team string, since time.Time) int {
	n := 0
	for key, starts := range s.starts {
		for _, at := range starts {
			if s.jobs[key.Job].Team == team && at.After(since) {
				n++
			}
		}
	}
	return n
}

// useFor runs tasks of a minute of a team on all cores for the given time.
func (s *simulation) useFor(team string, duration time.Duration) {
	step := job.Step{Count: 2, Size: task.Resources{CPUMilli: 32_000, MemoryMB: 100}, Estimate: time.Minute}
	s.submitTeamEvery(time.Minute, duration, team, 0xf0000, step)
	s.run(duration)
	s.run(30 * time.Second)
}

// TestPastUseOrder guards against a team that used most of the capacity for an hour and still gets as much
// as one that used none, once both have more work than fits; against a heavy team that gets nothing while
// the work of the light one alone exceeds the capacity; and against use that is not forgotten.
func TestPastUseOrder(t *testing.T) {
	for _, c := range []struct {
		name           string
		interval       time.Duration // between the jobs of each team; one task in 80 ms fits
		idle           time.Duration // after the use
		minRed, maxRed float64       // share of the starts
	}{
		{"light team below the capacity", 100 * time.Millisecond, 0, 0.1, 0.4},
		{"light team above the capacity", 50 * time.Millisecond, 0, 0.1, 0.4},
		{"hours later", 50 * time.Millisecond, 5 * time.Hour, 0.45, 0.55},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPastUseSimulation(t, 3)
			s.useFor("red", time.Hour)
			if c.idle > 0 {
				s.withoutOwner = true
				s.run(c.idle)
				s.withoutOwner = false
				s.takeOver()
				s.run(time.Second)
			}
			const duration = 40 * time.Second
			step := job.Step{Count: 1, Size: task.Resources{CPUMilli: 4_000, MemoryMB: 100}, Estimate: time.Second}
			s.submitTeamEvery(c.interval, duration, "red", 0xa0000, step)
			s.run(c.interval / 2)
			s.submitTeamEvery(c.interval, duration, "blue", 0xb0000, step)
			s.run(duration / 4)
			since := s.now
			s.run(duration / 2)
			red, blue := s.startsOf("red", since), s.startsOf("blue", since)
			share := float64(red) / float64(red+blue)
			t.Logf("red %d, blue %d, share %.3f", red, blue, share)
			if share < c.minRed || share > c.maxRed {
				t.Errorf("team red started %d and team blue %d tasks, a share of %.3f; want %.2f to %.2f", red, blue, share, c.minRed, c.maxRed)
			}
		})
	}
}

// TestPastUseRanksLast guards against past use that outweighs a priority, the rank or a clearly earlier
// latest start, that changes deadlines, or that delays long-lived tasks.
func TestPastUseRanksLast(t *testing.T) {
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	usual := job.Step{Count: 1, Size: task.Resources{CPUMilli: 1000}, Estimate: 10 * time.Second} // objective 21 s
	short := job.Step{Count: 1, Size: task.Resources{CPUMilli: 1000}, Estimate: time.Second}      // objective 3 s
	longLived := usual
	longLived.LongLived = true
	for _, c := range []struct {
		name      string
		queue     string // of the job of team red, which has used much
		step      job.Step
		red, blue time.Duration // age of the jobs
		redFirst  bool
		surplus   bool // the job of team blue exceeds its rate
	}{
		{"equal", "plain", usual, 0, 0, false, false},
		{"little older", "plain", usual, seconds(3.3), 0, false, false},
		{"older by the maximum shift", "plain", usual, seconds(3.6), 0, true, false},
		{"higher priority", "urgent", usual, 0, 0, true, false},
		{"short job", "plain", short, 0, seconds(7.4), true, false}, // latest start after 2 s, of the other one after 3.6 s
		{"late job of the light team", "plain", usual, 0, seconds(30), true, false},
		{"surplus job of the light team", "plain", usual, 0, 0, true, true},
		{"long-lived tasks", "plain", longLived, seconds(0.1), 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			cfg := DefaultConfig()
			cfg.PastUseHalfLife = time.Hour
			core := New(now, cfg, 1, pastUseCatalog(), nil)
			core.Begin(now, now)
			core.SetDirectory([]Worker{{ID: "w1", Incarnation: 1, Service: "calc", Capacity: task.Resources{CPUMilli: 64_000, MemoryMB: 1000}}})
			core.Tick()
			core.changeRunning("red", task.Resources{CPUMilli: 64_000})
			now = now.Add(8 * time.Hour)
			core.Begin(now, now)
			submit := func(id job.ID, queue, team string, step job.Step, age time.Duration) *stepState {
				core.Begin(now.Add(-age), now.Add(-age))
				core.Accept(&job.Job{ID: id, Queue: queue, Team: team, Steps: []job.Step{step}})
				return core.steps[job.StepKey{Job: id}]
			}
			blue := submit("00000000000000b0", "plain", "blue", usual, c.blue)
			red := submit("00000000000000c0", c.queue, "red", c.step, c.red)
			blue.job.surplus = c.surplus
			red.job.unshifted = false
			core.Begin(now, now)
			latestStart := red.latestStart
			waiting := core.waitingSteps()
			if len(waiting) != 2 || (waiting[0] == red) != c.redFirst {
				t.Errorf("the job of the heavy team is first: %v, want %v (shift %s)", waiting[0] == red, c.redFirst, pastUseShift(red))
			}
			if !red.latestStart.Equal(latestStart) || !latestStart.Equal(core.latestStart(red)) {
				t.Errorf("the latest start changed from %s to %s", latestStart, red.latestStart)
			}
			if shift := core.lastShift("red"); shift <= 0 || shift > maxPastUseShift || maxPastUseShift >= priorityPenalty {
				t.Errorf("the shift of the heavy team is %s, want one up to %s, below %s", shift, maxPastUseShift, priorityPenalty)
			}
		})
	}
}

// observedUse integrates what runs on the workers, independently of the owners.
type observedUse map[string]float64 // share of the capacity, times seconds

func (s *simulation) observeUse(capacity int64) observedUse {
	const interval = 10 * time.Millisecond
	use := observedUse{}
	s.every(interval, func() {
		for team, running := range s.usage {
			use[team] += float64(running.CPUMilli) / float64(capacity) * interval.Seconds()
		}
	})
	return use
}

// recordedUse returns the hourly totals of the recorded use.
func (s *simulation) recordedUse() observedUse {
	use := observedUse{}
	if s.pastUse != nil {
		for _, t := range s.pastUse.Teams {
			for _, units := range t.Hours {
				use[t.Team] += float64(units) / 10
			}
		}
	}
	return use
}

// TestPastUseOfTakeovers guards against runs that count twice, or not at all, when the owner changes, when
// ends are reported late or start orders get no answer, and when all instances are lost at once.
func TestPastUseOfTakeovers(t *testing.T) {
	for _, c := range []struct {
		name      string
		every     time.Duration // interval of takeovers
		gap       time.Duration // without an owner before each of them
		lossRate  float64
		delay     time.Duration // of reports, at most
		takeovers int
		// Beyond the observed use, capacity is also held while it is unknown whether a run goes on: until the
		// report of its end, and for as long as an order without an answer is being cleared up.
		maxOver float64
	}{
		{"one owner", 10 * time.Minute, 0, 0, 0, 0, 0.01},
		{"takeovers", 30 * time.Second, 2 * time.Second, 0, 0, 20, 0.01},
		{"lost answers and late reports", 30 * time.Second, 2 * time.Second, 0.1, 500 * time.Millisecond, 20, 0.1},
		{"all instances lost", 5 * time.Minute, 30 * time.Second, 0, 0, 2, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newPastUseSimulation(t, 11)
			s.orderLossRate, s.reportDelay = c.lossRate, c.delay
			s.faults = []string{"takeovers"}
			observed := s.observeUse(64_000)
			const duration = 10 * time.Minute
			s.submitTeamEvery(3*time.Second, duration, "red", 0xa0000, job.Step{Count: 2, Size: task.Resources{CPUMilli: 4_000, MemoryMB: 100}, Estimate: 15 * time.Second})
			s.submitTeamEvery(5*time.Second, duration, "blue", 0xb0000, job.Step{Count: 1, Size: task.Resources{CPUMilli: 8_000, MemoryMB: 100}, Estimate: 8 * time.Second})
			for range c.takeovers {
				s.run(c.every - c.gap)
				s.withoutOwner = true
				s.run(c.gap)
				s.withoutOwner = false
				s.takeOver()
			}
			s.run(duration - time.Duration(c.takeovers)*c.every)
			s.finish(3 * time.Minute)
			recorded := s.recordedUse()
			for team, use := range observed {
				// Stated loss: the use since the last commit and until the new owner has the reports.
				const commitTime, reportTime = 50 * time.Millisecond, 2 * time.Second
				const peak = 1.5 // of the share that a team uses, relative to its average
				share := peak * use / duration.Seconds()
				loss := share * float64(1+c.takeovers) * (pastUseRecordInterval + pastUseChargeInterval + commitTime + c.gap + reportTime + c.delay).Seconds()
				t.Logf("%s: recorded %.1f, observed %.1f, loss of at most %.1f", team, recorded[team], use, loss)
				if recorded[team] > use*(1+c.maxOver) {
					t.Errorf("recorded use of team %s %.1f, observed %.1f", team, recorded[team], use)
				}
				if recorded[team] < use-loss {
					t.Errorf("recorded use of team %s %.1f, observed %.1f, a loss of %.1f is allowed", team, recorded[team], use, loss)
				}
			}
		})
	}
}

// TestPastUseRecord guards against use that is written although nothing ran, at every commit, or only some
// time after an owner resigns; and against a commit with more entries than the store accepts.
func TestPastUseRecord(t *testing.T) {
	c, now := newBacklog(0)
	c.cfg.PastUseHalfLife = time.Hour
	c.initPastUse()
	step := func(d time.Duration) (commits []Commit) {
		now = now.Add(d)
		c.Begin(now, now)
		c.Tick()
		for _, e := range c.Finish() {
			if commit, ok := e.(Commit); ok {
				commits = append(commits, commit)
			}
		}
		return commits
	}
	uses := 0
	count := func(d time.Duration) {
		for range int(d / (100 * time.Millisecond)) {
			for _, commit := range step(100 * time.Millisecond) {
				if commit.PastUse != nil {
					uses++
				}
				c.CommitDone(CommitDone{Commit: commit})
			}
		}
	}
	count(20 * time.Second)
	if uses != 0 {
		t.Errorf("%d commits of past use although nothing ran, want 0", uses)
	}
	size := task.Resources{CPUMilli: 64_000}
	c.changeRunning("t1", size)
	count(20 * time.Second)
	if uses < 3 || uses > 5 {
		t.Errorf("%d commits of past use in 20 s, want 4", uses)
	}
	c.changeRunning("t1", size.Scale(-1))
	count(pastUseRecordInterval)
	uses = 0
	count(20 * time.Second)
	if uses != 0 {
		t.Errorf("%d commits of past use after the last run, want 0", uses)
	}
	c.changeRunning("t1", size)
	count(pastUseRecordInterval + time.Second)
	for i := range 60 {
		c.markDirty(c.addJob(&job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "small", Team: "t1", Steps: []job.Step{{Count: 1, Size: task.Resources{CPUMilli: 1 << 40}}}}, nil, true))
	}
	c.DisablePlacement()
	if c.AllCommitted() {
		t.Error("the owner may resign before it has recorded the past use")
	}
	const maxEntries = 32 // of a transaction of the store; the executor adds three, and one for the roster
	for _, commit := range step(100 * time.Millisecond) {
		entries := 3 + 1 + len(commit.Changes)*progressEntries
		if commit.PastUse == nil {
			t.Error("the first commit before the handover lacks the past use")
		} else {
			entries += pastUseEntries
		}
		if entries > maxEntries {
			t.Errorf("%d entries in a commit, the store accepts %d", entries, maxEntries)
		}
	}
}

// TestPastUseLog guards against use that is not shown, or a record that is ignored without a log line.
func TestPastUseLog(t *testing.T) {
	c, list := newPastUseBacklog(97)
	c.cfg.PastUseHalfLife = time.Minute
	c.initPastUse()
	for i := range 97 {
		c.changeRunning(fmt.Sprint("t", i), task.Resources{CPUMilli: int64(1+i) * 20_000})
	}
	now, text, reported := c.now, "", 0
	for range 2 + int(2*pastUseLogInterval/pastUseChargeInterval) {
		now = now.Add(pastUseChargeInterval)
		c.Begin(now, now)
		c.Tick()
		c.addPastUseShifts(list)
		for _, e := range c.Finish() {
			switch e := e.(type) {
			case Decision:
				text += e.Event + " " + fmt.Sprint(e.Fields...) + "\n"
			case PastUse:
				if last := e.Teams[len(e.Teams)-1]; len(e.Teams) == 97 && last.Team == "t96" && last.Use > 0 && last.Shift > time.Second {
					reported++
				}
			}
		}
	}
	if want := int(pastUseLogInterval / pastUseRecordInterval); reported < want { // those of the second minute
		t.Errorf("%d reports with the use and the shift of the heaviest team, want %d", reported, want)
	}
	record := c.takePastUse()
	record.Version++
	c.RestorePastUse(record)
	for _, e := range c.Finish() {
		if d, ok := e.(Decision); ok {
			text += d.Event + "\n"
		}
	}
	for want, count := range map[string]int{"use team": 2 * 97, "use_order": 1, "use_ignored": 1} {
		if n := strings.Count(text, want); n != count {
			t.Errorf("%d lines %q, want %d", n, want, count)
		}
	}
}

// newPastUseBacklog returns a Core of 97 teams with the given number of waiting jobs, and its waiting
// steps without the shifts.
func newPastUseBacklog(jobs int) (*Core, []rankedStep) {
	const teams = 97
	c, _ := newBacklog(0)
	c.cfg.PastUseHalfLife = time.Hour
	c.initPastUse()
	for i := range jobs {
		c.Accept(&job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Queue: "small", Team: fmt.Sprint("t", i%teams), Steps: []job.Step{{Count: 2, Size: task.Resources{CPUMilli: 2800}, Estimate: 640 * time.Millisecond}}})
	}
	for i := range teams {
		c.changeRunning(fmt.Sprint("t", i), task.Resources{CPUMilli: int64(1+i) * 1000})
	}
	var list []rankedStep
	for _, s := range c.sortedSteps() {
		list = append(list, rankedStep{step: s})
	}
	return c, list
}

// TestPastUseCost guards against a comparison for each waiting step instead of each team.
func TestPastUseCost(t *testing.T) {
	c, list := newPastUseBacklog(4000)
	c.addPastUseShifts(list)
	if len(list) != 4000 || len(c.pastUse.entries) != 97 {
		t.Errorf("%d comparisons for %d steps of 97 teams, want 97", len(c.pastUse.entries), len(list))
	}
}

// BenchmarkPastUse measures what past use adds to a pass over a backlog of 97 teams. A pass over 4,000
// steps takes some milliseconds, most of it for sorting.
func BenchmarkPastUse(b *testing.B) {
	for _, jobs := range []int{97, 4000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			c, list := newPastUseBacklog(jobs)
			now := c.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c.Begin(now, now)
				c.addPastUseShifts(list)
			}
		})
	}
}
