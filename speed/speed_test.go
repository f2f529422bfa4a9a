package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestProgressOfResumedRun guards against a duration that includes the pause in which a checkpoint is
// restored or the work before it, and against later pauses.
func TestProgressOfResumedRun(t *testing.T) {
	var p Progress
	for _, report := range []struct{ at, percent int }{
		{100, 40}, {1000, 40}, {1900, 45}, {2400, 50}, {2900, 55}, // restored at about 1.4 s, then 10% per second
		{3900, 55}, {4900, 55}, // a pause
		{5400, 60}, {6400, 70}, {7400, 80},
	} {
		p.Report(report.percent, time.Duration(report.at)*time.Millisecond)
	}
	if work, ok := p.Work(); !ok || (work-10*time.Second).Abs() > 500*time.Millisecond {
		t.Errorf("the work takes %s, known %v, want 10s", work, ok)
	}
	if left, ok := p.Remaining(7900 * time.Millisecond); !ok || (left-1500*time.Millisecond).Abs() > 200*time.Millisecond {
		t.Errorf("the remaining time is %s, known %v, want 1.5s", left, ok)
	}
}

// TestProgressIgnoresGarbage guards against reports out of range, of the past or repeated.
func TestProgressIgnoresGarbage(t *testing.T) {
	p := StartedAt(time.Second)
	p.Report(20, 2*time.Second)
	p.Report(40, 3*time.Second)
	want := p
	for _, garbage := range []struct {
		percent int
		at      time.Duration
	}{{101, 4 * time.Second}, {-1, 4 * time.Second}, {math.MinInt, 4 * time.Second}, {60, 2 * time.Second}, {40, 3 * time.Second}, {30, 4 * time.Second}, {50, -time.Hour}} {
		if p.Report(garbage.percent, garbage.at); p != want {
			t.Errorf("report of %d%% at %s is not ignored: %+v", garbage.percent, garbage.at, p)
		}
	}
	if p.EndedAt(4*time.Second, time.Second); p != want {
		t.Errorf("an end of which the time is hardly known is not ignored: %+v", p)
	}
}

// TestSpeedsOfCohorts guards against speeds that follow outliers, the order of the ends or the common
// drift of all speeds, and against speeds without evidence.
func TestSpeedsOfCohorts(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	actual := []float64{0.8, 1, 1.25, 0.8, 1, 1.25, 0.8, 1, 1.25, 0.3}
	workers := make([]Worker, len(actual))
	var fleet Fleet
	if v := workers[0].Speed(&fleet); v != 1 {
		t.Errorf("speed %.2f without evidence, want 1", v)
	}
	for range 60 {
		var h Cohort
		mean := 500 + rng.Float64()*5000
		for range 8 {
			i := rng.IntN(len(actual))
			work := mean * (0.85 + 0.3*rng.Float64())
			if rng.IntN(20) == 0 {
				work *= 3
			}
			h.Add(fmt.Sprint(i), &workers[i], time.Duration(work/actual[i]*float64(time.Millisecond)), &fleet)
		}
		h.Evaluate(&fleet)
		for i := range workers {
			fleet.Add(&workers[i])
		}
		fleet.Update()
	}
	mean := 0.0
	for _, v := range actual {
		mean += math.Log(v) / float64(len(actual))
	}
	for i := range workers {
		want := actual[i] / math.Exp(mean)
		if v := workers[i].Speed(&fleet); v < 0.88*want || v > 1.12*want {
			t.Errorf("speed %.2f of worker %d, want %.2f", v, i, want)
		}
	}
}

// TestSpeedIsBounded guards against absurd speeds after absurd durations.
func TestSpeedIsBounded(t *testing.T) {
	var fleet Fleet
	var slow, fast Worker
	for range 10 {
		for _, relative := range []float64{0, -1, math.NaN(), math.Inf(1)} {
			slow.add(relative)
		}
		slow.add(1e-9)
		fast.add(1e9)
	}
	if slow.Speed(&fleet) != MinSpeed || fast.Speed(&fleet) != MaxSpeed {
		t.Errorf("speeds %f and %f, want %f and %f", slow.Speed(&fleet), fast.Speed(&fleet), MinSpeed, MaxSpeed)
	}
}

