// Package limiter bounds the rate of events.
package limiter

import (
	"sync"
	"time"
)

// Bucket admits events up to a rate with a burst (a token bucket). Its zero
// value admits nothing.
type Bucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewBucket returns a full bucket for a rate in events per second.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{rate: perSecond, burst: burst, tokens: burst}
}

// Take spends one token if there is one at now.
func (b *Bucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Spend takes n tokens, which may leave the bucket in debt. It is for events
// whose cost is known only after Take has admitted them.
func (b *Bucket) Spend(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= n
}
