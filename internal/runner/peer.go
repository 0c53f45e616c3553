package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/syncer"
)

// peerHandler separates calls from control messages.
func (n *Node) peerHandler() http.Handler {
	m := connector.BoundMessages(messenger.NewMeshServer(mesh{n}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(forwarder.HopHeader) == "":
			m.ServeHTTP(w, r)
		case forwarder.ForHome(r.Header):
			meter.Attribute(r.Context(), &n.calls)
			n.entry.ServeHome(w, r)
		default:
			meter.Attribute(r.Context(), &n.calls)
			n.gate.ServeHTTP(w, r)
		}
	})
}

// mesh implements messenger.Mesh for a node.
type mesh struct {
	node *Node
}

// Pull implements messenger.Mesh.
func (m mesh) Pull(ctx context.Context, q *messenger.PullRequest) (*messenger.PullResponse, error) {
	if m.node.stopping.Err() != nil {
		return &messenger.PullResponse{Busy: true}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.node.stopping, cancel)()
	return m.node.server.Pull(ctx, q), nil
}

// Exchange implements messenger.Mesh.
func (m mesh) Exchange(_ context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return m.node.reconciler.Serve(q), nil
}

// Status implements messenger.Mesh.
func (m mesh) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	n := m.node
	c := n.holder.Current()
	s := n.gossiper.Self()
	v := n.gossiper.View()
	r := n.tallier.Sum(c.Generation(), time.Now())
	a := &messenger.StatusResponse{
		Node:            s.Node,
		DataCenter:      s.DataCenter,
		Generation:      c.Generation(),
		Relay:           s.Relay,
		Draining:        n.entry.Draining(),
		Parent:          n.puller.Parent(),
		Tallies:         syncer.WriteTallies(r.Tallies),
		Laggards:        syncer.WriteLaggards(r.Laggards),
		KnownNodes:      uint32(v.Usable()),
		DataCenterNodes: uint32(len(v.DataCenter(s.DataCenter))),
		Rollouts:        n.rolloutMessages(),
	}
	if c != nil {
		a.StateDigest = c.StateDigest[:]
		a.Entries = syncer.WriteEntries(c.State.Entries)
	}
	return a, nil
}
