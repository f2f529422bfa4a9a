package clock

import (
	"testing"
	"time"
)

// TestNowWithoutSuspension guards against a clock that runs at another rate than that of package time.
func TestNowWithoutSuspension(t *testing.T) {
	start, want := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if difference := Since(start) - time.Since(want); difference < -5*time.Millisecond || difference > 5*time.Millisecond {
		t.Errorf("the clocks differ by %s after 20 ms", difference)
	}
}

// TestSuspension guards against a suspension that is not counted, and against a step of the time of day or
// an inaccurate measurement that is taken for one.
func TestSuspension(t *testing.T) {
	for _, c := range []struct {
		name            string
		dayStep         time.Duration // of the time of day relative to the monotonic clock
		suspension      time.Duration // as measured
		wantSuspension  time.Duration
		wantMeasurement bool
	}{
		{"no change", 0, 0, 0, false},
		{"adjustment of the time of day", 100 * time.Microsecond, 0, 0, false},
		{"suspension", 4 * time.Second, 4 * time.Second, 4 * time.Second, true},
		{"step of the time of day", 2 * time.Second, 0, 0, true},
		{"step back", -2 * time.Second, 0, 0, true},
		{"inaccurate measurement", 2 * time.Second, 100 * time.Microsecond, 0, true},
	} {
		const beforeStart = time.Hour
		measurements, suspension := 0, beforeStart
		clock := newClock(time.Now(), func() time.Duration { measurements++; return suspension })
		suspension += c.suspension
		later := time.Now()
		clock.last.Store(&measurement{dayOffset: -c.dayStep})
		measurements = 0
		if got := clock.now(later).Sub(later); got != c.wantSuspension {
			t.Errorf("%s: the clock advances by %s, want %s", c.name, got, c.wantSuspension)
		}
		if (measurements > 0) != c.wantMeasurement {
			t.Errorf("%s: %d readings of the suspensions, want any: %v", c.name, measurements, c.wantMeasurement)
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}
