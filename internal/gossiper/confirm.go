package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/confirmer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// askCheckPeriod is the interval at which the node checks whether a question is due.
const askCheckPeriod = 100 * time.Millisecond

// confirmationWait lets callers wait for confirmations.
type confirmationWait struct {
	changed chan struct{}
}

// ProveConfirmations makes the node count only those confirmations of other nodes that
// answer its own questions. Confirmations that come with gossip do not count: their age
// is understated by the time that they wait on the way. A node expects a confirmation
// within the given time, and passes on those that are newer by spacing.
func (g *Gossiper) ProveConfirmations(spacing, within time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proofs = confirmer.New(spacing, within)
}

// AskParent asks the node at the address that parent returns for confirmations until ctx
// is done.
func (g *Gossiper) AskParent(ctx context.Context, parent func() string) {
	for sleeper.Sleep(ctx, askCheckPeriod) {
		p := parent()
		g.mu.Lock()
		o := g.proofs.Ask(p, rand.Uint64(), sleeper.Now())
		g.mu.Unlock()
		g.sendMessages(o)
	}
}

// Orphaned reports whether no parent answers the node's questions.
func (g *Gossiper) Orphaned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proofs == nil || g.proofs.Orphaned(sleeper.Now())
}

// ConfirmedAt returns the last time, on the clock of sleeper.Now, at which this node's
// configuration is known to have been the newest one in the store.
func (g *Gossiper) ConfirmedAt() time.Time {
	if t := g.confirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// AwaitConfirmed waits until the configuration is confirmed as of the time t or later. It
// returns false when ctx is done.
func (g *Gossiper) AwaitConfirmed(ctx context.Context, t time.Time) bool {
	for {
		g.mu.Lock()
		if g.confirmations.changed == nil {
			g.confirmations.changed = make(chan struct{})
		}
		c := g.confirmations.changed
		g.mu.Unlock()
		if !g.ConfirmedAt().Before(t) {
			return true
		}
		select {
		case <-c:
		case <-ctx.Done():
			return false
		}
	}
}

// noteConfirmation publishes the last confirmation. The caller holds the lock.
func (g *Gossiper) noteConfirmation() {
	t := g.core.confirmation.at
	if g.proofs != nil {
		t = g.proofs.ConfirmedAt()
	}
	if t.IsZero() || t.Equal(g.ConfirmedAt()) {
		return
	}
	g.confirmedAt.Store(&t)
	if g.confirmations.changed != nil {
		close(g.confirmations.changed)
		g.confirmations.changed = nil
	}
}

// confirmProved records a confirmation by this node's own read of the store.
func (g *Gossiper) confirmProved(generation uint64, digest [32]byte, at time.Time) {
	g.mu.Lock()
	h := confirmer.NewConfiguration(generation, digest)
	now := sleeper.Now()
	o := append(g.proofs.Hold(h, now), g.proofs.Confirm(h, at, now)...)
	g.noteConfirmation()
	g.mu.Unlock()
	g.sendMessages(o)
}

// receiveMessage handles a datagram of the confirmer.
func (g *Gossiper) receiveMessage(address string, data []byte) {
	// The clock is read before the lock is waited for, and after the datagram arrived.
	now := sleeper.Now()
	m, ok := confirmer.Decode(data)
	if !ok {
		klog.V(1).Infof(logPrefix+"Dropped a confirmation from %s", address)
		return
	}
	g.mu.Lock()
	var o []confirmer.Outgoing
	if g.proofs != nil {
		o = g.proofs.Receive(address, m, now)
		g.noteConfirmation()
	}
	g.mu.Unlock()
	g.sendMessages(o)
}

func (g *Gossiper) sendMessages(list []confirmer.Outgoing) {
	for _, o := range list {
		a, err := netip.ParseAddrPort(o.Address)
		if err != nil {
			klog.Errorf(logPrefix+"Address %s is unusable: %v", o.Address, err)
			continue
		}
		n, err := g.socket.WriteTo(confirmer.Encode(o.Message), net.UDPAddrFromAddrPort(a))
		if err == nil {
			g.traffic.AddSent(n)
		}
	}
}
