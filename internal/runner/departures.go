package runner

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
)

const (
	// departureWait is below the time within which targets expect an answer.
	departureWait = 600 * time.Millisecond
	// flushWait is how much longer a planned stop may take for departures that the store
	// lacks. It leaves the rest of the stop the time that it needs within the users' bound.
	flushWait = time.Second
)

// Announce takes the announcement of the target beside this node. One of a
// service that the settings do not name is refused. That a target leaves is confirmed as
// Depart does.
func (n *Node) Announce(a registrar.Announcement) error {
	l := n.live.Load()
	if s := l.Service; s != "" && a.Service != s {
		klog.InfoS("Announcement refused", "target", a.Address, "service", a.Service, "expected", s)
		return fmt.Errorf("service %q is not the one beside node %s", a.Service, n.settings.Node)
	}
	if t := l.TargetAddress; t != "" {
		// Only this address can be reached from here.
		a.Address = t
	}
	if err := n.take(a); err != nil {
		return err
	}
	if t, ok := n.registrar.Leaving(a.Address, a.Instance); ok {
		return n.record(t)
	}
	return nil
}

// Depart closes the gate of a target that leaves. An error means that the departure is not
// confirmed: the node is stopping and could not record it.
func (n *Node) Depart(instance string) error {
	t, known := n.registrar.RecordDeparture(instance, time.Now())
	klog.InfoS("Target leaves", "instance", instance, "known", known)
	if known {
		return n.record(t)
	}
	return nil
}

// record waits until the store has the departure of a target, so that no node uses the
// target again after this node has confirmed that it leaves. A running node confirms it
// without the store, since it remembers the departure itself. A stopping node does not.
func (n *Node) record(t gossiper.Target) error {
	ctx, cancel := context.WithTimeout(n.stopping, departureWait)
	defer cancel()
	if n.recorder.Record(ctx, t) {
		return nil
	}
	klog.InfoS("Departure is not recorded yet", "target", t.Address, "service", t.Service, "instance", t.Instance)
	if !n.entry.Draining() {
		return nil
	}
	return classifier.Error(classifier.Unavailable, classifier.MayHaveRun,
		"node %s is stopping and has not recorded the departure of instance %q", n.settings.Node, t.Instance)
}

// flushDepartures waits until the store has every departure that was confirmed without it.
func (n *Node) flushDepartures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushWait)
	defer cancel()
	if !n.recorder.Flush(ctx) {
		klog.InfoS("Node stops with departures that are not recorded", "node", n.settings.Node)
	}
}

// recall keeps targets out of use that left an earlier life of this node.
func (n *Node) recall() {
	f := n.gossiper.PreviousTargets()
	if len(f) == 0 {
		return
	}
	n.restoreDepartures(f)
}

// restoreDepartures keeps targets out of use that left an earlier process of this node.
func (n *Node) restoreDepartures(l []gossiper.Target) {
	n.registrar.RestoreDepartures(l, time.Now())
	for _, t := range l {
		klog.InfoS("Target of an earlier life of the node", "target", t.Address, "service", t.Service, "instance", t.Instance, "leaving", t.Draining)
	}
}
