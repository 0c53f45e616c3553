package aggregator

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	basePeriod = 200 * time.Millisecond
	// periodNodes is the number of reporters that a hub serves in basePeriod. Beyond it
	// the period grows, so that the cost of a hub stays the same.
	periodNodes = 50
	// coverageWindow is how long a report counts, but not less than coveragePeriods
	// periods, so that one lost datagram does not end the coverage of a node.
	coverageWindow  = time.Second
	coveragePeriods = 3
	// maxSenders bounds the reporters that a hub keeps.
	maxSenders = 10_000
	// idlePeriod is the time between two looks at the topics while none has anything to say
	// and no node reports to this one.
	idlePeriod = time.Second
	// countInterval is the least time between two counts of the reporters.
	countInterval = 50 * time.Millisecond
	// MaxSection is the largest report or answer of a topic in bytes. Longer ones are
	// dropped and counted, so topics rotate what they tell.
	MaxSection = 1080
	// packetRoom is what the sections of one packet may have together.
	packetRoom   = 1120
	sectionBytes = 8
	// maxFirstNumber keeps the number of a packet short on the wire.
	maxFirstNumber = 1<<27 - 1
)

// Counts counts what a core has done.
type Counts struct {
	Reports, Answers, Oversized, PassedOver uint64
}

// sender is what a tier knows of a node that reports to it.
type sender struct {
	at      time.Time
	covered int
}

// link is the exchange of a node with the next tier.
type link struct {
	tier Tier
	due  time.Time
	// to is the node of the last report, misses the number of rounds in a row that it
	// has left unanswered, and pending the time of the packets of the last rounds.
	to       string
	misses   int
	answered bool
	pending  map[uint64]time.Time
	// idle means that the topics had nothing to say in the last round.
	idle bool
}

// Core is the exchange without sockets and clock. It is not safe for concurrent use.
type Core struct {
	electorate

	topics  []Topic
	number  uint64
	leaf    link
	hub     link
	senders map[Tier]map[string]sender
	// answeredAt is when this node, as a leaf, last had an answer.
	answeredAt time.Time
	counted    time.Time
	covered    map[Tier]int
	counts     Counts
	lastTick   time.Time
	// passed is the node that was passed over last.
	passed string
}

// NewCore returns the core of a node.
func NewCore(node string, now time.Time) *Core {
	// The hash spreads the reports of nodes that start together.
	offset := time.Duration(gossiper.HashNode(node) % uint64(basePeriod))
	return &Core{
		electorate: electorate{self: node},
		leaf:       link{tier: Leaf, due: now.Add(offset)},
		hub:        link{tier: Hub, due: now.Add(offset / 2)},
		senders:    map[Tier]map[string]sender{Hub: {}, Root: {}},
		covered:    make(map[Tier]int),
		lastTick:   now,
		// An answer to a report of an earlier process does not match.
		number: uint64(now.UnixMilli()) & maxFirstNumber,
	}
}

// Register adds a topic.
func (c *Core) Register(t Topic) {
	c.topics = append(c.topics, t)
}

// Period returns the time between two reports of a tier.
func (c *Core) Period(from Tier) time.Duration {
	if c.view == nil {
		return basePeriod
	}
	n := len(c.view.DataCenter(c.dataCenter))
	if from == Hub {
		n = len(c.view.DataCenters())
	}
	return basePeriod * time.Duration(max(n, periodNodes)) / periodNodes
}

// window returns how long a report to a tier counts.
func (c *Core) window(at Tier) time.Duration {
	return max(coverageWindow, coveragePeriods*c.Period(at-1))
}

// Tick takes the current view, sends what is due and returns the packets.
func (c *Core) Tick(v *gossiper.View, now time.Time) []gossiper.Outgoing {
	c.update(v, now)
	if now.Sub(c.lastTick) > maxMisses*c.Period(Leaf) {
		// The process was paused: nobody else has been silent.
		c.leaf.forget()
		c.hub.forget()
	}
	c.lastTick = now
	c.count(now)
	var o []gossiper.Outgoing
	if !now.Before(c.leaf.due) {
		c.leaf.schedule(c.Period(Leaf), now)
		o = c.report(&c.leaf, c.electorate.hub, now)
	}
	if !now.Before(c.hub.due) {
		c.hub.schedule(c.Period(Hub), now)
		if c.isHub(now) {
			o = append(o, c.report(&c.hub, c.root, now)...)
		}
	}
	if c.leaf.idle && c.covered[Hub] == 0 {
		c.leaf.due, c.hub.due = now.Add(idlePeriod), now.Add(idlePeriod)
	}
	return o
}

// Due returns when Tick has something to do.
func (c *Core) Due() time.Time {
	if c.hub.due.Before(c.leaf.due) {
		return c.hub.due
	}
	return c.leaf.due
}

// isHub reports whether nodes report to this one, or would.
func (c *Core) isHub(now time.Time) bool {
	return c.electorate.hub(now) == c.self || c.covered[Hub] > 0
}

func (l *link) schedule(period time.Duration, now time.Time) {
	l.due = l.due.Add(period)
	if !l.due.After(now) {
		l.due = now.Add(period)
	}
}

func (l *link) forget() {
	l.misses = 0
	l.answered = true
	clear(l.pending)
}

