package runner

import (
	"context"
	"iter"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/loadsharer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// slowdownPeriod is how often the node looks for busy targets whose slowdown it does not
// know. A target is asked at most ten times a second. While no target states its slowdown,
// the node looks every idleSlowdownPeriod, since each wake-up costs processor time.
const (
	slowdownPeriod     = 50 * time.Millisecond
	idleSlowdownPeriod = time.Second
)

// buildLoads prepares the exchange of loads. The aggregator carries it as topic 3.
func (n *Node) buildLoads() {
	n.loads = &loadsharer.Sharer{
		Enabled:   n.sharesLoads,
		Own:       n.gate.Loads,
		Asking:    n.entry.Placing,
		Addresses: n.targetAddresses,
		Learned:   n.entry.Observe,
	}
	n.aggregator.Register(n.loads)
}

// sharesLoads reports whether the node takes part in the exchange of loads: the settings
// or the configuration ask for it, or targets state their slowdown.
func (n *Node) sharesLoads(now time.Time) bool {
	return n.settings.ShareLoads || n.gate.StatesSlowdown(now) || n.entry.HeardSlowdown(now) ||
		n.hasWorkspaces()
}

// hasWorkspaces reports whether the configuration in force holds workspaces.
func (n *Node) hasWorkspaces() bool {
	p := n.holder.Current().Serving(n.entry.Profile())
	return p != nil && p.Keys.Required()
}

func (n *Node) targetAddresses() iter.Seq[string] {
	v := n.gossiper.View()
	return func(yield func(string) bool) {
		for _, m := range v.Members {
			for _, t := range m.Targets {
				if !yield(t.Address) {
					return
				}
			}
		}
	}
}

// refreshSlowdowns asks busy targets that state their slowdown for it, as long as they
// have not done so just now.
func (n *Node) refreshSlowdowns(ctx context.Context) {
	states, hears := false, false
	for d := idleSlowdownPeriod; sleeper.Sleep(ctx, d); {
		now := time.Now()
		if s, h := n.sharesLoads(now), n.entry.SharesLoads(now); s != states || h != hears {
			states, hears = s, h
			n.entry.ShareLoads(s)
			klog.InfoS("Exchange of loads", "states", states, "hears", hears)
		}
		d = idleSlowdownPeriod
		if n.gate.StatesSlowdown(now) {
			d = slowdownPeriod
		}
		n.loadProbes.Add(uint64(n.gate.RefreshSlowdowns(ctx, n.healthPath)))
	}
}

// healthPath returns the path of the health check of a service, or "" if it has none.
func (n *Node) healthPath(service string) string {
	p := n.holder.Current().Serving(n.entry.Profile())
	if p == nil {
		return ""
	}
	s, _ := p.Service(service)
	return s.HealthPath
}
