// Package sleeper provides cancellable sleeps, exponential backoff and the
// detection of VM suspensions.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Backoff is an exponential backoff with jitter. The zero value does not wait.
type Backoff struct {
	// First is the delay after the first failure, and Max is the upper limit of
	// the delay.
	First time.Duration
	Max   time.Duration

	next time.Duration
}

// Sleep waits for a random duration between half and all of the current delay,
// and doubles the delay. It returns false as soon as ctx is done.
func (b *Backoff) Sleep(ctx context.Context) bool {
	d := max(b.next, b.First)
	b.next = min(2*d, b.Max)
	return Sleep(ctx, d/2+time.Duration(rand.Int64N(int64(d/2)+1)))
}

// Reset restores the initial delay.
func (b *Backoff) Reset() {
	b.next = 0
}
