package receiver

import "time"

// phase is what a connection does, which decides how soon it is closed when the limit of
// connections is reached.
type phase uint8

const (
	// phaseIdle is a connection without a request.
	phaseIdle phase = iota
	// phaseHead is a connection with an unfinished head, and phaseBody one with a request
	// whose body is unfinished.
	phaseHead
	phaseBody
	// phaseRunning is a connection whose request is complete and has no response yet.
	phaseRunning
	// phaseLinger is a connection that will be closed and is kept open so that its client
	// reads the last response.
	phaseLinger
)

// rateCredit is added to what a client has sent before its rate is computed, so that a
// client that has just begun to send is not taken for a slow one.
const rateCredit = 16 << 10

// rate returns how fast the client sends its request, in bytes per second.
func (c *conn) rate(now time.Time) float64 {
	return float64(c.received.Load()+rateCredit) / max(now.Sub(c.since).Seconds(), 1e-6)
}

// slowest returns the slowest connection among those that match, with its rate; nil if
// none does.
func (s *Server) slowest(match func(*conn) bool) (*conn, float64) {
	now := time.Now()
	var worst *conn
	var rate float64
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if r := c.rate(now); !c.dead && match(c) && (worst == nil || r < rate) {
			worst, rate = c, r
		}
		c.mu.Unlock()
	}
	return worst, rate
}

// longest returns the connection that has been in phase p for longest, nil if there is
// none.
func (s *Server) longest(p phase) *conn {
	var worst *conn
	var since time.Time
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if !c.dead && c.phase == p && (worst == nil || c.since.Before(since)) {
			worst, since = c, c.since
		}
		c.mu.Unlock()
	}
	return worst
}

// evictOne closes the connection whose loss costs its client least: one without a request,
// the longest idle first, then the one that sends its head or body slowest. It returns
// false if all connections run requests.
func (s *Server) evictOne() bool {
	c := s.longest(phaseLinger)
	if c == nil {
		c = s.longest(phaseIdle)
	}
	if c != nil {
		s.options.Stats.EvictedIdle.Add(1)
		s.options.Log.Info("Idle connection is closed for another", "caller", c.remote)
		c.abort()
		return true
	}
	if c, _ = s.slowest(func(c *conn) bool { return c.phase == phaseHead || c.phase == phaseBody }); c != nil {
		s.evictSlow(c, "connections")
		return true
	}
	return false
}

// evictOverflow closes the slowest of the connections that were accepted beyond the limit.
func (s *Server) evictOverflow() bool {
	c, _ := s.slowest(func(c *conn) bool { return c.overflow })
	if c == nil {
		return false
	}
	s.evictSlow(c, "connections")
	return true
}

func (s *Server) evictSlow(c *conn, short string) {
	s.options.Stats.EvictedSlow.Add(1)
	s.options.Log.Info("Slow connection is closed for others", "caller", c.remote, "short", short, "received", c.received.Load())
	c.abort()
}
