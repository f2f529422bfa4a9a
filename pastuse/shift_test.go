package pastuse

import (
	"math"
	"testing"
	"time"
)

const maxShift = 3500 * time.Millisecond

// TestCompare guards against shifts that exceed their bound, that ignore the weight, that grow without
// use, or that hide the difference between heavy teams behind one without use.
func TestCompare(t *testing.T) {
	octave := maxShift / 3
	for _, c := range []struct {
		name    string
		teams   int
		entries []Entry
		want    []time.Duration
	}{
		{"alone", 2, []Entry{{Use: 1, Weight: 1}}, []time.Duration{0}},
		{"equal", 2, []Entry{{Use: 0.4, Weight: 1}, {Use: 0.4, Weight: 1}}, []time.Duration{0, 0}},
		{"twice", 2, []Entry{{Use: 0.4, Weight: 3}, {Use: 0.2, Weight: 3}}, []time.Duration{octave, 0}},
		{"in proportion to the weight", 2, []Entry{{Use: 0.6, Weight: 300}, {Use: 0.2, Weight: 100}}, []time.Duration{0, 0}},
		{"twice by weight", 2, []Entry{{Use: 0.4, Weight: 1}, {Use: 0.4, Weight: 2}}, []time.Duration{octave, 0}},
		{"both with little use", 2, []Entry{{Use: 0.1, Weight: 1}, {Use: 0.0001, Weight: 1}}, []time.Duration{0, 0}},
		{"returning team", 2, []Entry{{Use: 0.5, Weight: 1}, {Use: 0, Weight: 1}}, []time.Duration{2 * octave, 0}},
		{"at most", 100, []Entry{{Use: 1, Weight: 1}, {Use: 0, Weight: 1}}, []time.Duration{maxShift, 0}},
		{"heavy teams beside one without use", 100, []Entry{{Use: 0.4, Weight: 1}, {Use: 0.2, Weight: 1}, {Use: 0, Weight: 1}}, []time.Duration{maxShift, maxShift - octave, 0}},
		{"no weight", 2, []Entry{{Use: 0.4, Weight: 0}, {Use: 0.4, Weight: 2}, {Use: 0.4, Weight: 1}}, []time.Duration{octave, 0, octave}},
		{"bad weights", 2, []Entry{{Use: 0.4, Weight: math.NaN()}, {Use: 0.2, Weight: math.Inf(1)}, {Use: 0.2, Weight: -1}}, []time.Duration{octave, 0, 0}},
		{"no teams configured", 0, []Entry{{Use: 1, Weight: 0}, {Use: 0, Weight: 0}}, []time.Duration{2 * octave, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			Compare(c.entries, c.teams, maxShift)
			for i, e := range c.entries {
				if (e.Shift - c.want[i]).Abs() > time.Millisecond {
					t.Errorf("entry %d has the shift %s, want %s", i, e.Shift, c.want[i])
				}
			}
		})
	}
}
