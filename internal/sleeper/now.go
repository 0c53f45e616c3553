package sleeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time on a clock that also advances while the VM is suspended.
// Only the difference of two such times has a meaning.
//
// The clocks are read in an order in which the result lies between the begin and the end
// of the call, wherever the process is paused or the VM suspended in between.
func Now() time.Time {
	now := time.Now()
	awake := readClock(unix.CLOCK_MONOTONIC)
	return now.Add(readClock(unix.CLOCK_BOOTTIME) - awake)
}
