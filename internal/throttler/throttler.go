// Package throttler refuses requests at the entry for a short time after targets
// have refused requests of the same kind.
//
// Under heavy overload, mainly when many callers retry after an outage, each
// refusal by a target costs CPU time on several nodes and delays requests that
// are being served. The throttler lowers the number of offered requests as
// refusals grow. No slot stays idle as long as some offered requests are still
// refused.
package throttler

import (
	"sync"
	"time"
)

// maxPause limits how long requests are refused after a refusal. It equals the
// time for which a target that shed a call is avoided. The wait reported by the
// target is often shorter.
const maxPause = 100 * time.Millisecond

// Kind identifies requests that the targets of a service treat alike.
type Kind struct {
	Service string
	Class   string
	// Returning marks retries by callers that were refused before. They are
	// throttled separately, so that other requests take precedence.
	Returning bool
}

// Throttler tracks refusals by kind. Its zero value is ready to use.
type Throttler struct {
	mu          sync.Mutex
	pausedUntil map[Kind]time.Time
}

// Allow reports whether a request may be offered to targets. If not, it returns
// the time until one may be.
func (t *Throttler) Allow(k Kind, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.pausedUntil[k].Sub(now)
	return max(w, 0), w <= 0
}

// Refuse records that targets refused a request, and the wait they reported.
func (t *Throttler) Refuse(k Kind, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pausedUntil == nil {
		t.pausedUntil = make(map[Kind]time.Time)
	}
	t.pausedUntil[k] = now.Add(min(wait, maxPause))
}
