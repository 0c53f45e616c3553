package sleeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxClockDrift is the difference between the wall clock and the monotonic
// clock above which Suspended checks for a suspension. It exceeds the
// corrections of a clock that is synchronized by NTP.
const maxClockDrift = 100 * time.Millisecond

// totalSuspended is the total time that the VM has been suspended, in
// nanoseconds, as of the last lookup.
var totalSuspended atomic.Int64

// Timestamp is a point in time from which the suspension of the VM can be measured.
// Go's monotonic clock does not advance during a suspension, while the
// deadlines of callers keep running.
type Timestamp struct {
	at   time.Time
	wall time.Time
	// suspended is the total time that the VM had been suspended at this point.
	suspended time.Duration
}

// NewTimestamp returns a Timestamp for the current time.
func NewTimestamp() Timestamp {
	now := time.Now()
	return TimestampOf(now, now, time.Duration(totalSuspended.Load()))
}

// TimestampOf returns a Timestamp for the monotonic time at, the wall clock time wall and
// a total suspension of d up to then.
func TimestampOf(at, wall time.Time, d time.Duration) Timestamp {
	return Timestamp{at: at, wall: wall.Round(0), suspended: d}
}

// Suspended returns how long the VM has been suspended since m. It queries the
// kernel only if the wall clock has drifted from the monotonic clock.
func (m Timestamp) Suspended() time.Duration {
	now := time.Now()
	drift := now.Round(0).Sub(m.wall) - now.Sub(m.at)
	if m.at.IsZero() || drift.Abs() < maxClockDrift {
		return 0
	}
	return max(UpdateSuspension()-m.suspended, 0)
}

// UpdateSuspension reads the total time that the VM has been suspended from the
// kernel and stores it for NewTimestamp.
func UpdateSuspension() time.Duration {
	d := readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
	totalSuspended.Store(int64(d))
	return d
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
