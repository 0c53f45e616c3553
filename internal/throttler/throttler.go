// Package throttler refuses requests where they enter, for a moment after
// targets have refused others of their kind.
//
// It answers heavy overload, above all when callers return after an outage: a
// refusal by targets costs the processors of several nodes time that serving
// needs, so that asking on behalf of each request delays the answers of others.
// The more requests are refused, the fewer are offered; as long as some offers
// are refused, no slot is left idle.
package throttler

import (
	"sync"
	"time"
)

// maxPause is how long requests are refused after one was refused by targets:
// as long as a target that has shed a call is avoided. The wait that the target
// tells is often shorter.
const maxPause = 100 * time.Millisecond

// Kind is a kind of requests that the targets of a service treat alike.
type Kind struct {
	Service string
	Class   string
	// Returning requests have been refused before, and give way to others.
	Returning bool
}

// Throttler remembers refusals. Its zero value has seen none.
type Throttler struct {
	mu     sync.Mutex
	paused map[Kind]time.Time
}

// Allow reports whether a request may be offered to targets, and otherwise how
// long it will be until one may.
func (t *Throttler) Allow(k Kind, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paused[k].Sub(now)
	return max(w, 0), w <= 0
}

// Refuse notes that targets refused a request, and the wait that they told.
func (t *Throttler) Refuse(k Kind, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused == nil {
		t.paused = make(map[Kind]time.Time)
	}
	t.paused[k] = now.Add(min(wait, maxPause))
}
