package allowance

import (
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// usage tracks the resources that one team uses at one owned partition.
type usage struct {
	allowanceAtGain    task.Resources // allowance that the partition held when its ownership was gained
	allowanceAtGainSet bool
	foundRunning       task.Resources // total size of the tasks found running, including those that have ended since
	inUse              task.Resources // foundRunning plus acquired minus released

	peaks       [peakCount]task.Resources // largest inUse of the current period and of the previous ones
	periodStart time.Time                 // start of the current period

	largestRefused task.Resources // largest size that Acquire refused
	refusedAt      time.Time
	totalDemand    task.Resources // total of the waiting tasks
	totalDemandAt  time.Time
}

// peakCount is the number of periods whose peaks are kept. A period is half of
// Config.IdleTimeout, so the two complete ones cover at least Config.IdleTimeout.
const peakCount = 3

// demandValidity is how long a demand that Acquire or SetDemand recorded remains valid
// without being repeated. It prevents grants for cancelled tasks.
const demandValidity = 3 * time.Second

// getOrCreateUsage returns the usage of the team at an owned partition. The first call
// after the records have become as new as the ownership sets allowanceAtGain.
func (t *Table) getOrCreateUsage(now time.Time, team *teamState, name string) *usage {
	u := team.usageByPartition[name]
	if u == nil {
		u = &usage{periodStart: now}
		team.usageByPartition[name] = u
	}
	if !u.allowanceAtGainSet && team.loaded && t.isUsable(t.partitions[name]) {
		u.allowanceAtGain, u.allowanceAtGainSet = team.record.Allowances[name], true
	}
	return u
}

// recordDemand records a size that Acquire refused.
func (u *usage) recordDemand(now time.Time, size task.Resources) {
	if now.Sub(u.refusedAt) > demandValidity {
		u.largestRefused = task.Resources{}
	}
	u.largestRefused, u.refusedAt = u.largestRefused.Max(size), now
}

// demand returns the largest size that was refused and the total demand. A value older
// than demandValidity counts as zero; the total is never below the largest size.
func (u *usage) demand(now time.Time) (largest, total task.Resources) {
	if now.Sub(u.refusedAt) <= demandValidity {
		largest = u.largestRefused
	}
	if now.Sub(u.totalDemandAt) <= demandValidity {
		total = u.totalDemand
	}
	return largest, total.Max(largest)
}

// add adds size to the amount in use. A negative size is a release.
func (u *usage) add(now time.Time, size task.Resources, idle time.Duration) {
	u.rotate(now, idle)
	u.inUse = u.inUse.Add(size)
	u.peaks[0] = u.peaks[0].Max(u.inUse)
}

// rotate starts new periods until the current one contains now. After a long time
// without changes, all periods have the current amount as their peak.
func (u *usage) rotate(now time.Time, idle time.Duration) {
	period := idle / (peakCount - 1)
	for i := 0; now.Sub(u.periodStart) >= period; i++ {
		if i == peakCount {
			u.periodStart = now
			return
		}
		copy(u.peaks[1:], u.peaks[:peakCount-1])
		u.peaks[0] = u.inUse
		u.periodStart = u.periodStart.Add(period)
	}
}

// peak returns the largest amount in use in the current and the previous periods.
func (u *usage) peak(now time.Time, idle time.Duration) task.Resources {
	u.rotate(now, idle)
	largest := u.inUse
	for _, p := range u.peaks {
		largest = largest.Max(p)
	}
	return largest
}
