package gossiper

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// The pace of the protocol.
const (
	probePeriod     = time.Second
	probeTimeout    = 300 * time.Millisecond
	rumorPeriod     = 200 * time.Millisecond
	suspicionBase   = 2 * time.Second
	suspicionPerLog = time.Second
	// stallBound is the pause between ticks after which a node takes itself
	// for the one that was stopped, and doubts nobody.
	stallBound = 2 * time.Second

	indirectProbes = 3
	rumorFanOut    = 2
	// hintFanOut is how many members hear at once of a new configuration: enough
	// to reach all but one in a thousand when each passes it on.
	hintFanOut = 4
	// rumorBytesPerS and rumorBurst bound what rumors cost, so that the loss of
	// a data centre stays near the budget of control bytes.
	rumorBytesPerS = 800
	rumorBurst     = 4000
	// retransmitFactor times the decimal logarithm of the size is how often a
	// node passes an update on; what that misses the comparison of tables finds.
	retransmitFactor = 4
	deadProbePeriods = 4
	hintDigestBytes  = 8
)

// Outgoing is a packet for an address.
type Outgoing struct {
	Address string
	Packet  Packet
}

// Hint names a member that holds a configuration.
type Hint struct {
	Generation  uint64
	StateDigest [32]byte
	Address     string
}

// probe is a ping that waits for its acknowledgement.
type probe struct {
	node     string
	sent     time.Time
	indirect bool
	// told says that the ping carried the doubt about its member.
	told bool
}

// errand is a ping made for another member.
type errand struct {
	address string
	number  uint64
	sent    time.Time
}

// Core is the protocol without sockets and timers. It does no locking.
type Core struct {
	self  Member
	table table
	queue queue
	rand  *rand.Rand

	number    uint64
	ring      []string
	probes    map[uint64]probe
	errands   map[uint64]errand
	deadlines map[string]time.Time

	// trusted is since when the others have taken this node for alive, and
	// homeSince since when it has offered to be home to a service's keys.
	trusted   time.Time
	homeSince map[string]time.Time

	lastTick  time.Time
	lastProbe time.Time
	lastRumor time.Time
	periods   int

	// quarantine takes in strikes; those that are new are spread.
	quarantine *quarantiner.Quarantine

	rumorBudget *limiter.Bucket

	// first is the incarnation with which this life of the node began, and former
	// the newest record of an earlier one that somebody remembered.
	first  uint64
	former Member

	held        Hint
	best        Hint
	differences differences
}

// NewCore returns a core that is the author of self.
func NewCore(self Member, r *rand.Rand, now time.Time) *Core {
	c := &Core{
		self:        self,
		first:       self.Incarnation,
		rand:        r,
		quarantine:  &quarantiner.Quarantine{},
		rumorBudget: limiter.NewBucket(rumorBytesPerS, rumorBurst),
		probes:      make(map[uint64]probe),
		errands:     make(map[uint64]errand),
		deadlines:   make(map[string]time.Time),
		homeSince:   make(map[string]time.Time),
		trusted:     now,
		lastTick:    now,
		// The first probes of nodes that start together are spread.
		lastProbe: now.Add(-time.Duration(r.Int64N(int64(probePeriod)))),
	}
	c.table.merge(self, now)
	return c
}

// Self returns the node's own record.
func (c *Core) Self() Member {
	return c.self
}

// Author replaces the node's own record under a new incarnation.
func (c *Core) Author(m Member, now time.Time) {
	c.self = m.WithIncarnation(c.self.Incarnation + 1).WithCondition(Alive)
	for _, s := range m.Homes {
		if _, ok := c.homeSince[s]; !ok {
			c.homeSince[s] = now
		}
	}
	c.table.merge(c.self, now)
	c.queue.put(c.self)
}

// Hold notes the configuration that the node itself holds.
func (c *Core) Hold(generation uint64, digest [32]byte) {
	c.held = Hint{Generation: generation, StateDigest: digest}
}

// Strike takes in a strike and spreads it if it is new.
func (c *Core) Strike(s quarantiner.Strike, now time.Time) {
	if c.quarantine.Add(s, now) {
		c.queue.putStrike(s)
	}
}

// Trusted returns since when the others have taken this node for a home of a
// service's keys: since it first offered to be, the end of its latest stall,
// or its latest return from the dead.
func (c *Core) Trusted(service string) time.Time {
	if h := c.homeSince[service]; h.After(c.trusted) {
		return h
	}
	return c.trusted
}

// Best returns the member that was heard of with the highest generation.
func (c *Core) Best() Hint {
	return c.best
}

// Differing returns a member whose table stayed different from this one's.
func (c *Core) Differing() (Member, bool) {
	n, ok := c.differences.member()
	if !ok {
		return Member{}, false
	}
	m, ok := c.table.get(n)
	return m, ok && m.Usable()
}

// Exchanged notes that tables were compared with another member.
func (c *Core) Exchanged() {
	c.differences.clear()
}

// Introduce returns a ping for an address that may belong to a member.
func (c *Core) Introduce(address string) Outgoing {
	p := c.packet(Ping)
	p.Members = append(p.Members, c.self)
	return Outgoing{Address: address, Packet: p}
}

