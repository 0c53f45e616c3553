package gossiper

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seeds is the number of seeds for tests that try many.
var seeds = flag.Uint64("gossiper.seeds", 50, "number of seeds")

// network delivers packets between cores on a clock that the test advances.
type network struct {
	now   time.Time
	cores map[string]*Core
	// lost reports whether a packet between two addresses is dropped.
	lost func(from, to string) bool
}

func newNetwork(n int) *network { return newSplitNetwork(n, n, 1) }

// newSplitNetwork returns a network of n cores in two parts, the first few cores and
// the rest, whose members know only members of their own part. Equal seeds give equal
// runs.
func newSplitNetwork(n, few int, seed uint64) *network {
	f := &network{now: time.Unix(1_800_000_000, 0), cores: make(map[string]*Core), lost: func(string, string) bool { return false }}
	for i := range n {
		a := fmt.Sprintf("n%d", i)
		m := Member{Node: a, PeerAddress: a, DataCenter: "amman-a", Incarnation: 1}
		f.cores[a] = NewCore(m, rand.New(rand.NewPCG(seed, uint64(i))), f.now)
	}
	for i := range n {
		a, to := fmt.Sprintf("n%d", i), "n0"
		if i >= few {
			to = fmt.Sprintf("n%d", n-1)
		}
		if a != to {
			f.send(a, []Outgoing{f.cores[a].PingAddress(to, f.now)})
		}
	}
	return f
}

func (f *network) send(from string, list []Outgoing) {
	for _, o := range list {
		c, ok := f.cores[o.Address]
		if !ok || f.lost(from, o.Address) {
			continue
		}
		b, err := EncodePacket(o.Packet)
		if err != nil {
			panic(err)
		}
		p, err := DecodePacket(b)
		if err != nil {
			panic(err)
		}
		f.send(o.Address, c.Receive(from, p, f.now))
	}
}

// run advances the clock by d and compares tables like the reconciler.
func (f *network) run(d time.Duration) {
	for e := f.now.Add(d); f.now.Before(e); f.now = f.now.Add(tickPeriod) {
		for _, a := range slices.Sorted(maps.Keys(f.cores)) {
			c := f.cores[a]
			f.send(a, c.Tick(f.now))
			if m, ok := c.Differing(); ok && f.cores[m.PeerAddress] != nil && !f.lost(a, m.PeerAddress) {
				p := f.cores[m.PeerAddress]
				c.Merge(m.Node, p.table.members(), f.now)
				p.Merge(a, c.table.members(), f.now)
				c.Compared(m.Node)
			}
		}
	}
}

// countCondition returns the number of other cores that have node in condition d.
func (f *network) countCondition(node string, d Condition) int {
	n := 0
	for a, c := range f.cores {
		if m, ok := c.table.get(node); ok && a != node && m.Condition == d {
			n++
		}
	}
	return n
}

