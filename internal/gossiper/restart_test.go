package gossiper

import (
	"context"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// localPeer is a peer whose reconciler is called directly, without a network.
type localPeer struct {
	messenger.Mesh

	reconciler *Reconciler
}

func (s localPeer) Exchange(_ context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return s.reconciler.Serve(q), nil
}

// TestRestartedNodeGetsRecordOfEarlierProcess checks that a restarted node gets the
// targets of its earlier process from a peer and replaces its record there, even
// if the VM's clock was set back or forward in between.
func TestRestartedNodeGetsRecordOfEarlierProcess(t *testing.T) {
	const former = 1_800_000_000_000
	tests := []struct {
		name        string
		incarnation uint64
	}{
		{"the clock went on", former + 5_000},
		{"the clock went back an hour", former - 3_600_000},
		{"the clock went forward an hour", former + 3_600_000},
	}
	left := Target{Service: "s", Address: "10.0.0.1:80", Draining: true, Instance: "i", StartedAtUnixMS: 7}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var m meter.Traffic
			peer := New(Member{Node: "peer", PeerAddress: "p", Incarnation: 1}, nil, &m)
			peerReconciler := NewReconciler(peer, nil)
			earlier := Member{Node: "n", PeerAddress: "a", Incarnation: former, Targets: []Target{left}}
			peerReconciler.mergeRecords("n", WriteMembers([]Member{earlier}), false)
			g := New(Member{Node: "n", PeerAddress: "a", Incarnation: c.incarnation}, nil, &m)
			r := NewReconciler(g, func(string) messenger.Mesh { return localPeer{reconciler: peerReconciler} })
			if ok, err := r.Exchange(t.Context(), "p", true); !ok || err != nil {
				t.Fatalf("not joined: %v", err)
			}
			if f := g.PreviousTargets(); len(f) != 1 || f[0] != left {
				t.Errorf("got targets %v of the earlier process", f)
			}
			self := g.Self()
			peerReconciler.mergeRecords("n", WriteMembers([]Member{self}), false)
			if k, _ := peer.core.table.get("n"); k.Incarnation != self.Incarnation || len(k.Targets) != 0 || k.Condition != Alive {
				t.Errorf("the peer has incarnation %d with %d targets, the node has incarnation %d", k.Incarnation, len(k.Targets), self.Incarnation)
			}
		})
	}
}

// TestJoiningNodeLearnsOfMembersThatJoinMeanwhile checks that a node that joins gets
// the records of nodes that join at the same time through others, even if all rumors
// about them passed before anyone knew the node.
func TestJoiningNodeLearnsOfMembersThatJoinMeanwhile(t *testing.T) {
	var m meter.Traffic
	peer := New(Member{Node: "peer", PeerAddress: "p", Incarnation: 1}, nil, &m)
	peerReconciler := NewReconciler(peer, nil)
	g := New(Member{Node: "n", PeerAddress: "a", Incarnation: 1}, nil, &m)
	r := NewReconciler(g, func(string) messenger.Mesh { return localPeer{reconciler: peerReconciler} })
	if ok, err := r.Exchange(t.Context(), "p", true); !ok || err != nil {
		t.Fatalf("not joined: %v", err)
	}
	peerReconciler.mergeRecords("", WriteMembers([]Member{{Node: "other", PeerAddress: "o", Incarnation: 1}}), false)
	r.compare(t.Context())
	if _, ok := g.core.table.get("other"); !ok {
		t.Error("the node does not know the member that joined meanwhile")
	}
}
