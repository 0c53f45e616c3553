package aggregator

import "time"

// count forgets nodes that have stopped reporting, and counts the others.
func (c *Core) count(now time.Time) {
	if now.Sub(c.counted) < countInterval && !now.Before(c.counted) {
		return
	}
	c.counted = now
	for at, m := range c.senders {
		w := c.window(at)
		n := 0
		for k, s := range m {
			switch {
			case now.Sub(s.at) > w:
				delete(m, k)
			case at == Root:
				n += s.covered
			default:
				if _, ok := c.addresses[k]; ok {
					n++
				}
			}
		}
		c.covered[at] = n
	}
}

// Coverage returns the share of the known members whose reports have reached this node
// recently, directly or through hubs: of its data centre at a hub, of all at the root.
// Known are the members that are alive or were lost without leaving less than
// lostRetention ago. At a leaf it is 1 if the node has recently had an answer.
func (c *Core) Coverage(at Tier, now time.Time) float64 {
	switch at {
	case Leaf:
		if c.answeredAt.IsZero() || now.Sub(c.answeredAt) > c.window(Hub) {
			return 0
		}
		return 1
	case Hub:
		return share(c.covered[Hub], c.known(c.dataCenter, now))
	default:
		return share(c.covered[Root], c.known("", now))
	}
}

// Known returns the number of members that are alive or were lost recently.
func (c *Core) Known(now time.Time) int {
	return c.known("", now)
}

func share(part, whole int) float64 {
	return min(float64(part)/float64(whole), 1)
}
