package sleeper

import (
	"sync/atomic"
	"time"
)

// Clock tells the time on the monotonic clock plus the time for which the VM was
// suspended, so that differences of its times are real ages. Steps of the wall clock do
// not change it.
type Clock struct {
	start Timestamp
	// suspended is the longest suspension seen, in nanoseconds. A step of the wall clock
	// can hide a suspension from start, and the clock must not go back.
	suspended atomic.Int64
}

// NewClock returns a clock that starts at the current time.
func NewClock() *Clock {
	return &Clock{start: NewTimestamp()}
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	d := int64(c.start.Suspended())
	for {
		o := c.suspended.Load()
		if d <= o {
			return time.Now().Add(time.Duration(o))
		}
		if c.suspended.CompareAndSwap(o, d) {
			return time.Now().Add(time.Duration(d))
		}
	}
}