// report makes the reports of one round and sends them to the node that next returns.
func (c *Core) report(l *link, next func(time.Time) string, now time.Time) []gossiper.Outgoing {
	list := c.sections(func(t Topic) []byte { return t.Report(l.tier, now) })
	l.idle = len(list) == 0
	if len(list) == 0 {
		l.forget()
		return nil
	}
	to := c.choose(l, next, now)
	at := l.tier + 1
	if to == c.self {
		l.forget()
		c.note(at, c.self, c.covered[Hub], now)
		c.merge(at, c.self, list, now)
		c.apply(l.tier, c.answer(at, c.self, list, now), now, now)
		return nil
	}
	if l.pending == nil {
		l.pending = make(map[uint64]time.Time)
	}
	for n, t := range l.pending {
		if now.Sub(t) > maxMisses*c.Period(l.tier) {
			delete(l.pending, n)
		}
	}
	var o []gossiper.Outgoing
	for _, s := range split(list) {
		c.number++
		l.pending[c.number] = now
		p := gossiper.Packet{Kind: gossiper.Report, Number: c.number, From: c.self, Tier: uint8(at), Sections: s}
		if l.tier == Hub {
			p.Covered = c.covered[Hub]
		}
		o = append(o, gossiper.Outgoing{Address: c.addresses[to], Packet: p})
		c.counts.Reports++
	}
	return o
}

// choose returns the node to report to. It passes over the one before if that has left
// too many rounds unanswered.
func (c *Core) choose(l *link, next func(time.Time) string, now time.Time) string {
	if l.to != "" && l.to != c.self && !l.answered {
		l.misses++
	}
	if l.misses > 0 && l.misses >= c.patience(l.to, now) {
		c.passOver(l.to, now)
		c.counts.PassedOver++
		c.passed = l.to
		l.forget()
	}
	n := next(now)
	if n != l.to {
		l.forget()
	}
	l.to, l.answered = n, false
	return n
}

// Receive handles a report or an answer and returns the packets to send.
func (c *Core) Receive(address string, p gossiper.Packet, now time.Time) []gossiper.Outgoing {
	c.count(now)
	at := Tier(p.Tier)
	switch {
	case p.From == "" || at < Hub || at > Root:
		return nil
	case p.Kind == gossiper.Answer:
		c.receiveAnswer(p, now)
		return nil
	case p.Kind != gossiper.Report || !c.note(at, p.From, p.Covered, now):
		return nil
	}
	c.merge(at, p.From, p.Sections, now)
	var o []gossiper.Outgoing
	for _, s := range split(c.answer(at, p.From, p.Sections, now)) {
		q := gossiper.Packet{Kind: gossiper.Answer, Number: p.Number, From: c.self, Tier: p.Tier, Sections: s}
		o = append(o, gossiper.Outgoing{Address: address, Packet: q})
		c.counts.Answers++
	}
	return o
}

func (c *Core) receiveAnswer(p gossiper.Packet, now time.Time) {
	l := &c.leaf
	if Tier(p.Tier) == Root {
		l = &c.hub
	}
	sent, ok := l.pending[p.Number]
	if !ok || p.From != l.to {
		return
	}
	l.misses, l.answered = 0, true
	delete(c.silent, p.From)
	c.apply(l.tier, p.Sections, sent, now)
}

// note records that a node has reported to tier at, and reports whether it was taken.
func (c *Core) note(at Tier, node string, covered int, now time.Time) bool {
	m := c.senders[at]
	if _, ok := m[node]; !ok && len(m) >= maxSenders {
		return false
	}
	m[node] = sender{at: now, covered: covered}
	return true
}

func (c *Core) merge(at Tier, node string, list []gossiper.Section, now time.Time) {
	for _, s := range list {
		if t := c.topic(s.Topic); t != nil {
			t.Merge(at, node, s.Body, now)
		}
	}
}

// answer returns the answers to the topics of a report.
func (c *Core) answer(at Tier, node string, list []gossiper.Section, now time.Time) []gossiper.Section {
	return c.sections(func(t Topic) []byte {
		for _, s := range list {
			if s.Topic == t.ID() {
				return t.Answer(at, node, now)
			}
		}
		return nil
	})
}

func (c *Core) apply(at Tier, list []gossiper.Section, sent, now time.Time) {
	if at == Leaf {
		c.answeredAt = now
	}
	for _, s := range list {
		if t := c.topic(s.Topic); t != nil {
			t.Apply(at, s.Body, sent, now)
		}
	}
}

func (c *Core) topic(id uint8) Topic {
	for _, t := range c.topics {
		if t.ID() == id {
			return t
		}
	}
	return nil
}

// sections collects what the topics say.
func (c *Core) sections(say func(Topic) []byte) []gossiper.Section {
	var l []gossiper.Section
	for _, t := range c.topics {
		b := say(t)
		switch {
		case b == nil:
		case len(b) > MaxSection:
			c.counts.Oversized++
		default:
			l = append(l, gossiper.Section{Topic: t.ID(), Body: b})
		}
	}
	return l
}

// split divides sections among packets, at least one.
func split(list []gossiper.Section) [][]gossiper.Section {
	l := [][]gossiper.Section{nil}
	room := packetRoom
	for _, s := range list {
		n := sectionBytes + len(s.Body)
		if n > room && len(l[len(l)-1]) > 0 {
			l = append(l, nil)
			room = packetRoom
		}
		l[len(l)-1] = append(l[len(l)-1], s)
		room -= n
	}
	return l
}
