package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/confirmer"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// tickPeriod is the shortest time between two ticks, and maxTickPeriod the longest:
	// a node on which nothing is due sleeps. It is far below stallThreshold.
	tickPeriod       = 50 * time.Millisecond
	maxTickPeriod    = 500 * time.Millisecond
	readBuffer       = 64 << 10
	logPrefix        = "gossiper: "
	departureRumors  = 3
	departureSpacing = 20 * time.Millisecond
)

// Gossiper runs the protocol on a UDP socket.
type Gossiper struct {
	socket  net.PacketConn
	traffic *meter.Traffic

	mu   sync.Mutex
	core *Core

	// nextTick is when the tick loop runs next, and woken makes it run earlier.
	nextTick time.Time
	woken    chan struct{}

	// proofs replaces the core's confirmations if those of other nodes have to be proved.
	proofs        *confirmer.Core
	confirmations confirmationWait
	confirmedAt   atomic.Pointer[time.Time]

	view    atomic.Pointer[View]
	changed chan struct{}

	// reports handles reports and answers; nil if the node takes none.
	reports atomic.Pointer[func(address string, p Packet)]
}

// New returns a gossiper for self that uses socket.
func New(self Member, socket net.PacketConn, t *meter.Traffic) *Gossiper {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gossiper{
		socket:  socket,
		traffic: t,
		core:    NewCore(self, r, time.Now()),
		woken:   make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
	}
	g.view.Store(newView(&g.core.table))
	return g
}

// Start runs the tick and receive loops in group until ctx is done.
func (g *Gossiper) Start(ctx context.Context, group *grouper.Group) {
	group.Loop(ctx, g.tick)
	group.Loop(ctx, g.receive)
}

// View returns the current view of the mesh.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Changed returns a channel that receives a value after the view has changed.
func (g *Gossiper) Changed() <-chan struct{} {
	return g.changed
}

// Self returns the node's own record.
func (g *Gossiper) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Self()
}

// Update replaces the node's own record by the result of f.
func (g *Gossiper) Update(f func(Member) Member) {
	if g.update(f) {
		g.announce()
	}
}

// update reports whether the record has its first target now.
func (g *Gossiper) update(f func(Member) Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.core.Self()
	g.core.UpdateSelf(f(before), time.Now())
	g.refresh()
	g.wake()
	return len(before.Targets) == 0 && len(g.core.Self().Targets) > 0
}

// announce sends the node's own record to members at once.
func (g *Gossiper) announce() {
	g.mu.Lock()
	o := g.core.announcements(time.Now())
	g.mu.Unlock()
	g.send(o)
}

// SetConfiguration sets the configuration that this node advertises as its own.
func (g *Gossiper) SetConfiguration(generation uint64, digest [32]byte) {
	g.mu.Lock()
	var o []confirmer.Outgoing
	g.core.SetConfiguration(generation, digest)
	if g.proofs != nil {
		o = g.proofs.Hold(confirmer.NewConfiguration(generation, digest), sleeper.Now())
		g.noteConfirmation()
	}
	g.mu.Unlock()
	g.sendMessages(o)
}

// AdvertiseConfiguration immediately advertises this node's configuration to a few members. Each
// of them does the same once it has applied it.
func (g *Gossiper) AdvertiseConfiguration() {
	g.mu.Lock()
	o := g.core.hints(time.Now())
	g.mu.Unlock()
	g.send(o)
}

// HandleReports passes reports and answers from the socket to f.
func (g *Gossiper) HandleReports(f func(address string, p Packet)) {
	g.reports.Store(&f)
}

// Send sends packets that do not belong to the membership protocol.
func (g *Gossiper) Send(list []Outgoing) {
	g.send(list)
}

// PassConfirmations passes confirmations on to the nodes that children returns, and
// omits those that are less than spacing newer than the one before.
func (g *Gossiper) PassConfirmations(children func() []string, spacing time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.confirmation.children, g.core.confirmation.spacing = children, spacing
}

// Confirm records that the configuration that this node holds was the newest one in the
// store at the given time on the clock of sleeper.Now.
func (g *Gossiper) Confirm(generation uint64, digest [32]byte, at time.Time) {
	g.mu.Lock()
	g.core.SetConfiguration(generation, digest)
	if g.proofs != nil {
		g.mu.Unlock()
		g.confirmProved(generation, digest, at)
		return
	}
	var o []Outgoing
	if generation == g.core.held.Generation {
		o = g.core.Confirm(at, g.now())
		g.noteConfirmation()
	}
	g.mu.Unlock()
	g.send(o)
}

// HomeSince returns the time since which other members consider this node a home
// for a service's keys. If the process was just paused, this is now, even before
// the next tick detects the stall.
func (g *Gossiper) HomeSince(service string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.core.lastTick) > stallThreshold {
		return now
	}
	return g.core.HomeSince(service)
}

