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
	// scaleLoss is the share of datagrams that are lost.
	scaleLoss = 0.01
	// changeBound is the time within which all must know a change: less than the
	// 3 s within which a configuration must be in force in the users' large fleet.
	changeBound = 3 * time.Second
	// lossBound is the time within which all must know that a third has gone; calls
	// avoid dead nodes on their own evidence meanwhile.
	lossBound = 30 * time.Second
)

// scale is a fabric whose tables are compared as over the network: every two
// seconds, a few buckets at a time. It counts what is sent.
type scale struct {
	*fabric

	order          []string
	compared       map[string]time.Time
	rand           *rand.Rand
	packets, bytes int
}

func newScale(n int) *scale {
	s := &scale{
		fabric:   &fabric{now: time.Unix(1_800_000_000, 0), cores: make(map[string]*Core)},
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

func (s *scale) add(m Member, known []Member, seed uint64) {
	c := NewCore(m, rand.New(rand.NewPCG(3, seed)), s.now)
	c.Merge("", known, s.now)
	s.cores[m.Node] = c
	s.compared[m.Node] = s.now.Add(-time.Duration(s.rand.Int64N(int64(exchangePeriod))))
	s.order = slices.Sorted(maps.Keys(s.cores))
}

func (s *scale) deliver(from string, list []Outgoing) {
	for _, o := range list {
		b := EncodePacket(o.Packet)
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

// until advances the clock until done holds for every core that still lives, at
// most for d, and returns when it held for each.
func (s *scale) until(d time.Duration, done func(c *Core) bool) []time.Duration {
	begun := s.now
	var l []time.Duration
	known := make(map[string]bool)
	for ; s.now.Sub(begun) < d && len(known) < len(s.cores); s.now = s.now.Add(tickPeriod) {
		for _, a := range s.order {
			c := s.cores[a]
			s.deliver(a, c.Tick(s.now))
			s.compare(a, c)
			if !known[a] && done(c) {
				known[a] = true
				l = append(l, s.now.Sub(begun))
			}
		}
	}
	slices.Sort(l)
	return l
}

func (s *scale) compare(a string, c *Core) {
	if s.now.Sub(s.compared[a]) < exchangePeriod {
		return
	}
	s.compared[a] = s.now
	m, ok := c.Differing()
	p := s.cores[m.PeerAddress]
	if !ok || p == nil {
		return
	}
	var l []uint32
	for _, i := range s.rand.Perm(BucketCount) {
		if c.table.buckets[i] != p.table.buckets[i] && len(l) < maxBuckets {
			l = append(l, uint32(i))
		}
	}
	mine, theirs := c.table.inBuckets(l), p.table.inBuckets(l)
	c.Merge("", theirs, s.now)
	p.Merge("", mine, s.now)
	c.Exchanged()
}

// report logs when a change was known, and what it cost each node and second.
func (s *scale) report(t *testing.T, what string, l []time.Duration, bound time.Duration, begun time.Time, packets, bytes int) {
	t.Helper()
	if len(l) < len(s.cores) {
		t.Errorf("%s: %d of %d know", what, len(l), len(s.cores))
	}
	if len(l) == 0 {
		return
	}
	n := float64(len(s.cores)) * max(s.now.Sub(begun).Seconds(), 1)
	t.Logf("%s: p50 %s, p99 %s, last %s; %.1f packets and %.0f bytes a node and second", what,
		l[len(l)/2], l[len(l)*99/100], l[len(l)-1], float64(s.packets-packets)/n, float64(s.bytes-bytes)/n)
	if l[len(l)-1] > bound {
		t.Errorf("%s: the last one knew after %s, expected within %s", what, l[len(l)-1], bound)
	}
}

// TestScale measures how the membership fares in a mesh of -scale.nodes members: a
// target begins to drain, a third of the members vanish at once, and half of these
// return with new lives.
func TestScale(t *testing.T) {
	n := *scaleNodes
	s := newScale(n)
	begun, packets, bytes := s.now, s.packets, s.bytes
	s.until(5*time.Second, func(*Core) bool { return false })
	k := float64(n) * s.now.Sub(begun).Seconds()
	t.Logf("idle: %.1f packets and %.0f bytes a node and second", float64(s.packets-packets)/k, float64(s.bytes-bytes)/k)

	c := s.cores[s.order[n/2]]
	c.Author(c.Self().WithTargets([]Target{{Service: "s", Address: "10.0.0.1:8080", Slots: 8, Draining: true, Instance: "i", Born: 1}}), s.now)
	changed := c.Self()
	begun, packets, bytes = s.now, s.packets, s.bytes
	l := s.until(changeBound, func(c *Core) bool {
		m, _ := c.table.get(changed.Node)
		return m.Incarnation >= changed.Incarnation
	})
	s.report(t, "a target drains", l, changeBound, begun, packets, bytes)

	gone := slices.Clone(s.order[:n/3])
	for _, a := range gone {
		delete(s.cores, a)
	}
	s.order = slices.Sorted(maps.Keys(s.cores))
	begun, packets, bytes = s.now, s.packets, s.bytes
	l = s.until(lossBound, func(c *Core) bool {
		return !slices.ContainsFunc(gone, func(a string) bool { m, _ := c.table.get(a); return m.Condition != Dead })
	})
	s.report(t, "a third vanishes", l, lossBound, begun, packets, bytes)

	back := gone[:len(gone)/2]
	peer := s.cores[s.order[0]]
	for i, a := range back {
		s.add(Member{Node: a, PeerAddress: a, DataCenter: "dc0", Incarnation: 1_000}, peer.table.members(), uint64(n+i))
		s.deliver(a, []Outgoing{s.cores[a].Introduce(s.order[i%len(s.order)])})
	}
	begun, packets, bytes = s.now, s.packets, s.bytes
	l = s.until(lossBound, func(c *Core) bool {
		return !slices.ContainsFunc(back, func(a string) bool { m, _ := c.table.get(a); return m.Condition != Alive })
	})
	s.report(t, "half of them return", l, lossBound, begun, packets, bytes)
}
