package gossiper

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var scaleNodes = flag.Int("scale.nodes", 100, "members of the mesh in TestScale")

const (
	// scaleLoss is the fraction of datagrams that are dropped.
	scaleLoss = 0.01
	// changeLimit is the time within which all members must have a change. It is
	// within the 3 s in which a configuration must be in force in the users' large
	// fleet.
	changeLimit = 3 * time.Second
	// lossLimit is the time within which all members must have detected the loss of
	// a third of the mesh. Until then callers avoid dead nodes because their own
	// calls to them fail.
	lossLimit = 30 * time.Second
)

// scaleNetwork is a simulated network whose cores compare tables like the
// reconciler: every two seconds, a few buckets at a time. It counts the packets and
// bytes sent.
type scaleNetwork struct {
	*network

	order          []string
	compared       map[string]time.Time
	rand           *rand.Rand
	packets, bytes int
}

func newScaleNetwork(n int) *scaleNetwork {
	s := &scaleNetwork{
		network:  &network{now: time.Unix(1_800_000_000, 0), cores: make(map[string]*Core)},
		compared: make(map[string]time.Time),
		rand:     rand.New(rand.NewPCG(7, uint64(n))),
	}
	s.lost = func(string, string) bool { return s.rand.Float64() < scaleLoss }
	var all []Member
	for i := range n {
		a := fmt.Sprintf("n%04d", i)
		all = append(all, Member{
			Node: a, PeerAddress: a, DataCenter: fmt.Sprintf("dc%d", i%5), Incarnation: 1,
			Targets: []Target{{Service: "s", Address: "10.0.0.1:8080", Slots: 8}},
		})
	}
	for i, m := range all {
		s.add(m, all, uint64(i))
	}
	return s
}

func (s *scaleNetwork) add(m Member, known []Member, seed uint64) {
	c := NewCore(m, rand.New(rand.NewPCG(3, seed)), s.now)
	c.MergeTable(known, s.now)
	s.cores[m.Node] = c
	s.compared[m.Node] = s.now.Add(-time.Duration(s.rand.Int64N(int64(exchangePeriod))))
	s.order = slices.Sorted(maps.Keys(s.cores))
}

func (s *scaleNetwork) deliver(from string, list []Outgoing) {
	for _, o := range list {
		b, err := EncodePacket(o.Packet)
		if err != nil {
			panic(err)
		}
		s.packets++
		s.bytes += len(b)
		c, ok := s.cores[o.Address]
		if !ok || s.lost(from, o.Address) {
			continue
		}
		p, err := DecodePacket(b)
		if err != nil {
			panic(err)
		}
		s.deliver(o.Address, c.Receive(from, p, s.now))
	}
}

// until advances the clock until done holds for every running core, at most by d.
// It returns, sorted, the time after which it first held for each core.
func (s *scaleNetwork) until(d time.Duration, done func(c *Core) bool) []time.Duration {
	start := s.now
	var l []time.Duration
	reached := make(map[string]bool)
	for ; s.now.Sub(start) < d && len(reached) < len(s.cores); s.now = s.now.Add(tickPeriod) {
		for _, a := range s.order {
			c := s.cores[a]
			s.deliver(a, c.Tick(s.now))
			s.compare(a, c)
			if !reached[a] && done(c) {
				reached[a] = true
				l = append(l, s.now.Sub(start))
			}
		}
	}
	slices.Sort(l)
	return l
}

func (s *scaleNetwork) compare(a string, c *Core) {
	if s.now.Sub(s.compared[a]) < exchangePeriod {
		return
	}
	s.compared[a] = s.now
	m, ok := c.Differing()
	p := s.cores[m.PeerAddress]
	if !ok || p == nil {
		return
	}
	l := p.table.differing(c.table.buckets[:], s.rand.Perm(BucketCount))
	mine, theirs := c.table.inBuckets(l), p.table.inBuckets(l)
	c.Merge("", theirs, s.now)
	p.Merge("", mine, s.now)
	c.Compared(m.Node)
}

