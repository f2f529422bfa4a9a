package pastuse

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// Version is the version of the records that this package writes and reads.
const Version = 1

// Limits of a record. Its encoded size stays below MaxRecordBytes: a team takes at most 60 bytes for
// its use and 170 for its hours, beside its name.
const (
	MaxRecordBytes = 128 << 10
	maxRecordTeams = 256
	maxNameBytes   = 128
	maxHourTotal   = 2 * secondsPerHour * hourScale // an hour takes longer while the time of day is set back
)

// MaxClockSkew is the maximum difference between the times of day of two owners. A record that is
// further in the future is not used.
const MaxClockSkew = 10 * time.Second

// Scales of the numbers in a record, which are integers.
const (
	useScale  = 1e6 // of an average share
	hourScale = 10  // of the seconds in an hourly total
)

// Record is the stored form of a ledger.
type Record struct {
	Version int          `json:"v"`
	At      int64        `json:"at"`   // time of day of the owner in milliseconds since the Unix epoch
	Hour    int64        `json:"hour"` // newest hour of the totals, counted from the Unix epoch
	Teams   []TeamRecord `json:"teams"`
}

// TeamRecord is the stored use of one team.
type TeamRecord struct {
	Team  string   `json:"t"`
	Use   [3]int64 `json:"u"`           // average shares of CPU, memory and accelerators
	Hours []int64  `json:"h,omitempty"` // totals of the hours, newest first, without the zeros at the end
}

// Record charges all teams up to now and returns the ledger as a record.
func (l *Ledger) Record(now, wall time.Time) *Record {
	l.Advance(now, wall)
	l.changed = false
	r := &Record{Version: Version, At: wall.UnixMilli(), Hour: l.hour}
	for _, name := range l.recordedNames() {
		a := l.teams[name]
		stored := TeamRecord{Team: name}
		for i, share := range a.use {
			stored.Use[i] = int64(math.Round(share * useScale))
		}
		for i, total := range a.hours {
			if units := min(maxHourTotal, int64(math.Round(total*hourScale))); units > 0 {
				stored.Hours = append(stored.Hours, make([]int64, i-len(stored.Hours))...)
				stored.Hours = append(stored.Hours, units)
			}
		}
		if stored.Use != [3]int64{} || len(stored.Hours) > 0 {
			r.Teams = append(r.Teams, stored)
		}
	}
	return r
}

// check returns an error if a record was not written by this version or is out of range. The order of
// the teams excludes duplicates.
func (r *Record) check(wall time.Time) error {
	switch {
	case r.Version != Version:
		return eris.Errorf("version %d, only version %d is known", r.Version, Version)
	case r.At <= 0:
		return eris.Errorf("time %d, it must be positive", r.At)
	case r.At > wall.Add(MaxClockSkew).UnixMilli():
		return eris.Errorf("time %d is %d ms in the future, at most %d are allowed", r.At, r.At-wall.UnixMilli(), MaxClockSkew.Milliseconds())
	case r.Hour < 0 || r.Hour > hourOf(wall.Add(MaxClockSkew)):
		return eris.Errorf("hour %d is not between 0 and the current hour %d", r.Hour, hourOf(wall))
	case len(r.Teams) > maxRecordTeams:
		return eris.Errorf("%d teams, at most %d are allowed", len(r.Teams), maxRecordTeams)
	}
	for i := range r.Teams {
		t := &r.Teams[i]
		if i > 0 && t.Team <= r.Teams[i-1].Team {
			return eris.Errorf("team %.40q follows team %.40q", t.Team, r.Teams[i-1].Team)
		}
		if err := t.check(); err != nil {
			return eris.Wrapf(err, "team %.40q", t.Team)
		}
	}
	return nil
}

func (t *TeamRecord) check() error {
	if len(t.Team) > maxNameBytes {
		return eris.Errorf("the name has %d bytes, at most %d are allowed", len(t.Team), maxNameBytes)
	}
	for _, units := range t.Use {
		if units < 0 || units > useScale {
			return eris.Errorf("use %d is not between 0 and %d", units, int64(useScale))
		}
	}
	if len(t.Hours) > Hours {
		return eris.Errorf("%d hours, at most %d are allowed", len(t.Hours), Hours)
	}
	for _, units := range t.Hours {
		if units < 0 || units > maxHourTotal {
			return eris.Errorf("hourly total %d is not between 0 and %d", units, int64(maxHourTotal))
		}
	}
	return nil
}

// Restore replaces the contents of the ledger by those of a record of a former owner, decayed by the
// time since the record. It returns an error, and changes nothing, if the record cannot be used.
func (l *Ledger) Restore(now, wall time.Time, r *Record) error {
	if err := r.check(wall); err != nil {
		return err
	}
	retained := l.retained(max(0, wall.Sub(time.UnixMilli(r.At))))
	l.teams = make(map[string]*account, len(r.Teams))
	l.hour = r.Hour
	for _, stored := range r.Teams {
		a := &account{at: now}
		for i, units := range stored.Use {
			a.use[i] = float64(units) / useScale * retained
		}
		for i, units := range stored.Hours {
			a.hours[i] = float64(units) / hourScale
		}
		l.teams[stored.Team] = a
	}
	l.advanceHour(hourOf(wall))
	return nil
}
