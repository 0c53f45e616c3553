package gossiper

import (
	"fmt"
	"testing"
	"time"
)

var digest = [32]byte{1, 2, 3}

// TestConfirmationsApplyToTheHeldConfiguration checks which packets confirm the
// configuration that a node holds.
func TestConfirmationsApplyToTheHeldConfiguration(t *testing.T) {
	const age = 300 * time.Millisecond
	other := [32]byte{4}
	tests := []struct {
		name       string
		held       uint64
		generation uint64
		digest     [32]byte
		age        time.Duration
		confirmed  bool
	}{
		{"the same configuration", 7, 7, digest, age, true},
		{"a newer configuration", 7, 8, digest, age, false},
		{"an older configuration", 7, 6, digest, age, false},
		{"another one of the same generation", 7, 7, other, age, false},
		{"a sender that knows nothing", 7, 7, digest, 0, false},
		{"a node without a configuration", 0, 0, [32]byte{}, age, false},
	}
	for _, c := range tests {
		f := newNetwork(2)
		n, m := f.cores["n0"], f.cores["n1"]
		n.SetConfiguration(c.held, digest)
		m.SetConfiguration(c.generation, c.digest)
		if c.age > 0 {
			m.Confirm(f.now.Add(-c.age), f.now)
		}
		f.send("n1", []Outgoing{m.PingAddress("n0", f.now)})
		want := time.Time{}
		if c.confirmed {
			want = f.now.Add(-c.age - hopTime)
		}
		if at := n.confirmation.at; !at.Equal(want) {
			t.Errorf("%s: confirmed at %v, want %v", c.name, at, want)
		}
	}
	f := newNetwork(2)
	n, m := f.cores["n0"], f.cores["n1"]
	n.SetConfiguration(7, digest)
	m.SetConfiguration(8, digest)
	f.send("n1", []Outgoing{m.PingAddress("n0", f.now)})
	m.SetConfiguration(7, digest)
	m.held.Generation = 7
	m.Confirm(f.now, f.now)
	f.send("n1", []Outgoing{m.PingAddress("n0", f.now)})
	if !n.confirmation.at.IsZero() {
		t.Error("a configuration was confirmed although a newer one is known")
	}
}

// TestConfirmationsPassDownTheTree has the root of a tree confirm its configuration
// periodically. Each node must know it to be as new as the root does, but for the hops;
// once the root has failed, confirmations must grow old on every node, also where nodes
// take each other for parents.
func TestConfirmationsPassDownTheTree(t *testing.T) {
	const (
		nodes, fanOut = 20, 3
		period        = 500 * time.Millisecond
	)
	f := newNetwork(nodes)
	f.run(8 * time.Second)
	for i := range nodes {
		c := f.cores[fmt.Sprintf("n%d", i)]
		c.SetConfiguration(7, digest)
		c.confirmation.spacing = period / 2
		c.confirmation.children = func() []string {
			var l []string
			for k := fanOut*i + 1; k <= fanOut*i+fanOut && k < nodes; k++ {
				l = append(l, fmt.Sprintf("n%d", k))
			}
			if i == 2 {
				// The parent of n2's child n8 is also its child.
				l = append(l, "n8", "n0")
			}
			if i == 8 {
				l = append(l, "n2")
			}
			return l
		}
	}
	root := f.cores["n0"]
	oldest := func() time.Duration {
		d := time.Duration(0)
		for _, c := range f.cores {
			d = max(d, f.now.Sub(c.confirmation.at))
		}
		return d
	}
	for range 10 {
		f.send("n0", root.Confirm(f.now, f.now))
		if d := oldest(); d > period/2 {
			t.Errorf("after a confirmation the oldest one is %s old", d)
		}
		f.run(period)
	}
	last := root.confirmation.at
	delete(f.cores, "n0")
	f.run(5 * time.Second)
	for n, c := range f.cores {
		if c.confirmation.at.After(last) {
			t.Errorf("%s was confirmed %s after the root had failed", n, c.confirmation.at.Sub(last))
		}
	}
}
