// Package runner puts a node together, runs it, and stops it gracefully.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/joiner"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/relayer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
	"github.com/dragonflydoor/dragonflydoor/internal/syncer"
)

const (
	logPrefix = "runner: "

	expiryPeriod = 500 * time.Millisecond
	// drainGrace lets callers and nodes hear of a stop before listeners close.
	drainGrace = time.Second
)

// Node is one process of the mesh.
type Node struct {
	settings configurer.Settings
	started  time.Time
	control  meter.Traffic
	calls    meter.Traffic
	stats    forwarder.Stats

	holder     holder.Holder
	tallier    syncer.Tallier
	registrar  registrar.Registrar
	gossiper   *gossiper.Gossiper
	reconciler *gossiper.Reconciler
	joiner     *joiner.Joiner
	puller     *syncer.Puller
	server     *syncer.Server
	relayer    *relayer.Relayer
	gate       *forwarder.Gate
	entry      *forwarder.Entry

	sockets sockets
	peer    *http.Server
	caller  *http.Server
	local   *http.Server

	// stopping is done once a stop has begun.
	stopping context.Context
	stop     context.CancelFunc
	group    grouper.Group
}

type sockets struct {
	peer   net.Listener
	caller net.Listener
	local  net.Listener
	packet net.PacketConn
}

// New opens the sockets of a node and puts its parts together.
func New(s configurer.Settings) (*Node, error) {
	n := &Node{settings: s, started: time.Now()}
	store := storer.NewClient(s.StoreAddress, &n.control)
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.stopping, n.stop = context.WithCancel(context.Background())
	n.buildMembership(store)
	n.buildDistribution(store)
	n.buildCalls()
	return n, nil
}

func (n *Node) listen() error {
	var err error
	if n.sockets.peer, err = net.Listen("tcp", n.settings.PeerBindAddress); err != nil {
		return fmt.Errorf("runner: peer_bind_address: %w", err)
	}
	if n.sockets.packet, err = net.ListenPacket("udp", n.settings.PeerBindAddress); err != nil {
		return fmt.Errorf("runner: peer_bind_address: %w", err)
	}
	if n.sockets.caller, err = net.Listen("tcp", n.settings.CallerAddress); err != nil {
		return fmt.Errorf("runner: caller_address: %w", err)
	}
	if n.sockets.local, err = net.Listen("tcp", n.settings.LocalAddress); err != nil {
		return fmt.Errorf("runner: local_address: %w", err)
	}
	return nil
}

func (n *Node) buildMembership(store storer.Store) {
	m := gossiper.Member{
		Node:        n.settings.Node,
		PeerAddress: n.settings.PeerAddress,
		DataCenter:  n.settings.DataCenter,
		// A restarted node goes before its earlier life.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	n.gossiper = gossiper.New(m, n.sockets.packet, &n.control)
	n.registrar.Changed = func(l []gossiper.Target) {
		n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithTargets(l) })
	}
	d := connector.NewDialer(connector.NewTransport(&n.control, n.settings.PeerBindAddress))
	n.reconciler = gossiper.NewReconciler(n.gossiper, d.Dial)
	n.joiner = joiner.New(n.reconciler, store, n.settings.PeerAddress, n.settings.Peers)
	n.server = syncer.NewServer(&n.holder, &n.tallier, n.settings.FanOut)
	n.puller = syncer.NewPuller(&n.holder, n.gossiper, d.Dial, &n.tallier, n.settings.FanOut)
}

func (n *Node) buildDistribution(store storer.Store) {
	n.relayer = relayer.New(store, &n.holder, n.gossiper, n.settings.RelaysPerDataCenter)
}

func (n *Node) buildCalls() {
	n.gate = forwarder.NewGate(&n.registrar, warden{n.gossiper}, &n.calls)
	w := forwarder.Where{Node: n.settings.Node, DataCenter: n.settings.DataCenter, Profile: n.settings.Profile}
	n.entry = forwarder.NewEntry(&n.holder, n.gossiper, n.gate, connector.NewTransport(&n.calls, n.settings.PeerBindAddress), &n.stats, w)
	n.peer = connector.NewServer(n.peerHandler())
	n.caller = connector.NewServer(n.entry)
	n.local = connector.NewServer(n.localHandler())
}

// Run serves until ctx is done, then drains and returns. A second signal on
// abort ends the drain early.
func (n *Node) Run(ctx context.Context, abort <-chan struct{}) {
	n.serve()
	n.startLoops()
	klog.Infof(logPrefix+"Node %s of %s is up.", n.settings.Node, n.settings.DataCenter)
	<-ctx.Done()
	n.drain(abort)
	klog.Info(logPrefix + "Stopped.")
}

func (n *Node) serve() {
	n.group.Go(func() { n.listenOn(n.peer, n.control.Listener(n.sockets.peer)) })
	n.group.Go(func() { n.listenOn(n.caller, n.sockets.caller) })
	n.group.Go(func() { n.listenOn(n.local, n.sockets.local) })
}

func (n *Node) listenOn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf(logPrefix+"Listener %s failed: %v", l.Addr(), err)
	}
}

func (n *Node) startLoops() {
	n.gossiper.Start(n.stopping, &n.group)
	n.group.Loop(n.stopping, n.reconciler.Run)
	n.puller.Start(n.stopping, &n.group)
	n.group.Loop(n.stopping, n.expire)
	n.group.Loop(n.stopping, n.join)
}

// join enters the mesh before the node competes for a relay's slot, so that it
// knows the relays that there are.
func (n *Node) join(ctx context.Context) {
	ok := n.joiner.Join(ctx)
	n.relayer.Start(ctx, &n.group)
	if !ok {
		n.joiner.Retry(ctx)
	}
}

// expire removes targets that stopped announcing themselves.
func (n *Node) expire(ctx context.Context) {
	t := time.NewTicker(expiryPeriod)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, g := range n.registrar.Expire(now) {
				klog.Warningf(logPrefix+"Target %s of %s is silent, taken out.", g.Address, g.Service)
			}
		case <-ctx.Done():
			return
		}
	}
}

// drain tells peers, refuses new work, waits for what is in flight, and leaves.
func (n *Node) drain(abort <-chan struct{}) {
	klog.Info(logPrefix + "Draining.")
	n.entry.Drain()
	n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithStatus(gossiper.Draining) })
	n.registrar.DrainAll()
	n.gossiper.Farewell()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.group.Go(func() {
		select {
		case <-abort:
			klog.Warning(logPrefix + "Asked again, stopping at once.")
			cancel()
		case <-ctx.Done():
		}
	})
	sleeper.Sleep(ctx, drainGrace)
	n.finish(ctx)
	cancel()
	n.group.Wait()
}

// finish closes the listeners once nothing is in flight on them.
func (n *Node) finish(ctx context.Context) {
	shutdown(ctx, n.caller)
	n.awaitIdle(ctx)
	n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithStatus(gossiper.Left) })
	n.gossiper.Farewell()
	n.stop()
	shutdown(ctx, n.peer)
	shutdown(ctx, n.local)
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

func shutdown(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
