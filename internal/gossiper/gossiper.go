package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

const (
	tickPeriod  = 50 * time.Millisecond
	readBuffer  = 64 << 10
	logPrefix   = "gossiper: "
	stopRumors  = 3
	stopSpacing = 20 * time.Millisecond
)

// Gossiper runs the protocol on a UDP socket.
type Gossiper struct {
	socket  net.PacketConn
	traffic *meter.Traffic

	mu   sync.Mutex
	core *Core

	view    atomic.Pointer[View]
	changed chan struct{}
}

// New returns a gossiper for self that uses socket.
func New(self Member, socket net.PacketConn, t *meter.Traffic) *Gossiper {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gossiper{
		socket:  socket,
		traffic: t,
		core:    NewCore(self, r, time.Now()),
		changed: make(chan struct{}, 1),
	}
	g.view.Store(newView(&g.core.table))
	return g
}

// Start runs the loops in group until ctx is done.
func (g *Gossiper) Start(ctx context.Context, group *grouper.Group) {
	group.Loop(ctx, g.tick)
	group.Loop(ctx, g.receive)
}

// View returns the mesh as it is known now.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Changed receives after the view has changed.
func (g *Gossiper) Changed() <-chan struct{} {
	return g.changed
}

// Self returns the node's own record.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Self()
}

// Update replaces the node's own record by what f makes of it.
func (g *Gossiper) Update(f func(Member) Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Author(f(g.core.Self()), time.Now())
	g.refresh()
}

// Hold notes the configuration that this node holds.
func (g *Gossiper) Hold(generation uint64, digest [32]byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Hold(generation, digest)
}

// Hint tells a few members at once which configuration this node holds. Each
// of them does the same once it holds it too.
func (g *Gossiper) Hint() {
	g.mu.Lock()
	o := g.core.hints()
	g.mu.Unlock()
	g.send(o)
}

// Trusted returns since when the others have taken this node for a home of a
// service's keys. A stall that has just ended counts before it was noticed.
func (g *Gossiper) Trusted(service string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.core.lastTick) > stallBound {
		return now
	}
	return g.core.Trusted(service)
}

// Best returns the member heard of with the highest generation.
func (g *Gossiper) Best() Hint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Best()
}

// Quarantine returns the strikes that the mesh knows of.
func (g *Gossiper) Quarantine() *quarantiner.Quarantine {
	return g.core.quarantine
}

// Former returns the targets that an earlier life of this node told of last, as far
// as anybody has told.
func (g *Gossiper) Former() []Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.former.Targets
}

// Strike takes in a strike and spreads it. The gates of service are told at
// once: a caller may send the request again before rumors have come round.
func (g *Gossiper) Strike(service string, s quarantiner.Strike) {
	g.send(g.strike(service, s))
}

func (g *Gossiper) strike(service string, s quarantiner.Strike) []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Strike(s, time.Now())
	var l []Outgoing
	for _, e := range g.view.Load().Service(service) {
		if e.Node == g.core.self.Node {
			continue
		}
		p := g.core.packet(Rumor)
		p.Strikes = []quarantiner.Strike{s}
		l = append(l, Outgoing{Address: e.PeerAddress, Packet: p})
	}
	return l
}

// Introduce pings an address that may belong to a member.
func (g *Gossiper) Introduce(address string) {
	g.mu.Lock()
	o := g.core.Introduce(address)
	g.mu.Unlock()
	g.send([]Outgoing{o})
}

// Farewell spreads the node's own record at once, before it stops.
func (g *Gossiper) Farewell() {
	for range stopRumors {
		g.mu.Lock()
		o := g.core.rumors(time.Now())
		g.mu.Unlock()
		g.send(o)
		time.Sleep(stopSpacing)
	}
}

func (g *Gossiper) tick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.send(g.advance())
		case <-ctx.Done():
			_ = g.socket.Close()
			return
		}
	}
}

func (g *Gossiper) advance() []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.core.Tick(time.Now())
	g.refresh()
	return o
}

func (g *Gossiper) receive(ctx context.Context) {
	b := make([]byte, readBuffer)
	for ctx.Err() == nil {
		n, a, err := g.socket.ReadFrom(b)
		if err != nil {
			g.waitAfter(ctx, err)
			continue
		}
		g.traffic.AddReceived(n)
		p, err := DecodePacket(b[:n])
		if err != nil {
			klog.V(1).Infof(logPrefix+"Dropped a packet from %s: %v", a, err)
			continue
		}
		g.send(g.handle(a.String(), p))
	}
}

func (g *Gossiper) waitAfter(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.Errorf(logPrefix+"Reading failed: %v", err)
	time.Sleep(tickPeriod)
}

func (g *Gossiper) handle(address string, p Packet) []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Receive(address, p, time.Now())
}

// refresh publishes a new view if the table has changed.
func (g *Gossiper) refresh() {
	if g.view.Load().Version == g.core.table.version {
		return
	}
	g.view.Store(newView(&g.core.table))
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Gossiper) send(list []Outgoing) {
	for _, o := range list {
		a, err := net.ResolveUDPAddr("udp", o.Address)
		if err != nil {
			klog.Errorf(logPrefix+"Address %s is unusable: %v", o.Address, err)
			continue
		}
		n, err := g.socket.WriteTo(EncodePacket(o.Packet), a)
		if err == nil {
			g.traffic.AddSent(n)
		}
	}
}
