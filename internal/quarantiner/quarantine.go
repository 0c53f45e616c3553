// Package quarantiner detects requests that crash the targets that run them, and
// blocks equal requests.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// Threshold is the score at which a request is refused. A crash scores one if
	// the request ran alone. It scores half if other requests ran at the same time,
	// since most of those did not cause it.
	Threshold   = 2.0
	aloneScore  = 1.0
	sharedScore = 0.5
	// TTL is how long a strike is counted.
	TTL = 10 * time.Minute
)

// Fingerprint identifies equal requests.
type Fingerprint uint64

// Strike reports that a target crashed while it ran a request.
type Strike struct {
	Fingerprint Fingerprint
	// Crash identifies the crash, so that each one is counted once.
	Crash uint64
	// Shared reports whether other requests ran at the same time.
	Shared bool
	// Cleared resets the scores of all strikes, because the request was answered.
	Cleared bool
}

type scoredStrike struct {
	score float64
	until time.Time
}

// Quarantine holds the strikes of the whole mesh. The zero value is ready to use.
type Quarantine struct {
	mu      sync.Mutex
	strikes map[Fingerprint]map[uint64]scoredStrike
}

// Add stores a strike and reports whether it was new.
func (q *Quarantine) Add(s Strike, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(s.Fingerprint, now)
	m := q.strikes[s.Fingerprint]
	if s.Cleared {
		return clearScores(m)
	}
	if _, ok := m[s.Crash]; ok {
		return false
	}
	if m == nil {
		m = make(map[uint64]scoredStrike)
		if q.strikes == nil {
			q.strikes = make(map[Fingerprint]map[uint64]scoredStrike)
		}
		q.strikes[s.Fingerprint] = m
	}
	m[s.Crash] = scoredStrike{score: score(s), until: now.Add(TTL)}
	return true
}

// clearScores sets all scores to zero and reports whether any changed. It keeps the
// entries, so that the same crashes are not counted when reported again.
func clearScores(m map[uint64]scoredStrike) bool {
	c := false
	for k, s := range m {
		c = c || s.score > 0
		s.score = 0
		m[k] = s
	}
	return c
}

func score(s Strike) float64 {
	if s.Shared {
		return sharedScore
	}
	return aloneScore
}

// Blocked reports whether equal requests are refused.
func (q *Quarantine) Blocked(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(f, now)
	t := 0.0
	for _, s := range q.strikes[f] {
		t += s.score
	}
	return t >= Threshold
}

// Suspected reports whether equal requests have any strike that was not cleared.
func (q *Quarantine) Suspected(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.strikes[f] {
		if s.score > 0 {
			return true
		}
	}
	return false
}

// Len returns the number of requests with strikes.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.strikes)
}

func (q *Quarantine) expire(f Fingerprint, now time.Time) {
	m := q.strikes[f]
	for c, s := range m {
		if now.After(s.until) {
			delete(m, c)
		}
	}
	if m != nil && len(m) == 0 {
		delete(q.strikes, f)
	}
}
