package gossiper

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// Periods, timeouts and limits of the protocol.
const (
	probePeriod     = time.Second
	probeTimeout    = 300 * time.Millisecond
	rumorPeriod     = 200 * time.Millisecond
	suspicionBase   = 2 * time.Second
	suspicionPerLog = time.Second
	// stallThreshold is the gap between ticks above which the node assumes that
	// its own process was paused, and suspects no other member.
	stallThreshold = 2 * time.Second

	indirectProbes = 3
	rumorFanOut    = 2
	// hintFanOut is the number of members that are notified immediately of a new
	// configuration. If each of them does the same, all but one member in a
	// thousand are reached.
	hintFanOut = 4
	// announceFanOut is the number of members that are sent this node's record at once
	// when it has joined and when its first target has come. All nodes of a small mesh
	// that start together thus know all targets after one packet.
	announceFanOut = 16
	// rumorBytesPerS and rumorBurst limit the bytes spent on rumors, so that
	// traffic stays near the control byte budget when a data centre is lost.
	rumorBytesPerS = 800
	rumorBurst     = 4000
	// retransmitFactor times the decimal logarithm of the mesh size is the number
	// of packets in which a node sends an update. Members that miss all of them
	// get it when tables are compared.
	retransmitFactor = 4
	deadProbePeriods = 4
	// maxIntroductions limits how many unknown members a comparison of tables adds to
	// the rumors, which share their bytes with urgent updates.
	maxIntroductions = 64
	hintDigestBytes  = 8
)

// Outgoing is a packet with its destination address.
type Outgoing struct {
	Address string
	Packet  Packet
}

// Hint identifies a configuration and the address of a member that has it.
type Hint struct {
	Generation  uint64
	StateDigest [32]byte
	Address     string
}

// probe is a ping whose acknowledgement is pending.
type probe struct {
	node     string
	sent     time.Time
	indirect bool
	// suspicionSent reports whether the ping carried the suspicion to the member.
	suspicionSent bool
}

// forwardedPing is an indirect ping sent on behalf of another member.
type forwardedPing struct {
	address string
	number  uint64
	sent    time.Time
}

// Core implements the protocol without sockets and timers. It is not safe for
// concurrent use.
type Core struct {
	self  Member
	table table
	queue queue
	rand  *rand.Rand

	number         uint64
	probeOrder     []string
	probes         map[uint64]probe
	forwardedPings map[uint64]forwardedPing
	deadlines      map[string]time.Time

	// aliveSince is the time since which other members consider this node alive.
	// homeSince maps a service to the time since which this node has advertised
	// itself as a home for its keys.
	aliveSince time.Time
	homeSince  map[string]time.Time

	lastTick  time.Time
	lastProbe time.Time
	lastRumor time.Time
	periods   int

	// quarantine stores received strikes; new ones are gossiped.
	quarantine *quarantiner.Quarantine

	rumorBudget *limiter.Bucket

	// firstIncarnation is the incarnation with which this process started. previous
	// is the newest record of an earlier process of this node that a peer still had.
	firstIncarnation uint64
	previous         Member

	held         Hint
	newest       Hint
	confirmation confirmation
	differences  differences
}

// NewCore returns the core of the node with the record self.
func NewCore(self Member, r *rand.Rand, now time.Time) *Core {
	c := &Core{
		self:             self,
		firstIncarnation: self.Incarnation,
		rand:             r,
		quarantine:       &quarantiner.Quarantine{},
		rumorBudget:      limiter.NewBucket(rumorBytesPerS, rumorBurst),
		probes:           make(map[uint64]probe),
		forwardedPings:   make(map[uint64]forwardedPing),
		deadlines:        make(map[string]time.Time),
		homeSince:        make(map[string]time.Time),
		aliveSince:       now,
		lastTick:         now,
		// A random offset spreads the probes of nodes that start together.
		lastProbe: now.Add(-time.Duration(r.Int64N(int64(probePeriod)))),
	}
	c.table.merge(self, now)
	return c
}

// Self returns the node's own record.
func (c *Core) Self() Member {
	return c.self
}

// UpdateSelf replaces the node's own record and increments its incarnation.
func (c *Core) UpdateSelf(m Member, now time.Time) {
	c.self = m.WithIncarnation(c.self.Incarnation + 1).WithCondition(Alive)
	for _, s := range m.Homes {
		if _, ok := c.homeSince[s]; !ok {
			c.homeSince[s] = now
		}
	}
	c.table.merge(c.self, now)
	c.queue.put(c.self)
}

// SetConfiguration sets the configuration that this node advertises as its own, unless
// it advertises a newer one.
func (c *Core) SetConfiguration(generation uint64, digest [32]byte) {
	if generation >= c.held.Generation {
		c.held = Hint{Generation: generation, StateDigest: digest}
	}
}

// AddStrike adds a strike to the quarantine and gossips it if it is new.
func (c *Core) AddStrike(s quarantiner.Strike, now time.Time) {
	if c.quarantine.Add(s, now) {
		c.queue.putStrike(s)
	}
}