func TestAllMembersDetectDeath(t *testing.T) {
	f := newNetwork(20)
	f.run(10 * time.Second)
	if n := f.countCondition("n7", Alive); n != 19 {
		t.Fatalf("%d of 19 have n7 as alive", n)
	}
	delete(f.cores, "n7")
	f.run(12 * time.Second)
	if n := f.countCondition("n7", Dead); n != 19 {
		t.Errorf("%d of 19 have n7 as dead after 12 s", n)
	}
	if n := f.countCondition("n8", Alive); n != 18 {
		t.Errorf("%d of 18 have n8 as alive", n)
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newNetwork(12)
	f.run(8 * time.Second)
	side := func(a string) bool { return len(a) == 2 && a < "n6" }
	f.lost = func(a, b string) bool { return side(a) != side(b) }
	f.run(20 * time.Second)
	if n := f.countCondition("n1", Dead); n != 6 {
		t.Fatalf("%d of 6 in the other partition have n1 as dead", n)
	}
	f.lost = func(string, string) bool { return false }
	f.run(30 * time.Second)
	for i := range 12 {
		a := fmt.Sprintf("n%d", i)
		if n := f.countCondition(a, Alive); n != 11 {
			t.Errorf("%d of 11 have %s as alive after the partition healed", n, a)
		}
	}
}

// recoveryLimit is the longest time that users accept for the recovery of a mesh.
const recoveryLimit = 15 * time.Second

// TestSplitMeshMergesAfterOneIntroduction checks that two parts of a mesh merge when
// one member learns of one member of the other part. Parts that do not know each
// other arise when all nodes and the store were down. Most acks a member gets come
// from its own part and report equal tables, which can hide the difference.
func TestSplitMeshMergesAfterOneIntroduction(t *testing.T) {
	tests := []struct{ size, island int }{{5, 2}, {5, 1}, {12, 2}, {12, 5}}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%d of %d", c.island, c.size), func(t *testing.T) {
			for seed := range *seeds {
				f := newSplitNetwork(c.size, c.island, seed)
				f.run(3 * time.Second)
				last := fmt.Sprintf("n%d", c.size-1)
				f.send("n0", []Outgoing{f.cores["n0"].PingAddress(last, f.now)})
				f.run(recoveryLimit)
				for i := range c.size {
					a := fmt.Sprintf("n%d", i)
					if n := f.countCondition(a, Alive); n != c.size-1 {
						t.Errorf("seed %d: %d of %d have %s as alive", seed, n, c.size-1, a)
					}
				}
			}
		})
	}
}

func TestSuspicionIsRefuted(t *testing.T) {
	f := newNetwork(8)
	f.run(5 * time.Second)
	// n3 is unreachable for less than the suspicion timeout.
	f.lost = func(a, b string) bool { return a == "n3" || b == "n3" }
	f.run(2 * time.Second)
	f.lost = func(string, string) bool { return false }
	f.run(8 * time.Second)
	if n := f.countCondition("n3", Alive); n != 7 {
		t.Errorf("%d of 7 have n3 as alive", n)
	}
	if n := f.countCondition("n3", Dead); n != 0 {
		t.Errorf("%d have n3 as dead", n)
	}
}

func TestStalledNodeSuspectsNoMember(t *testing.T) {
	f := newNetwork(8)
	f.run(5 * time.Second)
	c := f.cores["n3"]
	f.send("n3", c.probe(f.now))
	c.probes[9999] = probe{node: "n4", sent: f.now}
	f.now = f.now.Add(time.Minute)
	f.send("n3", c.Tick(f.now))
	if m, _ := c.table.get("n4"); m.Condition != Alive {
		t.Errorf("n4 is %s on the node that was paused", m.Condition)
	}
	if !c.HomeSince("any").Equal(f.now) {
		t.Errorf("the stall was not detected: alive since %s", c.HomeSince("any"))
	}
}

func members(t *rapid.T) []Member {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
		return Member{
			Node:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
			PeerAddress: "x",
			Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
			Condition:   Condition(rapid.IntRange(0, 2).Draw(t, "condition")),
		}
	}), 0, 20).Draw(t, "members")
}

func TestMergeCommutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := members(t)
		now := time.Unix(0, 0)
		var a, b table
		for _, m := range l {
			a.merge(m, now)
		}
		for _, i := range rapid.Permutation(l).Draw(t, "order") {
			b.merge(i, now)
			b.merge(i, now)
		}
		if a.digest() != b.digest() || fmt.Sprint(a.members()) != fmt.Sprint(b.members()) {
			t.Fatalf("%v\nand\n%v", a.members(), b.members())
		}
	})
}

func FuzzDecodePacket(f *testing.F) {
	c := newNetwork(2).cores["n1"]
	b, err := EncodePacket(c.PingAddress("n0", time.Unix(1_800_000_000, 0)).Packet)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePacket(data)
		if err != nil {
			return
		}
		c := newNetwork(2).cores["n0"]
		for _, o := range c.Receive("n1", p, time.Unix(1_800_000_001, 0)) {
			if _, err := EncodePacket(o.Packet); err != nil {
				t.Error(err)
			}
		}
	})
}
