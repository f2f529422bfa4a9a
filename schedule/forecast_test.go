package schedule

import (
	"testing"
	"time"
)

// TestExpect guards against rejections of jobs that could still be of use, and against the admission of
// jobs that could not, as far as they follow from the inputs of a forecast. The supply is 100 units.
func TestExpect(t *testing.T) {
	base := func() *forecastInput {
		in := &forecastInput{service: &supply{total: amounts{100}}, objective: 5 * time.Second, chain: 2 * time.Second, ownWork: amounts{40}}
		in.service.release(0, amounts{100})
		return in
	}
	for _, c := range []struct {
		name     string
		change   func(*forecastInput)
		hopeless bool
		start    time.Duration // with a tolerance of forecastInterval
	}{
		{"idle", func(*forecastInput) {}, false, 0},
		{"short backlog", func(in *forecastInput) { in.ahead.work = amounts{500} }, false, 5 * time.Second},
		{"long backlog", func(in *forecastInput) { in.ahead.work = amounts{2000} }, true, 20 * time.Second},
		{"long backlog, workers free", func(in *forecastInput) { in.ahead.work, in.freeNow = amounts{2000}, true }, false, 0},
		{"late work behind", func(in *forecastInput) { in.ahead.work, in.lateAhead.work = amounts{300}, amounts{5000} }, false, 3 * time.Second},
		{"late, behind other late work", func(in *forecastInput) { in.ahead.work, in.lateAhead.work = amounts{600}, amounts{5000} }, true, 56 * time.Second},
		{"future arrivals while on time", func(in *forecastInput) { in.ahead.work, in.inflow = amounts{300}, amounts{90} }, false, 3 * time.Second},
		{"future arrivals of urgent queues", func(in *forecastInput) {
			in.ahead.work, in.inflow, in.urgentInflow = amounts{300}, amounts{90}, amounts{90}
		}, true, 30 * time.Second},
		{"surplus, future arrivals", func(in *forecastInput) { in.ahead.work, in.inflow, in.surplus = amounts{300}, amounts{90}, true }, true, 30 * time.Second},
		{"work ahead becomes late", func(in *forecastInput) {
			in.objective, in.chain = 60*time.Second, 30*time.Second
			in.ahead = aheadWork{amounts{5000}, amounts{4900}, 5 * time.Second}
		}, false, 6 * time.Second},
		{"work ahead becomes late, but so does the job", func(in *forecastInput) {
			in.ahead = aheadWork{amounts{1000}, amounts{500}, 2 * time.Second}
			in.lateAhead.work = amounts{1200}
		}, true, 19 * time.Second},
		{"team at its limit", func(in *forecastInput) {
			in.team, in.teamAhead.work = &supply{total: amounts{10}, free: amounts{10}}, amounts{200}
		}, true, 20 * time.Second},
		{"own work too large", func(in *forecastInput) { in.ownWork = amounts{3000} }, true, 0},
		{"advice calls ahead", func(in *forecastInput) { in.adviceWait = 30 * time.Second }, true, 30 * time.Second},
		{"run ends early enough for a gang", func(in *forecastInput) {
			in.service = &supply{total: amounts{100}, free: amounts{60}}
			in.service.release(4*time.Second, amounts{40})
			in.firstSize = amounts{90}
		}, false, 4 * time.Second},
		{"run ends too late for a gang", func(in *forecastInput) {
			in.service = &supply{total: amounts{100}, free: amounts{60}}
			in.service.release(20*time.Second, amounts{40})
			in.firstSize = amounts{90}
		}, true, 20 * time.Second},
		{"no usable worker", func(in *forecastInput) { in.service, in.ahead.work = &supply{}, amounts{2000} }, false, 0},
	} {
		in := base()
		c.change(in)
		f := expect(in)
		if f.hopeless != c.hopeless {
			t.Errorf("%s: hopeless is %v, want %v: %+v", c.name, f.hopeless, c.hopeless, f)
		}
		if (f.start - c.start).Abs() > forecastInterval {
			t.Errorf("%s: starts after %s, want %s", c.name, f.start, c.start)
		}
		if f.hopeless && f.excess <= 0 {
			t.Errorf("%s: no time until there is room", c.name)
		}
	}
}
