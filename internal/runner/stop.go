package runner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/receiver"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// drain tells peers, refuses new work, waits for what is in flight, and leaves.
// While it lingers, the node still takes requests: callers learn of the stop
// from its answers and from where it says whether it is ready.
func (n *Node) drain(abort <-chan struct{}) {
	begun := time.Now()
	l := n.live.Load()
	klog.InfoS("Node is stopping", "node", n.settings.Node, "linger", l.Linger, "bound", l.StopBound)
	ctx, cancel := context.WithTimeout(context.Background(), l.StopBound)
	defer cancel()
	n.group.Go(func() {
		select {
		case <-abort:
			klog.InfoS("Node is asked again to stop and stops at once", "node", n.settings.Node)
			cancel()
		case <-ctx.Done():
		}
	})
	n.entry.Stop()
	// The target beside the node stays in use until nobody sends new requests
	// here: its slots are missed elsewhere.
	sleeper.Sleep(ctx, l.Linger)
	n.entry.Refuse()
	n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithStatus(gossiper.Draining) })
	n.gossiper.BroadcastDeparture()
	n.registrar.Suspend()
	if l.Linger == 0 {
		sleeper.Sleep(ctx, drainGrace)
	}
	n.finish(ctx)
	cancel()
	n.awaitLoops(time.Until(begun.Add(l.StopBound)))
}

// awaitLoops waits until all loops have ended, at most for bound: a loop may
// still wait for a store that does not answer.
func (n *Node) awaitLoops(bound time.Duration) {
	var g grouper.Group
	ended := make(chan struct{})
	g.Go(func() {
		n.group.Wait()
		close(ended)
	})
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		klog.InfoS("Stopping without waiting any longer", "node", n.settings.Node)
	}
}

// finish closes the listeners once nothing is in flight on them. The local listener is
// closed first, while departures can still be recorded and gossiped: a target takes the
// answer there as a confirmation that binds the next process of the node.
func (n *Node) finish(ctx context.Context) {
	n.caller.Stop(ctx)
	n.awaitIdle(ctx)
	n.local.Stop(ctx)
	n.flushDepartures(ctx)
	n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithStatus(gossiper.Left) })
	n.gossiper.BroadcastDeparture()
	n.stop()
	for _, s := range []*receiver.Server{n.peer, n.ready, n.scrape} {
		if s != nil {
			s.Stop(ctx)
		}
	}
}

func (n *Node) awaitIdle(ctx context.Context) {
	for _, t := range n.registrar.List() {
		select {
		case <-t.Gate.Idle():
		case <-ctx.Done():
			return
		}
	}
}
