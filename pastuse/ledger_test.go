package pastuse

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/mulberrydrum/mulberrydrum/task"
)

var (
	origin   = time.Unix(1_700_000_000, 0) // 800 s after a full hour
	capacity = task.Resources{CPUMilli: 100_000, MemoryMB: 200_000, Accelerators: 10}
)

func cores(n int64) task.Resources { return task.Resources{CPUMilli: n * 1000} }

func newLedger() *Ledger {
	l := New(time.Hour)
	l.SetCapacity(origin, capacity)
	l.Advance(origin, origin)
	return l
}

func checkUse(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-5 {
		t.Errorf("%s: %.6f, want %.6f", what, got, want)
	}
}

// TestUse guards against use that depends on how often it is charged, that does not decay, or that
// follows another resource than the dominant one.
func TestUse(t *testing.T) {
	l, now := newLedger(), origin
	l.SetRunning(now, "a", task.Resources{CPUMilli: 10_000, MemoryMB: 160_000, Accelerators: 1})
	l.SetRunning(now, "b", task.Resources{CPUMilli: 10_000, MemoryMB: 160_000, Accelerators: 1})
	for range 3600 {
		now = now.Add(time.Second)
		l.UseOf(now, "a")
	}
	checkUse(t, "after one half-life", l.UseOf(now, "a"), 0.4)
	checkUse(t, "charged once", l.UseOf(now, "b"), 0.4)
	l.SetRunning(now, "a", task.Resources{})
	now = now.Add(2 * time.Hour)
	checkUse(t, "two half-lives after its end", l.UseOf(now, "a"), 0.1)
	checkUse(t, "time that does not pass", l.UseOf(now.Add(-time.Hour), "a"), 0.1)
}

// TestCapacity guards against runs that are charged at the capacity of another time, against shares above
// 1, and against use that vanishes while no worker can be used.
func TestCapacity(t *testing.T) {
	l, now := newLedger(), origin
	l.SetRunning(now, "a", cores(20))
	now = now.Add(100 * time.Second)
	l.SetCapacity(now, task.Resources{CPUMilli: 40_000})
	now = now.Add(100 * time.Second)
	l.SetCapacity(now, task.Resources{})
	now = now.Add(100 * time.Second)
	l.SetCapacity(now, task.Resources{CPUMilli: 10_000})
	now = now.Add(100 * time.Second)
	l.Advance(now, now)
	checkUse(t, "total", l.Teams()[0].HourTotal, 100*0.2+200*0.5+100)
}

// TestHours guards against hourly totals that are charged to a wrong hour, lost when the time of day is
// set back, or kept for longer than Hours; and against teams that are never forgotten.
func TestHours(t *testing.T) {
	l, now := newLedger(), origin
	l.SetRunning(now, "a", cores(50))
	l.SetRunning(now, "b", cores(50))
	advance := func(d time.Duration, offset time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			l.Advance(now, now.Add(offset))
		}
	}
	advance(2900*time.Second, 0) // 100 s into the next hour
	l.SetRunning(now, "b", task.Resources{})
	advance(100*time.Second, -200*time.Second)
	a := l.teams["a"].hours
	checkUse(t, "current hour", a[0], 100)
	checkUse(t, "previous hour", a[1], 1400)
	advance(2*time.Hour, 0)
	a = l.teams["a"].hours
	checkUse(t, "two hours later", a[3], 1400)
	checkUse(t, "a full hour", a[1], 1800)
	l.SetRunning(now, "a", task.Resources{})
	for range 2 {
		now = now.Add(10 * time.Hour)
		l.Advance(now, now)
	}
	if len(l.Teams()) != 2 {
		t.Errorf("%d teams within the kept hours, want 2", len(l.Teams()))
	}
	now = now.Add(Hours * time.Hour)
	l.Advance(now, now)
	if len(l.Teams()) != 0 {
		t.Errorf("%d teams %d hours after their last run, want 0", len(l.Teams()), Hours)
	}
}

