package admitter

import (
	"slices"
	"time"
)

const (
	// minWait is the shortest delay before a caller comes back; the load is unlikely to
	// change sooner.
	minWait = 50 * time.Millisecond
	// slotTime is the length of the time slots in which callers are asked to come back.
	slotTime = 50 * time.Millisecond
	// returningShare is the share of the room that is promised to callers who come back.
	// The rest is for new ones, of which the most urgent must not wait.
	returningShare = 0.5
	// callerTimeDivisor limits the delay to a fraction of the time that a caller has left.
	callerTimeDivisor = 3
	// deadlineTolerance is by how much the deadline that a returning caller states may
	// differ from that of its first attempt.
	deadlineTolerance = 15 * time.Millisecond
	// earlyTolerance is by how much a caller may come back early, and promiseTime how
	// long it may be late.
	earlyTolerance = 5 * time.Millisecond
	promiseTime    = 500 * time.Millisecond
)

// promise is room for a caller that was asked to come back at due.
type promise struct {
	due      time.Time
	deadline time.Time
	// resource is the one that was short.
	resource string
	// backed means that room was left when the promise was made.
	backed bool
}

// promises holds the promises to callers of one route.
type promises []promise

// take returns the promise to the caller whose deadline is d. It keeps one that is not
// due yet.
func (p *promises) take(d, now time.Time) (q promise, ok bool) {
	p.sweep(now)
	best, i := deadlineTolerance, -1
	for n, q := range *p {
		if x := q.deadline.Sub(d).Abs(); x <= best {
			best, i = x, n
		}
	}
	if i < 0 {
		return promise{}, false
	}
	q = (*p)[i]
	if !now.Before(q.due.Add(-earlyTolerance)) {
		*p = slices.Delete(*p, i, i+1)
	}
	return q, true
}

func (p *promises) sweep(now time.Time) {
	l := (*p)[:0]
	for _, q := range *p {
		if now.Before(q.due.Add(promiseTime)) {
			l = append(l, q)
		}
	}
	*p = l
}

// make finds the first time slot before useful in which less than rate requests a second
// are promised, and returns the delay until a random time in it. If there is none, the
// caller is asked to come back shortly before useful, without a promise, and if that is
// too soon within a fraction of the time that it has left.
func (p *promises) make(m promise, rate float64, useful, left time.Duration, random float64, now time.Time) time.Duration {
	p.sweep(now)
	perSlot := rate * slotTime.Seconds()
	room := 0.0
	for d := minWait; d+slotTime <= useful; d += slotTime {
		room += perSlot
		end := now.Add(d + slotTime)
		n := 0
		for _, q := range *p {
			if q.backed && q.due.Before(end) {
				n++
			}
		}
		if float64(n) >= room {
			continue
		}
		w := d + time.Duration(random*float64(slotTime))
		m.due, m.backed = now.Add(w), true
		*p = append(*p, m)
		return w
	}
	limit := max(useful, minWait)
	if useful < 2*minWait {
		limit = max(left/callerTimeDivisor, minWait)
	}
	w := limit/2 + time.Duration(random*float64(limit/2))
	m.due = now.Add(w)
	*p = append(*p, m)
	return w
}
