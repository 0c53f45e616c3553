// Package limiter limits the rate of events.
package limiter

import (
	"sync"
	"time"
)

// Bucket is a token bucket. Its zero value admits nothing.
type Bucket struct {
	mu         sync.Mutex
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a full bucket that refills at perSecond tokens per second.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{rate: perSecond, burst: burst, tokens: burst}
}

// Take spends one token. It returns false if none is available at now.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Spend takes n tokens and may leave the balance negative. It is for events whose
// cost is known only after Take has admitted them.
func (b *Bucket) Spend(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= n
}
