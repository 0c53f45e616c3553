package sleeper

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// driftBound is how far the time of day may run from the runtime's clock before a
// suspension is looked for: above what a disciplined clock is corrected by.
const driftBound = 100 * time.Millisecond

// suspended is how long the VM had been suspended when that was looked up last.
var suspended atomic.Int64

// Mark is a moment. It tells how long the VM was suspended since, time that the
// runtime's clock does not count though the deadlines of callers run on.
type Mark struct {
	at   time.Time
	wall time.Time
	// suspended is for how long the VM had been suspended by then.
	suspended time.Duration
}

// NewMark returns the present moment.
func NewMark() Mark {
	now := time.Now()
	return MarkOf(now, now, time.Duration(suspended.Load()))
}

// MarkOf returns the moment at on the runtime's clock, when the time of day was
// wall and the VM had been suspended for d.
func MarkOf(at, wall time.Time, d time.Duration) Mark {
	return Mark{at: at, wall: wall.Round(0), suspended: d}
}

// Suspended returns for how long the VM was suspended since m. The kernel is asked
// only where the time of day has run away from the runtime's clock.
func (m Mark) Suspended() time.Duration {
	now := time.Now()
	drift := now.Round(0).Sub(m.wall) - now.Sub(m.at)
	if m.at.IsZero() || drift.Abs() < driftBound {
		return 0
	}
	return max(NoteSuspension()-m.suspended, 0)
}

// NoteSuspension looks up for how long the VM has been suspended in all.
func NoteSuspension() time.Duration {
	d := clock(unix.CLOCK_BOOTTIME) - clock(unix.CLOCK_MONOTONIC)
	suspended.Store(int64(d))
	return d
}

func clock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
