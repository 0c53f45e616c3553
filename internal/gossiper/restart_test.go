package gossiper

import (
	"context"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// served is a peer whose reconciler is called without a network.
type served struct {
	messenger.Mesh

	reconciler *Reconciler
}

func (s served) Exchange(_ context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return s.reconciler.Serve(q), nil
}

// TestRestartedNodeLearnsOfItsEarlierLife restarts a node, also on a VM whose time of
// day has gone back or forward meanwhile, and lets it join through a peer.
func TestRestartedNodeLearnsOfItsEarlierLife(t *testing.T) {
	const former = 1_800_000_000_000
	tests := []struct {
		name        string
		incarnation uint64
	}{
		{"the time of day went on", former + 5_000},
		{"it went back an hour", former - 3_600_000},
		{"it went forward an hour", former + 3_600_000},
	}
	left := Target{Service: "s", Address: "10.0.0.1:80", Draining: true, Instance: "i", Born: 7}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var m meter.Traffic
			peer := New(Member{Node: "peer", PeerAddress: "p", Incarnation: 1}, nil, &m)
			there := NewReconciler(peer, nil)
			earlier := Member{Node: "n", PeerAddress: "a", Incarnation: former, Targets: []Target{left}}
			there.take("n", WriteMembers([]Member{earlier}))
			g := New(Member{Node: "n", PeerAddress: "a", Incarnation: c.incarnation}, nil, &m)
			r := NewReconciler(g, func(string) messenger.Mesh { return served{reconciler: there} })
			if ok, err := r.Exchange(t.Context(), "p", true); !ok || err != nil {
				t.Fatalf("not joined: %v", err)
			}
			if f := g.Former(); len(f) != 1 || f[0] != left {
				t.Errorf("the earlier life had the targets %v", f)
			}
			self := g.Self()
			there.take("n", WriteMembers([]Member{self}))
			if k, _ := peer.core.table.get("n"); k.Incarnation != self.Incarnation || len(k.Targets) != 0 || k.Condition != Alive {
				t.Errorf("the peer holds incarnation %d with %d targets, the node is at %d", k.Incarnation, len(k.Targets), self.Incarnation)
			}
		})
	}
}
