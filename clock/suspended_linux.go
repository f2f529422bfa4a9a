package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long the machine has been suspended since it was booted.
func suspended() time.Duration {
	// The thread may lose the processor between the readings, which are then repeated.
	const (
		maxAttempts = 10
		maxDuration = 100 * time.Microsecond
	)
	var result time.Duration
	for attempt := range maxAttempts {
		before := read(unix.CLOCK_MONOTONIC)
		boot := read(unix.CLOCK_BOOTTIME)
		after := read(unix.CLOCK_MONOTONIC)
		// The lower bound of each measurement; the highest one is the most accurate.
		if s := boot - after; attempt == 0 || s > result {
			result = s
		}
		if after-before <= maxDuration {
			break
		}
	}
	return result
}

func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0 // both clocks exist in all kernels that Go supports
	}
	return time.Duration(t.Nano())
}