// Merge takes in records from a comparison of tables with a member. Only the
// member's own record is spread further; the others are in other tables too.
func (c *Core) Merge(from string, list []Member, now time.Time) {
	for _, m := range list {
		c.apply(m, m.Node == from, now)
	}
}

// Tick advances the protocol to now.
func (c *Core) Tick(now time.Time) []Outgoing {
	if now.Sub(c.lastTick) > stallBound {
		c.forgive(now)
	}
	c.lastTick = now
	o := c.indirect(now)
	c.expire(now)
	if now.Sub(c.lastProbe) >= probePeriod {
		c.lastProbe = now
		c.table.forget(now)
		o = append(o, c.probe(now)...)
	}
	if c.queue.size() > 0 && now.Sub(c.lastRumor) >= rumorPeriod {
		c.lastRumor = now
		o = append(o, c.rumors(now)...)
	}
	return o
}

// forgive drops everything that ran out while the process stood still.
func (c *Core) forgive(now time.Time) {
	c.trusted = now
	clear(c.probes)
	clear(c.errands)
	for n := range c.deadlines {
		c.deadlines[n] = now.Add(c.suspicion())
	}
}

// indirect asks others to probe members that have not answered in time.
func (c *Core) indirect(now time.Time) []Outgoing {
	var o []Outgoing
	for n, p := range c.probes {
		if p.indirect || now.Sub(p.sent) < probeTimeout {
			continue
		}
		p.indirect = true
		c.probes[n] = p
		m, _ := c.table.get(p.node)
		for _, h := range c.pick(indirectProbes, p.node) {
			q := c.packet(PingRequest)
			q.Number = n
			q.Subject = m.PeerAddress
			o = append(o, c.filled(h, q))
		}
	}
	return o
}

// expire turns unanswered probes into suspicion, and suspicion into death.
func (c *Core) expire(now time.Time) {
	for n, p := range c.probes {
		if now.Sub(p.sent) >= probePeriod {
			delete(c.probes, n)
			c.suspect(p.node, now)
		}
	}
	for n, e := range c.errands {
		if now.Sub(e.sent) >= probePeriod {
			delete(c.errands, n)
		}
	}
	for n, d := range c.deadlines {
		if now.Before(d) {
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

// probe pings the next member, and now and then one that is believed dead,
// so that a healed partition is noticed.
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
		q := c.Introduce(m.PeerAddress)
		q.Packet.Tombstones = append(q.Packet.Tombstones, tombstone(m))
		o = append(o, q)
	}
	return o
}

func (c *Core) ping(m Member, now time.Time) Outgoing {
	p := c.packet(Ping)
	c.probes[p.Number] = probe{node: m.Node, sent: now}
	return c.filled(m, p)
}

// next walks through all usable members in random order.
func (c *Core) next() (Member, bool) {
	for range 2 {
		for len(c.ring) > 0 {
			n := c.ring[len(c.ring)-1]
			c.ring = c.ring[:len(c.ring)-1]
			if m, ok := c.table.get(n); ok && m.Usable() {
				return m, true
			}
		}
		c.refill()
	}
	return Member{}, false
}

func (c *Core) refill() {
	c.ring = c.ring[:0]
	for _, m := range c.table.members() {
		if m.Node != c.self.Node && m.Usable() {
			c.ring = append(c.ring, m.Node)
		}
	}
	c.rand.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
}

// pick draws up to n usable members other than this node and except.
func (c *Core) pick(n int, except string) []Member {
	var l []Member
	seen := 0
	for _, r := range c.table.rows {
		m := r.member
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
	for _, r := range c.table.rows {
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
		q := c.filled(m, c.packet(Rumor))
		c.rumorBudget.Spend(float64(q.Packet.size()))
		o = append(o, q)
	}
	return o
}

// hints returns rumors that only tell of the configuration.
func (c *Core) hints() []Outgoing {
	var o []Outgoing
	for _, m := range c.pick(hintFanOut, "") {
		o = append(o, Outgoing{Address: m.PeerAddress, Packet: c.packet(Rumor)})
	}
	return o
}

func (c *Core) packet(k Kind) Packet {
	c.number++
	p := Packet{
		Kind:        k,
		Number:      c.number,
		From:        c.self.Node,
		Generation:  c.held.Generation,
		TableDigest: c.table.digest(),
	}
	if c.held.Generation > 0 {
		p.StateDigest = slices.Clone(c.held.StateDigest[:hintDigestBytes])
	}
	return p
}

// filled adds queued updates to a packet for m.
func (c *Core) filled(m Member, p Packet) Outgoing {
	c.queue.fill(&p, c.transmissions())
	return Outgoing{Address: m.PeerAddress, Packet: p}
}

func (c *Core) transmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(c.table.rows)+1))))
}

func (c *Core) suspicion() time.Duration {
	l := math.Log10(float64(len(c.table.rows) + 1))
	return suspicionBase + time.Duration(l*float64(suspicionPerLog))
}

func tombstone(m Member) Tombstone {
	return Tombstone{NodeHash: HashNode(m.Node), Incarnation: m.Incarnation, Condition: m.Condition}
}
