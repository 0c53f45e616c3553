package aggregator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// minTick is the shortest time between two ticks.
const minTick = 10 * time.Millisecond

// Mesh is the membership and its socket.
type Mesh interface {
	View() *gossiper.View
	Send(list []gossiper.Outgoing)
	HandleReports(f func(address string, p gossiper.Packet))
}

// snapshot is what topics may ask for while they are called.
type snapshot struct {
	coverage [Root + 1]float64
	period   [Root + 1]time.Duration
	known    int
	counts   Counts
}

// Aggregator runs the exchange of a node. Topics are called one at a time.
type Aggregator struct {
	mesh  Mesh
	clock *sleeper.Clock

	mu       sync.Mutex
	core     *Core
	snapshot atomic.Pointer[snapshot]
}

// New returns the aggregator of a node.
func New(node string, m Mesh) *Aggregator {
	a := &Aggregator{mesh: m, clock: sleeper.NewClock()}
	a.core = NewCore(node, a.clock.Now())
	a.publish(a.clock.Now())
	return a
}

// Register adds a topic. It is called before Run.
func (a *Aggregator) Register(t Topic) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Register(t)
}

// Now returns the time that topics are called with: the monotonic clock plus the time for
// which the VM was suspended.
func (a *Aggregator) Now() time.Time {
	return a.clock.Now()
}

// Coverage returns the share of the known members whose reports have reached this node
// recently (see Core.Coverage), as of the last report or tick. Topics may call it.
func (a *Aggregator) Coverage(at Tier, _ time.Time) float64 {
	return a.snapshot.Load().coverage[min(at, Root)]
}

// Period returns the time between two reports of a tier.
func (a *Aggregator) Period(from Tier) time.Duration {
	return a.snapshot.Load().period[min(from, Root)]
}

// Known returns the number of members that are alive or were lost recently.
func (a *Aggregator) Known() int {
	return a.snapshot.Load().known
}

// Counts returns the counters.
func (a *Aggregator) Counts() Counts {
	return a.snapshot.Load().counts
}

// Run exchanges reports until ctx is done. Without topics it returns at once.
func (a *Aggregator) Run(ctx context.Context) {
	a.mu.Lock()
	n := len(a.core.topics)
	a.mu.Unlock()
	if n == 0 {
		return
	}
	a.mesh.HandleReports(a.receive)
	for {
		d, list := a.tick()
		a.mesh.Send(list)
		if !sleeper.Sleep(ctx, max(d, minTick)) {
			return
		}
	}
}

func (a *Aggregator) tick() (time.Duration, []gossiper.Outgoing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	// The coverage is published first, since topics ask for it during the tick.
	a.core.update(a.mesh.View(), now)
	a.publish(now)
	before := a.core.counts.PassedOver
	o := a.core.Tick(a.mesh.View(), now)
	a.publish(now)
	if a.core.counts.PassedOver > before {
		klog.InfoS("Silent hub is passed over", "hub", a.core.passed, "for", passOverTime)
	}
	return a.core.Due().Sub(now), o
}

func (a *Aggregator) receive(address string, p gossiper.Packet) {
	a.mesh.Send(a.handle(address, p))
}

func (a *Aggregator) handle(address string, p gossiper.Packet) []gossiper.Outgoing {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.core.count(now)
	a.publish(now)
	return a.core.Receive(address, p, now)
}

// publish stores what topics may ask for.
func (a *Aggregator) publish(now time.Time) {
	s := &snapshot{known: a.core.Known(now), counts: a.core.counts}
	for t := Leaf; t <= Root; t++ {
		s.coverage[t] = a.core.Coverage(t, now)
		s.period[t] = a.core.Period(min(t, Hub))
	}
	a.snapshot.Store(s)
}