// TestCorrections guards against corrections that follow the one run in twenty that takes three times as
// long, that apply without evidence, that exceed their bounds, or that need unbounded memory.
func TestCorrections(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	var c Corrections
	for i := range 400 {
		work := 2000 * (0.8 + 0.4*rng.Float64())
		if i%20 == 0 {
			work *= 3
		}
		c.Add("q", time.Second, time.Duration(work)*time.Millisecond)
		if factor := c.Factor("q", time.Second); i < minCorrected-1 && factor != 1 {
			t.Errorf("correction %.2f after %d runs", factor, i+1)
		} else if i >= 40 && (factor < 1.75 || factor > 2.25) {
			t.Errorf("correction %.2f after %d runs, want 2", factor, i+1)
		}
	}
	if factor := c.Factor("q", 100*time.Millisecond); factor != 1 {
		t.Errorf("correction %.2f of another size", factor)
	}
	for range 1000 {
		c.Add("absurd", time.Millisecond, time.Hour)
	}
	if factor := c.Factor("absurd", time.Millisecond); factor != MaxCorrection {
		t.Errorf("correction %.2f, want at most %.2f", factor, MaxCorrection)
	}
	for i := range 10 * maxClasses {
		c.Add(fmt.Sprint("queue", i), time.Second, time.Second)
	}
	if len(c.classes) > maxClasses {
		t.Errorf("%d corrections are kept, want at most %d", len(c.classes), maxClasses)
	}
}

// TestPace guards against a worker that stays degraded when it has no runs, or is slow for good, and against
// a long task, a single slow run or a mixture of new and old runs that hide or feign a fall.
func TestPace(t *testing.T) {
	type run struct {
		from, to time.Duration // reports
		rates    [2]float64    // before and after 10 s, in points per second
	}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for _, test := range []struct {
		name string
		runs []run
		want string
	}{
		{"steady", []run{{second(1), second(30), [2]float64{2, 2}}}, "[]"},
		{"no runs remain", []run{{second(1), second(14), [2]float64{8, 1.6}}, {second(1), second(14), [2]float64{6, 1.2}}}, "[12s degraded 17s idle]"},
		{"slow for good", []run{{second(1), second(60), [2]float64{6, 1.2}}}, "[12s degraded 42s accepted]"},
		{"new runs among old ones", []run{
			{second(1), second(30), [2]float64{6, 1.2}}, {second(10), second(30), [2]float64{60, 12}},
			{second(10), second(30), [2]float64{60, 12}}, {second(10), second(30), [2]float64{60, 12}},
		}, "[12s degraded"},
		{"a slow run among others", []run{{second(1), second(30), [2]float64{3, 0.3}}, {second(1), second(30), [2]float64{3, 3}}, {second(1), second(30), [2]float64{3, 3}}}, "[]"},
	} {
		var w Worker
		var changes []string
		progress := make([]Progress, len(test.runs))
		for at := time.Second; at < 50*time.Second; at += time.Second {
			var change Change
			for i, r := range test.runs {
				if at == r.from {
					progress[i] = StartedAt(at)
				} else if at > r.from && at < r.to {
					before, after := min(at, second(10))-min(r.from, second(10)), max(at, second(10))-max(r.from, second(10))
					w.Observe(&progress[i], int(r.rates[0]*before.Seconds()+r.rates[1]*after.Seconds()), at, 0)
				}
			}
			change = w.CloseWindow(at)
			for i := range progress {
				switch change {
				case Suspected, Degraded:
					progress[i].Distrust(at)
				case Accepted:
					progress[i].Reset()
				}
			}
			if change > Suspected {
				changes = append(changes, fmt.Sprint(at, " ", change))
			}
		}
		if got := fmt.Sprint(changes); !strings.HasPrefix(got, test.want) {
			t.Errorf("%s: changes %s, want %s", test.name, got, test.want)
		}
	}
}

// TestWaitingGangMembers guards against a worker that counts as degraded because members of a gang have
// finished there and wait for the others.
func TestWaitingGangMembers(t *testing.T) {
	for rate, want := range map[int]Change{20: Unchanged, 4: Degraded} {
		var w Worker
		for range minSamples {
			w.add(1)
		}
		members, last := []Progress{StartedAt(time.Second), StartedAt(time.Second)}, Unchanged
		for n := 1; n < 20; n++ {
			at := time.Duration(1+n) * time.Second
			for i := range members {
				w.Compare(&members[i], min(100, rate*n), at, 5*time.Second)
			}
			if change := w.CloseWindow(at); change > Suspected {
				last = change
			}
		}
		if last != want {
			t.Errorf("at %d%% per second, the last change is %s, want %s", rate, last, want)
		}
	}
}
