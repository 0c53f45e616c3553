package runner

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/stager"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	decisionPeriod = 100 * time.Millisecond
	// orderPeriod is how often the deciding node reads the orders.
	orderPeriod = time.Second
)

// RolloutFormat is where orders of roll-outs and their states lie in the store, and how
// they are written.
type RolloutFormat struct {
	OrderPrefix  string
	StatusPrefix string
	DecodeOrder  func(data []byte) (stager.Order, error)
	DecodeStatus func(data []byte) (stager.Status, error)
	EncodeStatus func(s stager.Status) ([]byte, error)
}

func (n *Node) buildRollouts() {
	if !n.settings.Rollouts {
		return
	}
	n.registrar.Versions = true
	n.stager = stager.New(stager.Options{
		Bounds:   n.settings.RolloutBounds,
		Now:      n.aggregator.Now,
		View:     n.gossiper.View,
		Cold:     n.coldTarget,
		Coverage: func(now time.Time) float64 { return n.aggregator.Coverage(aggregator.Root, now) },
	})
	n.aggregator.Register(n.stager)
}

func (n *Node) startRollouts() {
	if n.stager == nil {
		return
	}
	n.group.Loop(n.stopping, n.decideRollouts)
	n.group.Loop(n.stopping, n.readOrders)
}

// coldTarget reports whether a target beside this node has just started.
func (n *Node) coldTarget(service, version string) bool {
	now := time.Now()
	for _, t := range n.registrar.List() {
		if t.Service == service && t.Version == version && now.Before(t.ColdUntil) {
			return true
		}
	}
	return false
}

// decides reports whether this node decides on roll-outs: hubs report to it, or none has
// anything to report and it is the one that they would report to.
func (n *Node) decides() bool {
	if n.stager.Leading(n.aggregator.Now()) {
		return true
	}
	self := gossiper.HashNode(n.settings.Node)
	for _, m := range n.gossiper.View().Members {
		if m.Usable() && gossiper.HashNode(m.Node) < self {
			return false
		}
	}
	return true
}

func (n *Node) decideRollouts(ctx context.Context) {
	t := time.NewTicker(decisionPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if !n.decides() {
			continue
		}
		now := n.aggregator.Now()
		for _, w := range n.stager.Step(now) {
			n.group.Go(func() { n.writeStatus(ctx, w) })
		}
		for _, s := range n.stager.Unread(now) {
			n.group.Go(func() { n.readStatus(ctx, s) })
		}
	}
}

// readOrders reads the orders while this node decides.
func (n *Node) readOrders(ctx context.Context) {
	t := time.NewTicker(orderPeriod)
	defer t.Stop()
	reported := make(map[string]uint64)
	ctx = storer.WithPurpose(ctx, storer.ForRollouts)
	for {
		if n.decides() {
			n.listOrders(ctx, reported)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// listOrders reads the orders once. Reported holds the revisions of the unusable ones that
// were logged.
func (n *Node) listOrders(ctx context.Context, reported map[string]uint64) {
	f := n.around.Rollouts
	asked := n.aggregator.Now()
	items, err := n.store.List(ctx, f.OrderPrefix, storer.Current)
	if err != nil {
		klog.V(1).InfoS("Orders of roll-outs cannot be read", "cause", err)
		return
	}
	var l []stager.Order
	for _, i := range items {
		o, err := f.DecodeOrder(i.Value.Data)
		o.Revision = i.Value.Revision
		if err == nil && o.Service == strings.TrimPrefix(i.Key, f.OrderPrefix) {
			l = append(l, o)
			continue
		}
		if reported[i.Key] != i.Value.Revision {
			reported[i.Key] = i.Value.Revision
			klog.InfoS("Order of a roll-out is not usable", "key", i.Key, "revision", i.Value.Revision, "cause", err)
		}
	}
	n.stager.SetOrders(l, asked)
}

func (n *Node) readStatus(ctx context.Context, service string) {
	f := n.around.Rollouts
	v, err := n.store.Get(storer.WithPurpose(ctx, storer.ForRollouts), f.StatusPrefix+service)
	if err != nil && !classifier.Is(err, classifier.NotFound) {
		klog.InfoS("State of a roll-out cannot be read", "service", service, "cause", err)
		return
	}
	var s stager.Status
	if err == nil {
		if s, err = f.DecodeStatus(v.Data); err != nil {
			// What cannot be read is overwritten, under the revision that was read.
			klog.InfoS("State of a roll-out is not usable", "service", service, "cause", err)
		}
	}
	s.Service, s.Revision = service, v.Revision
	n.stager.Read(s, n.aggregator.Now())
}

func (n *Node) writeStatus(ctx context.Context, w stager.Write) {
	f := n.around.Rollouts
	b, err := f.EncodeStatus(w.Status)
	var r uint64
	if err == nil {
		r, err = n.store.Put(storer.WithPurpose(ctx, storer.ForRollouts), f.StatusPrefix+w.Service, b, w.Revision, 0)
	}
	klog.InfoS("State of a roll-out written", "service", w.Service, "version", w.Version, "state", w.Phase, "order", w.Order, "revision", r, "err", err)
	if err != nil {
		n.stager.Failed(w, n.aggregator.Now())
		return
	}
	n.stager.Written(w, r)
}

func (n *Node) countVersions(yield func(value uint64, labels map[string]string)) {
	n.stager.Count(func(service, version string, t stager.Totals) {
		yield(t.Sent-t.Failed, map[string]string{"service": service, "version": version, "outcome": "answered"})
		yield(t.Failed, map[string]string{"service": service, "version": version, "outcome": "failed"})
	})
}

// rolloutMessages returns what the node knows of roll-outs for the status command.
func (n *Node) rolloutMessages() []*messenger.Rollout {
	var l []*messenger.Rollout
	for _, s := range n.stager.Summaries() {
		l = append(l, &messenger.Rollout{
			Service: s.Service, Version: s.Version, State: s.Phase.String(), SharePermille: s.SharePermille,
			Requests: s.Requests, Exposed: s.Exposed, Evidence: uint32(s.Evidence), Support: uint32(s.Support),
			Revision: s.Revision, AgeMs: uint32(s.Age.Milliseconds()),
		})
	}
	return l
}
