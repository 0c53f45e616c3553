package gossiper

import "time"

// Receive handles a packet from address and returns the packets to send.
func (c *Core) Receive(address string, p Packet, now time.Time) []Outgoing {
	if p.Kind == Report || p.Kind == Answer {
		return nil
	}
	_, known := c.table.get(p.From)
	for _, m := range p.Members {
		c.apply(m, true, now)
	}
	for _, t := range p.Tombstones {
		c.applyTombstone(t, true, now)
	}
	for _, s := range p.Strikes {
		c.AddStrike(s, now)
	}
	c.recordSender(p)
	if _, ok := c.table.get(p.From); ok && !known {
		c.differences.noteNewMember(p.From)
	}
	o := c.confirmBy(p, now)
	switch p.Kind {
	case Ping:
		o = append(o, c.acknowledge(address, p, now))
	case PingRequest:
		o = append(o, c.forwardPing(address, p, now)...)
	case Ack:
		o = append(o, c.handleAck(p, now)...)
	case Rumor, Report, Answer:
	}
	return o
}

// recordSender records the configuration and the table digest of the sender.
func (c *Core) recordSender(p Packet) {
	m, ok := c.table.get(p.From)
	if !ok || p.From == c.self.Node {
		return
	}
	if p.Generation > 0 && p.Generation >= c.newest.Generation {
		c.newest = Hint{Generation: p.Generation, Address: m.PeerAddress}
		copy(c.newest.StateDigest[:], p.StateDigest)
	}
	if equal := p.TableDigest == c.table.digest(); equal || p.Kind == Ack {
		c.differences.note(p.From, equal)
	}
}

// acknowledge returns the ack for a ping. A sender that is unknown, suspect or
// dead here also gets this node's record, and its own condition to refute.
func (c *Core) acknowledge(address string, p Packet, now time.Time) Outgoing {
	a := c.packet(Ack, now)
	a.Number = p.Number
	m, ok := c.table.get(p.From)
	if !ok || m.Condition != Alive {
		a.Members = append(a.Members, c.self)
	}
	if ok && m.Condition != Alive {
		a.Tombstones = append(a.Tombstones, tombstone(m))
	}
	c.queue.fill(&a, c.retransmitLimit())
	return Outgoing{Address: address, Packet: a}
}

func (c *Core) forwardPing(address string, p Packet, now time.Time) []Outgoing {
	q := c.packet(Ping, now)
	c.forwardedPings[q.Number] = forwardedPing{address: address, number: p.Number, sent: now}
	return []Outgoing{{Address: p.Subject, Packet: q}}
}

func (c *Core) handleAck(p Packet, now time.Time) []Outgoing {
	if e, ok := c.forwardedPings[p.Number]; ok {
		delete(c.forwardedPings, p.Number)
		a := c.packet(Ack, now)
		a.Number = e.number
		return []Outgoing{{Address: e.address, Packet: a}}
	}
	q, ok := c.probes[p.Number]
	if !ok {
		return nil
	}
	delete(c.probes, p.Number)
	m, ok := c.table.get(q.node)
	if !ok || m.Condition == Alive || q.suspicionSent {
		return nil
	}
	// The member answered although it is suspect or dead here. Send it its
	// condition once, so that it refutes it.
	o := c.ping(m, now)
	c.probes[o.Packet.Number] = probe{node: m.Node, sent: now, suspicionSent: true}
	o.Packet.Tombstones = append(o.Packet.Tombstones, tombstone(m))
	return []Outgoing{o}
}

// apply handles a record received from another member.
func (c *Core) apply(m Member, spread bool, now time.Time) {
	if m.Node == c.self.Node {
		c.recordPrevious(m)
		c.refute(m.Incarnation, m.Condition, now)
		return
	}
	c.accept(c.deferDeath(m), spread, now)
}

// recordPrevious stores the newest record of an earlier process of this node. Such a
// record has a lower incarnation, or a higher one if the system clock went back.
func (c *Core) recordPrevious(m Member) {
	earlier := m.Incarnation < c.firstIncarnation || m.Incarnation > c.self.Incarnation
	if earlier && m.Incarnation >= c.previous.Incarnation {
		c.previous = m
	}
}

// applyTombstone applies the condition that another member reports for a known member.
func (c *Core) applyTombstone(t Tombstone, spread bool, now time.Time) {
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
		c.accept(c.deferDeath(m.WithCondition(t.Condition)), spread, now)
	}
}

// deferDeath turns a reported death of a member that is alive here into suspicion, so
// that the member has time to refute what others concluded during a partition.
func (c *Core) deferDeath(m Member) Member {
	o, ok := c.table.get(m.Node)
	if ok && m.Condition == Dead && o.Condition == Alive && o.Incarnation == m.Incarnation {
		return m.WithCondition(Suspect)
	}
	return m
}

// refute responds to a report that this node is suspect or dead, or to a record of
// an earlier process of this node, by raising its incarnation.
func (c *Core) refute(incarnation uint64, d Condition, now time.Time) {
	if incarnation < c.self.Incarnation || (incarnation == c.self.Incarnation && d == Alive) {
		if d != Alive {
			// Already refuted, but the sender has not received the refutation.
			c.queue.put(c.self)
		}
		return
	}
	if d == Dead {
		c.aliveSince = now
	}
	c.self.Incarnation = incarnation
	c.UpdateSelf(c.self, now)
}

// accept merges a record, queues it if it is to be spread, and starts or stops
// its suspicion timeout.
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
		c.deadlines[m.Node] = now.Add(c.suspicionTimeout())
	}
}