// report logs how long a change took to reach all cores and its traffic per node
// and second, and fails the test if it took longer than bound.
func (s *scaleNetwork) report(t *testing.T, what string, l []time.Duration, bound time.Duration, start time.Time, packets, bytes int) {
	t.Helper()
	if len(l) < len(s.cores) {
		t.Errorf("%s: %d of %d members have it", what, len(l), len(s.cores))
	}
	if len(l) == 0 {
		return
	}
	n := float64(len(s.cores)) * max(s.now.Sub(start).Seconds(), 1)
	t.Logf("%s: p50 %s, p99 %s, last %s; %.1f packets and %.0f bytes a node and second", what,
		l[len(l)/2], l[len(l)*99/100], l[len(l)-1], float64(s.packets-packets)/n, float64(s.bytes-bytes)/n)
	if l[len(l)-1] > bound {
		t.Errorf("%s: the last member had it after %s, expected within %s", what, l[len(l)-1], bound)
	}
}

// TestScale measures how fast changes reach all -scale.nodes members, and their
// traffic, when a target starts draining, when a third of the members fail at once,
// and when half of these restart.
func TestScale(t *testing.T) {
	n := *scaleNodes
	s := newScaleNetwork(n)
	start, packets, bytes := s.now, s.packets, s.bytes
	s.until(5*time.Second, func(*Core) bool { return false })
	k := float64(n) * s.now.Sub(start).Seconds()
	t.Logf("idle: %.1f packets and %.0f bytes a node and second", float64(s.packets-packets)/k, float64(s.bytes-bytes)/k)

	c := s.cores[s.order[n/2]]
	c.UpdateSelf(c.Self().WithTargets([]Target{{Service: "s", Address: "10.0.0.1:8080", Slots: 8, Draining: true, Instance: "i", StartedAtUnixMS: 1}}), s.now)
	changed := c.Self()
	start, packets, bytes = s.now, s.packets, s.bytes
	l := s.until(changeLimit, func(c *Core) bool {
		m, _ := c.table.get(changed.Node)
		return m.Incarnation >= changed.Incarnation
	})
	s.report(t, "a target drains", l, changeLimit, start, packets, bytes)

	gone := slices.Clone(s.order[:n/3])
	for _, a := range gone {
		delete(s.cores, a)
	}
	s.order = slices.Sorted(maps.Keys(s.cores))
	start, packets, bytes = s.now, s.packets, s.bytes
	l = s.until(lossLimit, func(c *Core) bool {
		return !slices.ContainsFunc(gone, func(a string) bool { m, _ := c.table.get(a); return m.Condition != Dead })
	})
	s.report(t, "a third of the members fail", l, lossLimit, start, packets, bytes)

	back := gone[:len(gone)/2]
	peer := s.cores[s.order[0]]
	for i, a := range back {
		s.add(Member{Node: a, PeerAddress: a, DataCenter: "dc0", Incarnation: 1_000}, peer.table.members(), uint64(n+i))
		s.deliver(a, []Outgoing{s.cores[a].PingAddress(s.order[i%len(s.order)], s.now)})
	}
	start, packets, bytes = s.now, s.packets, s.bytes
	l = s.until(lossLimit, func(c *Core) bool {
		return !slices.ContainsFunc(back, func(a string) bool { m, _ := c.table.get(a); return m.Condition != Alive })
	})
	s.report(t, "half of these restart", l, lossLimit, start, packets, bytes)
}

// TestMergeAtScale measures how long two halves of a mesh of -scale.nodes members take to
// merge after one member has sent a packet to one of the other half, and the traffic.
func TestMergeAtScale(t *testing.T) {
	n := *scaleNodes
	s := newScaleNetwork(0)
	var halves [2][]Member
	for i := range n {
		a := fmt.Sprintf("n%04d", i)
		halves[i%2] = append(halves[i%2], Member{
			Node: a, PeerAddress: a, DataCenter: "dc0", Incarnation: 1,
			Targets: []Target{{Service: "s", Address: "10.0.0.1:8080", Slots: 8}},
		})
	}
	for _, h := range halves {
		for i, m := range h {
			s.add(m, h, uint64(i))
		}
	}
	s.until(5*time.Second, func(*Core) bool { return false })
	first, last := s.cores[halves[0][0].Node], halves[1][len(halves[1])-1]
	start, packets, bytes := s.now, s.packets, s.bytes
	s.deliver(first.self.Node, []Outgoing{first.PingAddress(last.PeerAddress, s.now)})
	l := s.until(2*lossLimit, func(c *Core) bool { return len(c.table.rows) == n })
	s.report(t, "two halves merge", l, recoveryLimit, start, packets, bytes)
}
