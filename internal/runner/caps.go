package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/allocator"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// capsPeriod is how often the node looks whether another profile serves it.
const capsPeriod = time.Second

// caps lets the entry use the allocator, on the clock of the aggregator.
type caps struct {
	allocator *allocator.Allocator
	clock     func() time.Time
}

// newCaps returns nil if the settings ask for no caps.
func newCaps(s *configurer.Settings, a *aggregator.Aggregator) *caps {
	if s.UsageWindow <= 0 {
		return nil
	}
	b := allocator.Bounds{Window: s.UsageWindow, Over: s.UsageOver, Slack: s.UsageSlack}
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c := &caps{allocator: allocator.New(b, a, r, a.Now()), clock: a.Now}
	a.Register(c.allocator)
	return c
}

// use returns c for an entry, nil for no caps.
func (c *caps) use() forwarder.Caps {
	if c == nil {
		return nil
	}
	return c
}

// Admit implements forwarder.Caps.
func (c *caps) Admit(workspace string) (time.Duration, bool) {
	return c.allocator.Admit(workspace, c.clock())
}

// GiveBack implements forwarder.Caps.
func (c *caps) GiveBack(workspace string) {
	c.allocator.GiveBack(workspace, c.clock())
}

// Repeat implements forwarder.Caps.
func (c *caps) Repeat(workspace string) {
	c.allocator.Repeat(workspace, c.clock())
}

func (c *caps) counts() allocator.Counts {
	if c == nil {
		return allocator.Counts{}
	}
	return c.allocator.Counts()
}

// configureCaps keeps the caps those of the profile that serves the node.
func (n *Node) configureCaps(ctx context.Context) {
	if n.caps == nil {
		return
	}
	var known uint64
	var profile string
	for ctx.Err() == nil {
		w, cancel := context.WithTimeout(ctx, capsPeriod)
		s := n.holder.Wait(w, known)
		cancel()
		if s == nil || (s.Generation() == known && n.entry.Profile() == profile) {
			continue
		}
		known, profile = s.Generation(), n.entry.Profile()
		var l []router.Workspace
		if p := s.Serving(profile); p != nil {
			l = p.Workspaces
		}
		n.caps.allocator.Configure(l, n.caps.clock())
		klog.InfoS("Caps of workspaces are set", "generation", known, "profile", profile, "active", n.caps.allocator.Active())
	}
}
