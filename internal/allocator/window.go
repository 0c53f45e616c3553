package allocator

import "time"

// slots counts events by the time at which they happened, in slots of equal length. Times
// before the retention are forgotten. Slots are numbered from start, not by the wall clock,
// which may step.
type slots struct {
	start  time.Time
	length time.Duration
	counts []float64
	// last is the number of the newest slot.
	last int64
	sum  float64
}

func newSlots(length time.Duration, n int, now time.Time) slots {
	// All times within the retention have positive numbers.
	return slots{start: now.Add(-2 * time.Duration(n) * length), length: length, counts: make([]float64, n)}
}

func (s *slots) number(t time.Time) int64 {
	return max(int64(t.Sub(s.start)/s.length), 0)
}

func (s *slots) at(n int64) *float64 {
	return &s.counts[n%int64(len(s.counts))]
}

// advance forgets what is older than the retention at now.
func (s *slots) advance(now time.Time) {
	n := s.number(now)
	if n-s.last >= int64(len(s.counts)) {
		clear(s.counts)
		s.sum = 0
		s.last = n
		return
	}
	for s.last < n {
		s.last++
		s.sum -= *s.at(s.last)
		*s.at(s.last) = 0
	}
}

// add counts v events at t, which is at most now.
func (s *slots) add(v float64, t, now time.Time) {
	s.advance(now)
	n := max(s.number(t), s.last-int64(len(s.counts))+1)
	*s.at(min(n, s.last)) += v
	s.sum += v
}

// spread counts v events that happened evenly between since and now.
func (s *slots) spread(v float64, since, now time.Time) {
	n := max(int(now.Sub(since)/s.length), 0) + 1
	n = min(n, len(s.counts))
	for i := range n {
		s.add(v/float64(n), now.Add(-time.Duration(i)*s.length), now)
	}
}

// since returns the number of events in the slots after the one of t, and in the part of
// that one after t.
func (s *slots) since(t, now time.Time) float64 {
	s.advance(now)
	first := s.number(t)
	if first <= s.last-int64(len(s.counts)) {
		return s.sum
	}
	v := 0.0
	for n := s.last; n > first; n-- {
		v += *s.at(n)
	}
	if first <= s.last {
		part := float64(int64(s.length)-int64(t.Sub(s.start)%s.length)) / float64(s.length)
		v += part * *s.at(first)
	}
	return v
}

// before returns the number of events between the begin of the retention and t: those
// that are forgotten first.
func (s *slots) before(t, now time.Time) float64 {
	return s.sum - s.since(t, now)
}
