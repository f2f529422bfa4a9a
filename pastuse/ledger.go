package pastuse

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

// Hours is the number of hours for which totals are kept, including the current one.
const Hours = 24

// minKeptUse is the use below which a team without runs and without hourly totals is forgotten. It is
// the resolution of a record.
const minKeptUse = 1 / useScale

// Ledger holds the use of the teams. It is not safe for concurrent use.
type Ledger struct {
	halfLife time.Duration
	capacity vector
	teams    map[string]*account
	hour     int64 // newest hour of the totals, counted from the Unix epoch
	changed  bool  // something ran since the last record
}

// account is the use of one team.
type account struct {
	running vector // amounts of its runs
	share   vector // running as shares of the capacity
	use     vector // average share, see Ledger.charge
	hours   [Hours]float64
	at      time.Time // up to which use and hours are charged
}

// vector is an amount of each resource that teams compete for: CPU, memory and accelerators.
type vector [3]float64

func toVector(r task.Resources) vector {
	return vector{float64(r.CPUMilli), float64(r.MemoryMB), float64(r.Accelerators)}
}

// dominant returns the largest component.
func (v vector) dominant() float64 { return max(v[0], v[1], v[2]) }

// TeamUse is the use of one team.
type TeamUse struct {
	Team      string
	Use       float64 // average share of the dominant resource, from 0 to 1
	HourTotal float64 // share of the capacity used in the current hour, times the seconds of the use
}

// New returns a ledger without teams. The half-life must be positive.
func New(halfLife time.Duration) *Ledger {
	return &Ledger{halfLife: halfLife, teams: make(map[string]*account)}
}

// SetCapacity sets the capacity to which the runs are relative from now on. A capacity of zero is
// ignored: while no worker can be used, the former capacity still is the best measure of the runs.
func (l *Ledger) SetCapacity(now time.Time, total task.Resources) {
	capacity := toVector(total)
	if capacity == l.capacity || capacity.dominant() <= 0 {
		return
	}
	for _, a := range l.teams {
		l.charge(now, a)
	}
	l.capacity = capacity
	for _, a := range l.teams {
		a.share = l.shareOf(a.running)
	}
}

// SetRunning sets the resources that the runs of a team use from now on.
func (l *Ledger) SetRunning(now time.Time, team string, running task.Resources) {
	a := l.teams[team]
	if a == nil {
		a = &account{at: now}
		l.teams[team] = a
	}
	l.charge(now, a)
	a.running = toVector(running)
	a.share = l.shareOf(a.running)
}

// shareOf returns amounts as shares of the capacity, at most 1: runs on workers that no longer accept
// tasks may exceed the capacity of the others.
func (l *Ledger) shareOf(running vector) (share vector) {
	for r, capacity := range l.capacity {
		if capacity > 0 {
			share[r] = min(1, max(0, running[r]/capacity))
		}
	}
	return share
}

// charge advances the use of a team to now. The use approaches the current share, and the difference
// halves with each half-life; in a steady state, it is the share itself.
func (l *Ledger) charge(now time.Time, a *account) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	retained := l.retained(elapsed)
	for r := range a.use {
		a.use[r] = a.share[r] + (a.use[r]-a.share[r])*retained
	}
	if current := a.share.dominant(); current > 0 {
		a.hours[0] += current * elapsed.Seconds()
		l.changed = true
	}
}

// retained returns the factor by which use has decayed after the given time.
func (l *Ledger) retained(elapsed time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(l.halfLife))
}

// Advance charges all teams up to now and begins a new hour if the time of day has reached it. Call it
// at least every few seconds: time is charged to the hour in which it began.
func (l *Ledger) Advance(now, wall time.Time) {
	for _, a := range l.teams {
		l.charge(now, a)
	}
	l.advanceHour(hourOf(wall))
}

// Hour returns the start of the current hour of the totals.
func (l *Ledger) Hour() time.Time { return time.Unix(l.hour*secondsPerHour, 0).UTC() }

const secondsPerHour = 3600

func hourOf(wall time.Time) int64 { return wall.Unix() / secondsPerHour }

// advanceHour begins a new hour. The newest hour stays if the time of day was set back.
func (l *Ledger) advanceHour(hour int64) {
	if hour <= l.hour {
		return
	}
	passed := hour - l.hour
	l.hour = hour
	for name, a := range l.teams {
		if passed >= Hours {
			a.hours = [Hours]float64{}
		} else {
			copy(a.hours[passed:], a.hours[:Hours-passed])
			clear(a.hours[:passed])
		}
		if a.running.dominant() <= 0 && a.use.dominant() < minKeptUse && a.hours == [Hours]float64{} {
			delete(l.teams, name)
		}
	}
}

// UseOf returns the use of a team at the given time.
func (l *Ledger) UseOf(now time.Time, team string) float64 {
	a := l.teams[team]
	if a == nil {
		return 0
	}
	l.charge(now, a)
	return a.use.dominant()
}

// Teams returns the use of all teams as of the last charge, sorted by name.
func (l *Ledger) Teams() []TeamUse {
	list := make([]TeamUse, 0, len(l.teams))
	for name, a := range l.teams {
		list = append(list, TeamUse{Team: name, Use: a.use.dominant(), HourTotal: a.hours[0]})
	}
	slices.SortFunc(list, func(x, y TeamUse) int { return cmp.Compare(x.Team, y.Team) })
	return list
}

// HasChanged reports whether something ran since the last record.
func (l *Ledger) HasChanged() bool { return l.changed }

// recordedNames returns the names of the teams for a record, sorted: all of them or, beyond
// maxRecordTeams, those with the highest use.
func (l *Ledger) recordedNames() []string {
	names := slices.DeleteFunc(slices.Collect(maps.Keys(l.teams)), func(name string) bool { return len(name) > maxNameBytes })
	if len(names) > maxRecordTeams {
		slices.SortFunc(names, func(x, y string) int {
			return cmp.Or(-cmp.Compare(l.teams[x].use.dominant(), l.teams[y].use.dominant()), cmp.Compare(x, y))
		})
		names = names[:maxRecordTeams]
	}
	slices.Sort(names)
	return names
}