// HomeSince returns the time since which other members consider this node a home
// for a service's keys. This is the latest of the time at which it first
// advertised itself as one, the end of its last stall, and the last time it
// refuted a report of its death.
func (c *Core) HomeSince(service string) time.Time {
	if h := c.homeSince[service]; h.After(c.aliveSince) {
		return h
	}
	return c.aliveSince
}

// NewestConfiguration returns the highest generation received and the member that advertised it.
func (c *Core) NewestConfiguration() Hint {
	return c.newest
}

// Differing returns a usable member whose table has repeatedly differed from
// this node's, or that was unknown until it sent a packet.
func (c *Core) Differing() (Member, bool) {
	for {
		n, ok := c.differences.member()
		if !ok {
			return Member{}, false
		}
		if m, ok := c.table.get(n); ok && m.Usable() {
			return m, true
		}
		c.differences.compared(n)
	}
}

// ResetDifferences resets the counts of differences after a comparison of tables.
func (c *Core) ResetDifferences() {
	c.differences.clear()
}

// Compared records that this node has compared tables with a member that Differing had
// returned, or has failed to.
func (c *Core) Compared(node string) {
	c.differences.compared(node)
}

// PingAddress returns a ping with this node's record for an address that may
// belong to a member.
func (c *Core) PingAddress(address string, now time.Time) Outgoing {
	p := c.packet(Ping, now)
	p.Members = append(p.Members, c.self)
	return Outgoing{Address: address, Packet: p}
}

// Merge applies the records received in a comparison of tables with a member. It gossips
// the member's own record and a few of those whose nodes were unknown, since the parts of
// a mesh that was split know nothing of each other. Other members have the rest.
func (c *Core) Merge(from string, list []Member, now time.Time) {
	introduced := 0
	for _, m := range list {
		_, known := c.table.get(m.Node)
		c.apply(m, m.Node == from, now)
		if !known && m.Node != from && introduced < maxIntroductions {
			introduced++
			c.queue.putIntroduction(m)
		}
	}
}

// MergeTable applies the whole table of the member through which this node joins.
// Nothing of it is gossiped, since other members have it.
func (c *Core) MergeTable(list []Member, now time.Time) {
	for _, m := range list {
		c.apply(m, false, now)
	}
}

// Tick runs everything that is due at now and returns the packets to send.
func (c *Core) Tick(now time.Time) []Outgoing {
	if now.Sub(c.lastTick) > stallThreshold {
		c.resetAfterStall(now)
	}
	c.lastTick = now
	o := c.indirect(now)
	c.expire(now)
	if now.Sub(c.lastProbe) >= probePeriod {
		c.lastProbe = now
		c.table.purge(now)
		o = append(o, c.probe(now)...)
	}
	if c.queue.size() > 0 && now.Sub(c.lastRumor) >= rumorPeriod {
		c.lastRumor = now
		o = append(o, c.rumors(now)...)
	}
	return o
}

// nextDue returns when Tick has something to do.
func (c *Core) nextDue() time.Time {
	d := c.lastProbe.Add(probePeriod)
	earliest := func(t time.Time) {
		if t.Before(d) {
			d = t
		}
	}
	if c.queue.size() > 0 {
		earliest(c.lastRumor.Add(rumorPeriod))
	}
	for _, p := range c.probes {
		if !p.indirect {
			earliest(p.sent.Add(probeTimeout))
		}
		earliest(p.sent.Add(probePeriod))
	}
	for _, p := range c.forwardedPings {
		earliest(p.sent.Add(probePeriod))
	}
	for _, t := range c.deadlines {
		earliest(t)
	}
	return d
}

// resetAfterStall discards pending probes and restarts suspicion timeouts after the
// process was paused, since they ran out only because of the pause.
func (c *Core) resetAfterStall(now time.Time) {
	c.aliveSince = now
	clear(c.probes)
	clear(c.forwardedPings)
	for n := range c.deadlines {
		c.deadlines[n] = now.Add(c.suspicionTimeout())
	}
}

// indirect asks other members to probe those that have not answered in time.
func (c *Core) indirect(now time.Time) []Outgoing {
	var o []Outgoing
	for _, n := range slices.Sorted(maps.Keys(c.probes)) {
		p := c.probes[n]
		if p.indirect || now.Sub(p.sent) < probeTimeout {
			continue
		}
		p.indirect = true
		c.probes[n] = p
		m, _ := c.table.get(p.node)
		for _, h := range c.pick(indirectProbes, p.node) {
			q := c.packet(PingRequest, now)
			q.Number = n
			q.Subject = m.PeerAddress
			o = append(o, c.withUpdates(h, q))
		}
	}
	return o
}

// expire marks members with unanswered probes as suspect, and suspects whose
// timeout has passed as dead.
func (c *Core) expire(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(c.probes)) {
		if p := c.probes[n]; now.Sub(p.sent) >= probePeriod {
			delete(c.probes, n)
			c.suspect(p.node, now)
		}
	}
	for n, e := range c.forwardedPings {
		if now.Sub(e.sent) >= probePeriod {
			delete(c.forwardedPings, n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.deadlines)) {
		if now.Before(c.deadlines[n]) {
			continue
		}
		delete(c.deadlines, n)
		if m, ok := c.table.get(n); ok && m.Condition == Suspect {
			c.accept(m.WithCondition(Dead), true, now)
		}
	}
}