// TestRecord guards against a record that loses use, that does not decay while there is no owner, or that
// counts the time of day of an owner whose clock is ahead.
func TestRecord(t *testing.T) {
	for _, c := range []struct {
		name     string
		later    time.Duration // time of day of the new owner, relative to that of the record
		retained float64
	}{
		{"at once", 0, 1},
		{"clock behind", -MaxClockSkew, 1},
		{"an hour later", time.Hour, 0.5},
		{"a month later", 30 * 24 * time.Hour, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			l.SetRunning(origin, "a", cores(80))
			now := origin.Add(600 * time.Second)
			record := l.Record(now, now)
			if l.HasChanged() {
				t.Error("the ledger has changed since the record although nothing was charged")
			}
			text, err := json.Marshal(record)
			if err != nil {
				t.Fatal(err)
			}
			decoded := new(Record)
			if err := json.Unmarshal(text, decoded); err != nil {
				t.Fatal(err)
			}
			next := New(time.Hour)
			// The monotonic clock of another machine has nothing in common with that of the former owner.
			monotonic := time.Unix(50, 0)
			if err := next.Restore(monotonic, now.Add(c.later), decoded); err != nil {
				t.Fatal(err)
			}
			checkUse(t, "use", next.UseOf(monotonic, "a"), l.UseOf(now, "a")*c.retained)
			total := 0.0
			if a := next.teams["a"]; a != nil {
				for _, hour := range a.hours {
					total += hour
				}
			}
			want := 480.0
			if c.later > Hours*time.Hour {
				want = 0
			}
			checkUse(t, "hourly totals", total, want)
		})
	}
}

// TestRecordSize guards against a record that grows with the number of teams until the store rejects it,
// and against a limit that drops the teams with the highest use.
func TestRecordSize(t *testing.T) {
	l, now := newLedger(), origin
	name := func(i int) string {
		return strings.Repeat("x", maxNameBytes-3) + string([]byte{byte('a' + i/100), byte('a' + i/10%10), byte('a' + i%10)})
	}
	const teams = 3 * maxRecordTeams
	for i := range teams {
		l.SetRunning(now, name(i), task.Resources{CPUMilli: int64(100 * (i + 1)), MemoryMB: int64(200 * (i + 1)), Accelerators: 10})
	}
	l.SetRunning(now, strings.Repeat("y", maxNameBytes+1), cores(100))
	for range Hours {
		now = now.Add(time.Hour)
		l.Advance(now, now)
	}
	record := l.Record(now, now)
	text, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > MaxRecordBytes || len(record.Teams) != maxRecordTeams {
		t.Errorf("%d bytes for %d teams, want at most %d for %d", len(text), len(record.Teams), MaxRecordBytes, maxRecordTeams)
	}
	if err := New(time.Hour).Restore(now, now, record); err != nil {
		t.Errorf("the record is rejected: %v", err)
	}
	t.Logf("%d bytes", len(text))
}

// TestBadRecord guards against a record that stops the owner or distorts the order of work because it is
// of another version, out of range, or of a wrong clock.
func TestBadRecord(t *testing.T) {
	wall := origin
	for _, c := range []struct{ name, text, why string }{
		{"empty", `{}`, "version"},
		{"null", `null`, "version"},
		{"newer version", `{"v":2,"at":1700000000000,"hour":472222}`, "version 2"},
		{"without a time", `{"v":1,"hour":472222}`, "positive"},
		{"in the future", `{"v":1,"at":1700000010001,"hour":472222}`, "future"},
		{"far in the future", `{"v":1,"at":9223372036854775807,"hour":472222}`, "future"},
		{"hour in the future", `{"v":1,"at":1700000000000,"hour":472223}`, "hour"},
		{"negative hour", `{"v":1,"at":1700000000000,"hour":-1}`, "hour"},
		{"negative use", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[0,-1,0]}]}`, "use -1"},
		{"huge use", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[0,0,1000001]}]}`, "use 1000001"},
		{"negative total", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[0,0,0],"h":[-1]}]}`, "total -1"},
		{"huge total", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[0,0,0],"h":[99999999]}]}`, "total 99999999"},
		{"too many hours", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[0,0,0],"h":[` + strings.Repeat("1,", Hours) + `1]}]}`, "25 hours"},
		{"team twice", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"a","u":[1,0,0]},{"t":"a","u":[1,0,0]}]}`, "follows"},
		{"unsorted", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"b","u":[1,0,0]},{"t":"a","u":[1,0,0]}]}`, "follows"},
		{"long name", `{"v":1,"at":1700000000000,"hour":472222,"teams":[{"t":"` + strings.Repeat("a", maxNameBytes+1) + `","u":[1,0,0]}]}`, "bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := new(Record)
			if err := json.Unmarshal([]byte(c.text), record); err != nil {
				t.Fatal(err)
			}
			l := newLedger()
			l.SetRunning(origin, "z", cores(50))
			err := l.Restore(origin, wall, record)
			if err == nil || !strings.Contains(err.Error(), c.why) {
				t.Errorf("error %v, want one about %q", err, c.why)
			}
			if len(l.teams) != 1 {
				t.Errorf("%d teams after a rejected record, want 1", len(l.teams))
			}
		})
	}
}
