package gossiper

import "time"

// Receive handles a packet that came from address.
func (c *Core) Receive(address string, p Packet, now time.Time) []Outgoing {
	_, known := c.table.get(p.From)
	for _, m := range p.Members {
		c.apply(m, true, now)
	}
	for _, t := range p.Tombstones {
		c.bury(t, true, now)
	}
	for _, s := range p.Strikes {
		c.Strike(s, now)
	}
	c.hear(p)
	if _, ok := c.table.get(p.From); ok && !known {
		c.differences.meet(p.From)
	}
	switch p.Kind {
	case Ping:
		return []Outgoing{c.acknowledge(address, p)}
	case PingRequest:
		return c.runErrand(address, p, now)
	case Ack:
		return c.acknowledged(p, now)
	case Rumor:
	}
	return nil
}

// hear notes what the sender says of its configuration and table.
func (c *Core) hear(p Packet) {
	m, ok := c.table.get(p.From)
	if !ok || p.From == c.self.Node {
		return
	}
	if p.Generation > 0 && p.Generation >= c.best.Generation {
		c.best = Hint{Generation: p.Generation, Address: m.PeerAddress}
		copy(c.best.StateDigest[:], p.StateDigest)
	}
	if equal := p.TableDigest == c.table.digest(); equal || p.Kind == Ack {
		c.differences.note(p.From, equal)
	}
}

// acknowledge answers a ping. A sender that is unknown or doubted here gets
// this node's record, and the doubt, which it will refute.
func (c *Core) acknowledge(address string, p Packet) Outgoing {
	a := c.packet(Ack)
	a.Number = p.Number
	m, ok := c.table.get(p.From)
	if !ok || m.Condition != Alive {
		a.Members = append(a.Members, c.self)
	}
	if ok && m.Condition != Alive {
		a.Tombstones = append(a.Tombstones, tombstone(m))
	}
	c.queue.fill(&a, c.transmissions())
	return Outgoing{Address: address, Packet: a}
}

func (c *Core) runErrand(address string, p Packet, now time.Time) []Outgoing {
	q := c.packet(Ping)
	c.errands[q.Number] = errand{address: address, number: p.Number, sent: now}
	return []Outgoing{{Address: p.Subject, Packet: q}}
}

func (c *Core) acknowledged(p Packet, now time.Time) []Outgoing {
	if e, ok := c.errands[p.Number]; ok {
		delete(c.errands, p.Number)
		a := c.packet(Ack)
		a.Number = e.number
		return []Outgoing{{Address: e.address, Packet: a}}
	}
	q, ok := c.probes[p.Number]
	if !ok {
		return nil
	}
	delete(c.probes, p.Number)
	m, ok := c.table.get(q.node)
	if !ok || m.Condition == Alive || q.told {
		return nil
	}
	// The member answered but is doubted: tell it once, so that it refutes.
	o := c.ping(m, now)
	c.probes[o.Packet.Number] = probe{node: m.Node, sent: now, told: true}
	o.Packet.Tombstones = append(o.Packet.Tombstones, tombstone(m))
	return []Outgoing{o}
}

// apply takes in a record that somebody else sent.
func (c *Core) apply(m Member, spread bool, now time.Time) {
	if m.Node == c.self.Node {
		c.remember(m)
		c.refute(m.Incarnation, m.Condition, now)
		return
	}
	c.accept(c.soften(m), spread, now)
}

// remember keeps the newest record that an earlier life of this node left behind.
// It has a lower incarnation, or a higher one where the time of day went back.
func (c *Core) remember(m Member) {
	earlier := m.Incarnation < c.first || m.Incarnation > c.self.Incarnation
	if earlier && m.Incarnation >= c.former.Incarnation {
		c.former = m
	}
}

// bury takes in what somebody else believes of a member that is known here.
func (c *Core) bury(t Tombstone, spread bool, now time.Time) {
	n, ok := c.table.byHash[t.NodeHash]
	if !ok {
		return
	}
	m, _ := c.table.get(n)
	if m.Node == c.self.Node {
		c.refute(t.Incarnation, t.Condition, now)
		return
	}
	if m.Incarnation == t.Incarnation {
		c.accept(c.soften(m.WithCondition(t.Condition)), spread, now)
	}
}

// soften makes the death of a member that is alive here a suspicion first, so
// that it has time to refute what others believed during a partition.
func (c *Core) soften(m Member) Member {
	o, ok := c.table.get(m.Node)
	if ok && m.Condition == Dead && o.Condition == Alive && o.Incarnation == m.Incarnation {
		return m.WithCondition(Suspect)
	}
	return m
}

// refute answers doubt about this node, or a record that an earlier life of
// this node left behind, with a higher incarnation.
func (c *Core) refute(incarnation uint64, d Condition, now time.Time) {
	if incarnation < c.self.Incarnation || (incarnation == c.self.Incarnation && d == Alive) {
		if d != Alive {
			// It was refuted before, but the sender has not heard of it.
			c.queue.put(c.self)
		}
		return
	}
	if d == Dead {
		c.trusted = now
	}
	c.self.Incarnation = incarnation
	c.Author(c.self, now)
}

// accept merges a record, queues it for others, and keeps its deadline.
func (c *Core) accept(m Member, spread bool, now time.Time) {
	if !c.table.merge(m, now) {
		return
	}
	if spread {
		c.queue.put(m)
	}
	if m.Condition != Suspect {
		delete(c.deadlines, m.Node)
		return
	}
	if _, ok := c.deadlines[m.Node]; !ok {
		c.deadlines[m.Node] = now.Add(c.suspicion())
	}
}
