package runner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// identifyPeriod is the pause between questions to the target, and
	// identifyTries bounds them: by then it has announced itself.
	identifyPeriod = 250 * time.Millisecond
	identifyTries  = 8
	defaultProbed  = 8
	// recallBound is how long a node that starts waits for others before it asks the
	// target: a join takes a few round trips, unless nobody is left.
	recallBound = 500 * time.Millisecond
)

// identify asks the target beside the node who it is when the node starts, so
// that a restarted node need not wait for the target's next announcement.
func (n *Node) identify(ctx context.Context) {
	l := n.live.Load()
	if l.TargetAddress == "" || n.around.Dialect.Self == "" {
		return
	}
	n.awaitJoin(ctx)
	for range identifyTries {
		if !sleeper.Sleep(ctx, identifyPeriod/5) {
			return
		}
		for n.holder.Current() == nil {
			n.holder.Wait(ctx, 0)
			if ctx.Err() != nil {
				return
			}
		}
		if len(n.registrar.List()) > 0 {
			return
		}
		if n.probe(ctx, l.Service, l.TargetAddress) || !sleeper.Sleep(ctx, identifyPeriod) {
			return
		}
	}
}

// awaitJoin leaves others a moment to tell which targets have left.
func (n *Node) awaitJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recallBound)
	defer cancel()
	select {
	case <-n.joined:
	case <-ctx.Done():
	}
}

// probe registers the target as far as it tells, and reports whether it did.
func (n *Node) probe(ctx context.Context, service, address string) bool {
	p := n.holder.Current().Serving(n.entry.Profile())
	if p == nil {
		return false
	}
	s, ok := p.Service(service)
	if !ok || s.HealthPath == "" {
		return false
	}
	a, err := n.gate.Probe(ctx, service, address, s.HealthPath)
	if err != nil {
		klog.InfoS("Target does not say who it is", "target", address, "service", service, "cause", err)
		return false
	}
	if a.Slots == 0 {
		a.Slots = defaultProbed
	}
	if len(n.registrar.List()) > 0 {
		return true
	}
	return n.take(a) == nil
}