// NewestConfiguration returns the highest generation received and the member that advertised it.
func (g *Gossiper) NewestConfiguration() Hint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.NewestConfiguration()
}

// Quarantine returns the strikes known to this node.
func (g *Gossiper) Quarantine() *quarantiner.Quarantine {
	return g.core.quarantine
}

// PreviousTargets returns the targets in the newest record of an earlier process of this
// node that a peer has sent.
func (g *Gossiper) PreviousTargets() []Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.previous.Targets
}

// AddStrike adds a strike and gossips it. The gates of service are notified
// immediately, since a caller may retry the request before rumors reach them.
func (g *Gossiper) AddStrike(service string, s quarantiner.Strike) {
	g.send(g.strike(service, s))
}

func (g *Gossiper) strike(service string, s quarantiner.Strike) []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.AddStrike(s, time.Now())
	g.wake()
	var l []Outgoing
	for _, e := range g.view.Load().Service(service) {
		if e.Node == g.core.self.Node {
			continue
		}
		p := g.core.packet(Rumor, time.Now())
		p.Strikes = []quarantiner.Strike{s}
		l = append(l, Outgoing{Address: e.PeerAddress, Packet: p})
	}
	return l
}

// PingAddress pings an address that may belong to a member.
func (g *Gossiper) PingAddress(address string) {
	g.mu.Lock()
	o := g.core.PingAddress(address, time.Now())
	g.mu.Unlock()
	g.send([]Outgoing{o})
}

// BroadcastDeparture sends queued updates, with the node's own record, to random members
// without waiting for the next rumor period. It is called before the node stops.
func (g *Gossiper) BroadcastDeparture() {
	for range departureRumors {
		g.mu.Lock()
		o := g.core.rumors(time.Now())
		g.mu.Unlock()
		g.send(o)
		time.Sleep(departureSpacing)
	}
}

func (g *Gossiper) tick(ctx context.Context) {
	t := time.NewTimer(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.send(g.advance())
		case <-g.woken:
		case <-ctx.Done():
			_ = g.socket.Close()
			return
		}
		t.Reset(g.schedule())
	}
}

func (g *Gossiper) advance() []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.core.Tick(g.now())
	g.refresh()
	return o
}

// schedule sets the time of the next tick and returns the time until then.
func (g *Gossiper) schedule() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextTick = g.due()
	return time.Until(g.nextTick)
}

// due returns when the next tick has something to do: a view to publish, or packets to
// send.
func (g *Gossiper) due() time.Time {
	first := g.core.lastTick.Add(tickPeriod)
	if g.view.Load().Version != g.core.table.version {
		return first
	}
	d := g.core.nextDue()
	if last := g.core.lastTick.Add(maxTickPeriod); d.After(last) {
		return last
	}
	if d.Before(first) {
		return first
	}
	return d
}

// wake makes the tick loop schedule its next tick anew if it is due earlier now.
func (g *Gossiper) wake() {
	if !g.due().Before(g.nextTick) {
		return
	}
	select {
	case g.woken <- struct{}{}:
	default:
	}
}

func (g *Gossiper) receive(ctx context.Context) {
	b := make([]byte, readBuffer)
	for ctx.Err() == nil {
		n, a, err := g.socket.ReadFrom(b)
		if err != nil {
			g.backOff(ctx, err)
			continue
		}
		g.traffic.AddReceived(n)
		if confirmer.IsMessage(b[:n]) {
			g.receiveMessage(a.String(), b[:n])
			continue
		}
		p, err := DecodePacket(b[:n])
		if err != nil {
			klog.V(1).Infof(logPrefix+"Dropped a packet from %s: %v", a, err)
			continue
		}
		if p.Kind == Report || p.Kind == Answer {
			if f := g.reports.Load(); f != nil {
				(*f)(a.String(), p)
			}
			continue
		}
		g.send(g.handle(a.String(), p))
	}
}

func (g *Gossiper) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.Errorf(logPrefix+"Reading from the socket failed: %v", err)
	time.Sleep(tickPeriod)
}

func (g *Gossiper) handle(address string, p Packet) []Outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.wake()
	defer g.noteConfirmation()
	return g.core.Receive(address, p, g.now())
}

// now returns the time, and updates for how long the VM has been suspended.
func (g *Gossiper) now() time.Time {
	now := time.Now()
	g.core.confirmation.suspended = sleeper.UpdateSuspension()
	return now
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
		// Addresses are numeric; a name would block the loop with a lookup.
		a, err := netip.ParseAddrPort(o.Address)
		if err != nil {
			klog.Errorf(logPrefix+"Address %s is unusable: %v", o.Address, err)
			continue
		}
		b, err := EncodePacket(o.Packet)
		if err != nil {
			klog.Errorf(logPrefix+"A packet to %s was not sent: %v", o.Address, err)
			continue
		}
		n, err := g.socket.WriteTo(b, net.UDPAddrFromAddrPort(a))
		if err == nil {
			g.traffic.AddSent(n)
		}
	}
}
