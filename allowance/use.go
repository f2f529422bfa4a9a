package allowance

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// use is what one team runs at one owned partition.
type use struct {
	base    task.Resources // held when the partition was gained
	baseSet bool
	counted task.Resources // found running, in total; ended tasks included
	net     task.Resources // counted and acquired less returned

	peaks    [peakCount]task.Resources // largest net of the present and the last periods
	periodAt time.Time                 // start of the present period

	one      task.Resources // largest size that Acquire refused
	oneAt    time.Time
	wanted   task.Resources // total of the waiting tasks
	wantedAt time.Time
}

// peakCount is the number of periods whose peaks are kept. With periods of half
// the idle time, the two complete ones cover at least the idle time.
const peakCount = 3

// wantValidity is how long a refused or announced demand counts without being
// repeated, so that a cancelled task takes no allowance.
const wantValidity = 3 * time.Second

// useOf returns the use of the team at an owned partition. The first call after
// the ownership has been observed notes the amount that the partition held.
func (t *Table) useOf(now time.Time, tm *team, name string) *use {
	u := tm.use[name]
	if u == nil {
		u = &use{periodAt: now}
		tm.use[name] = u
	}
	if !u.baseSet && tm.loaded && t.isUsable(t.partitions[name]) {
		u.base, u.baseSet = tm.record.Parts[name], true
	}
	return u
}

func (u *use) want(now time.Time, size task.Resources) {
	if now.Sub(u.oneAt) > wantValidity {
		u.one = task.Resources{}
	}
	u.one, u.oneAt = u.one.Max(size), now
}

// demand returns the size of the largest single task and the total that is
// wanted, as far as they are recent.
func (u *use) demand(now time.Time) (one, total task.Resources) {
	if now.Sub(u.oneAt) <= wantValidity {
		one = u.one
	}
	if now.Sub(u.wantedAt) <= wantValidity {
		total = u.wanted
	}
	return one, total.Max(one)
}

func (u *use) add(now time.Time, size task.Resources, idle time.Duration) {
	u.rotate(now, idle)
	u.net = u.net.Add(size)
	u.peaks[0] = u.peaks[0].Max(u.net)
}

// rotate starts new periods until the present one contains now. After a long
// silence all periods have the present amount as their peak.
func (u *use) rotate(now time.Time, idle time.Duration) {
	period := idle / (peakCount - 1)
	for i := 0; now.Sub(u.periodAt) >= period; i++ {
		if i == peakCount {
			u.periodAt = now
			return
		}
		copy(u.peaks[1:], u.peaks[:peakCount-1])
		u.peaks[0] = u.net
		u.periodAt = u.periodAt.Add(period)
	}
}

// peak returns the largest net amount of the last periods.
func (u *use) peak(now time.Time, idle time.Duration) task.Resources {
	u.rotate(now, idle)
	top := u.net
	for _, p := range u.peaks {
		top = top.Max(p)
	}
	return top
}
