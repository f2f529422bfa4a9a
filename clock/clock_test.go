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

// TestAddSuspension guards against a suspension that is not counted, and against steps of the clock by
// inaccurate measurements.
func TestAddSuspension(t *testing.T) {
	now := time.Now()
	for suspension, want := range map[time.Duration]time.Duration{
		0: 0, -100 * time.Microsecond: 0, 100 * time.Microsecond: 0, 4 * time.Second: 4 * time.Second,
	} {
		if got := add(now, suspension).Sub(now); got != want {
			t.Errorf("suspended for %s: the clock advances by %s, want %s", suspension, got, want)
		}
	}
}