func (c *Core) suspect(node string, now time.Time) {
	m, ok := c.table.get(node)
	if ok && m.Condition == Alive && m.Status != Left {
		c.accept(m.WithCondition(Suspect), true, now)
	}
}

// probe pings the next member. Every deadProbePeriods it also pings a dead
// member, which detects that a partition has healed.
func (c *Core) probe(now time.Time) []Outgoing {
	var o []Outgoing
	if m, ok := c.next(); ok {
		o = append(o, c.ping(m, now))
	}
	c.periods++
	if c.periods%deadProbePeriods != 0 {
		return o
	}
	if m, ok := c.pickDead(); ok {
		q := c.PingAddress(m.PeerAddress, now)
		q.Packet.Tombstones = append(q.Packet.Tombstones, tombstone(m))
		o = append(o, q)
	}
	return o
}

func (c *Core) ping(m Member, now time.Time) Outgoing {
	p := c.packet(Ping, now)
	c.probes[p.Number] = probe{node: m.Node, sent: now}
	return c.withUpdates(m, p)
}

// next returns the next usable member to probe. Each round visits all of them in
// a new random order.
func (c *Core) next() (Member, bool) {
	for range 2 {
		for len(c.probeOrder) > 0 {
			n := c.probeOrder[len(c.probeOrder)-1]
			c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
			if m, ok := c.table.get(n); ok && m.Usable() {
				return m, true
			}
		}
		c.refillProbeOrder()
	}
	return Member{}, false
}

func (c *Core) refillProbeOrder() {
	c.probeOrder = c.probeOrder[:0]
	for _, m := range c.table.members() {
		if m.Node != c.self.Node && m.Usable() {
			c.probeOrder = append(c.probeOrder, m.Node)
		}
	}
	c.rand.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}

// pick returns up to n random usable members, without this node and except.
func (c *Core) pick(n int, except string) []Member {
	var l []Member
	seen := 0
	for _, h := range c.table.nodes {
		m := c.table.rows[h].member
		if m.Node == c.self.Node || m.Node == except || !m.Usable() {
			continue
		}
		seen++
		if len(l) < n {
			l = append(l, m)
		} else if i := c.rand.IntN(seen); i < n {
			l[i] = m
		}
	}
	return l
}

func (c *Core) pickDead() (Member, bool) {
	var p Member
	seen := 0
	for _, h := range c.table.nodes {
		r := c.table.rows[h]
		if r.member.Condition != Dead || r.member.Status == Left {
			continue
		}
		seen++
		if c.rand.IntN(seen) == 0 {
			p = r.member
		}
	}
	return p, seen > 0
}

func (c *Core) rumors(now time.Time) []Outgoing {
	var o []Outgoing
	for _, m := range c.pick(rumorFanOut, "") {
		if !c.rumorBudget.Take(now) {
			break
		}
		q := c.withUpdates(m, c.packet(Rumor, now))
		c.rumorBudget.Spend(float64(q.Packet.size()))
		o = append(o, q)
	}
	return o
}

// hints returns rumors without updates, whose headers advertise this node's
// configuration.
func (c *Core) hints(now time.Time) []Outgoing {
	var o []Outgoing
	for _, m := range c.pick(hintFanOut, "") {
		o = append(o, Outgoing{Address: m.PeerAddress, Packet: c.packet(Rumor, now)})
	}
	return o
}

// announcements returns rumors with this node's own record.
func (c *Core) announcements(now time.Time) []Outgoing {
	var o []Outgoing
	for _, m := range c.pick(announceFanOut, "") {
		p := c.packet(Rumor, now)
		p.Members = []Member{c.self}
		o = append(o, Outgoing{Address: m.PeerAddress, Packet: p})
	}
	return o
}

func (c *Core) packet(k Kind, now time.Time) Packet {
	c.number++
	p := Packet{
		Kind:         k,
		Number:       c.number,
		From:         c.self.Node,
		Generation:   c.held.Generation,
		ConfirmedAge: c.confirmation.age(now),
		TableDigest:  c.table.digest(),
	}
	if c.held.Generation > 0 {
		p.StateDigest = slices.Clone(c.held.StateDigest[:hintDigestBytes])
	}
	return p
}

// withUpdates adds queued updates to p and addresses it to m.
func (c *Core) withUpdates(m Member, p Packet) Outgoing {
	c.queue.fill(&p, c.retransmitLimit())
	return Outgoing{Address: m.PeerAddress, Packet: p}
}

func (c *Core) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(c.table.rows)+1))))
}

func (c *Core) suspicionTimeout() time.Duration {
	l := math.Log10(float64(len(c.table.rows) + 1))
	return suspicionBase + time.Duration(l*float64(suspicionPerLog))
}

func tombstone(m Member) Tombstone {
	return Tombstone{NodeHash: HashNode(m.Node), Incarnation: m.Incarnation, Condition: m.Condition}
}
