// Package sleeper waits on the runtime's clock.
package sleeper

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and reports whether ctx is still alive.
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

// Backoff is a delay that doubles up to a bound. Its zero value never waits.
type Backoff struct {
	// First is the delay after the first failure, and Max bounds all of them.
	First time.Duration
	Max   time.Duration

	next time.Duration
}

// Sleep waits for a random part, at least half, of the current delay, doubles
// it, and reports whether ctx is still alive.
func (b *Backoff) Sleep(ctx context.Context) bool {
	d := max(b.next, b.First)
	b.next = min(2*d, b.Max)
	return Sleep(ctx, d/2+time.Duration(rand.Int64N(int64(d/2)+1)))
}

// Reset returns to the first delay.
func (b *Backoff) Reset() {
	b.next = 0
}
