package syncer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// snapshots returns a history of n generations of two profiles.
func snapshots(t *testing.T, n int) []*holder.Snapshot {
	t.Helper()
	var l []*holder.Snapshot
	var s accepter.State
	var last *holder.Snapshot
	for i := range n {
		p := router.Profile{Name: fmt.Sprintf("p%d", i%2), Description: fmt.Sprint(i)}
		for k := range 20 {
			p = p.WithService(router.Service{Name: fmt.Sprintf("s%d", k), Timeout: 5e9,
				Retry:     router.RetryPolicy{MaxAttempts: 1 + i%3},
				Limits:    router.Limits{Slots: 1, Connections: 1},
				KeyWindow: 6e10})
		}
		p = p.WithRoute(router.Route{Name: "r", PathPrefix: "/", Destinations: []router.Destination{{Service: "s0", Weight: 1}}})
		b := holder.NewProfile(encoder.HashProfile(p))
		s = s.WithOperation(accepter.Operation{ID: fmt.Sprint(i), Kind: accepter.Promote, Profile: p.Name, Version: uint64(i), Digest: b.Digest})
		c, err := holder.NewSnapshot(s, last, []*holder.Profile{b})
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, c)
		last = c
	}
	return l
}

func TestComposeAssembleRoundTrip(t *testing.T) {
	l := append([]*holder.Snapshot{nil}, snapshots(t, 6)...)
	for i, base := range l {
		for _, target := range l[i+1:] {
			s, b, err := Assemble(base, Compose(base, target))
			if err != nil {
				t.Fatalf("%d to %d: %v", base.Generation(), target.Generation(), err)
			}
			c, err := holder.NewSnapshot(s, base, b)
			if err != nil || c.StateDigest != target.StateDigest {
				t.Errorf("%d to %d: %v", base.Generation(), target.Generation(), err)
			}
		}
	}
}

func TestAssembleRefusesInvalidResponses(t *testing.T) {
	l := snapshots(t, 4)
	if _, _, err := Assemble(l[1], Compose(l[0], l[3])); err == nil {
		t.Error("a delta from another generation was accepted")
	}
	a := Compose(nil, l[0])
	a.Bodies[0].Whole = a.Bodies[0].Whole[:len(a.Bodies[0].Whole)/2]
	if _, _, err := Assemble(nil, a); err == nil {
		t.Error("a truncated body was accepted")
	}
	a = Compose(nil, l[0])
	a.Bodies[0].Whole = Compose(nil, l[2]).GetBodies()[0].GetWhole()
	if _, _, err := Assemble(nil, a); err == nil {
		t.Error("a valid body with another digest was accepted")
	}
	a = Compose(nil, l[0])
	a.Entries[0].Version++
	if _, _, err := Assemble(nil, a); err == nil {
		t.Error("a state with another digest was accepted")
	}
}

// preferredParents maps every node that is not a relay to its preferred parent.
func preferredParents(n, relays, fanOut int) map[string]string {
	var l []gossiper.Member
	for i := range n {
		l = append(l, gossiper.Member{Node: fmt.Sprintf("node-%d", i), PeerAddress: "x", DataCenter: "a", Relay: i < relays})
	}
	v := gossiper.NewView(l)
	p := make(map[string]string)
	r := rand.New(rand.NewPCG(1, 2))
	for _, m := range l[relays:] {
		if c := CandidateParents(v, m, fanOut, r); len(c) > 0 {
			p[m.Node] = c[0].Node
		}
	}
	return p
}

func TestTreeDepthAndFanOut(t *testing.T) {
	tests := []struct {
		nodes, relays, fanOut, depth int
	}{
		{10, 3, 8, 1},
		{443, 3, 8, 3},
		{443, 1, 8, 3},
		{2000, 3, 4, 6},
	}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%d nodes", c.nodes), func(t *testing.T) {
			p := preferredParents(c.nodes, c.relays, c.fanOut)
			if len(p) != c.nodes-c.relays {
				t.Fatalf("%d of %d nodes have a parent", len(p), c.nodes-c.relays)
			}
			children := make(map[string]int)
			for n := range p {
				children[p[n]]++
				d := 0
				for m := n; p[m] != ""; m = p[m] {
					if d++; d > c.depth {
						t.Fatalf("%s is deeper than %d", n, c.depth)
					}
				}
			}
			for n, k := range children {
				if k > c.fanOut {
					t.Errorf("%s has %d children", n, k)
				}
			}
		})
	}
}
