// Package runner puts a node together, runs it, and stops it gracefully.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/joiner"
	"github.com/dragonflydoor/dragonflydoor/internal/loadsharer"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/receiver"
	"github.com/dragonflydoor/dragonflydoor/internal/recorder"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/relayer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/stager"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
	"github.com/dragonflydoor/dragonflydoor/internal/syncer"
)

const (
	logPrefix = "runner: "

	expiryPeriod    = 500 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
	// drainGrace lets callers and nodes hear of a stop before listeners close.
	drainGrace = time.Second
	// firstElection is how long a node that joined a mesh which starts for the first
	// time leaves the relays' slots to others: some rounds of gossip.
	firstElection = 3 * time.Second
	// confirmShare is the part of the bound for configurations after which a node that
	// nobody has confirmed its own to reads the store. The rest is for the read.
	confirmShare = 0.6
	// revocationShare is the part of the bound for revocations after which such a node
	// reads the store. A second read, after one that has timed out, ends within 0.6 of it.
	revocationShare = 0.3
	// passShare is the part of that time by which a confirmation must be newer than the
	// one before to be passed on. It is below the interval at which relays confirm.
	passShare = 1.0 / 3
)

// Node is one process of the mesh.
type Node struct {
	settings configurer.Settings
	// live holds the settings as they were read last.
	live    atomic.Pointer[configurer.Settings]
	started time.Time
	control meter.Traffic
	calls   meter.Traffic
	// targets counts what does not leave the VM.
	targets meter.Traffic
	stats   forwarder.Stats
	lines   *logger.Lines
	around  Surroundings
	store   *storeSwitch
	// storeCalls counts the calls of the store by kind and purpose.
	storeCalls storer.Counter

	holder     holder.Holder
	tallier    syncer.ReportAggregator
	registrar  registrar.Registrar
	gossiper   *gossiper.Gossiper
	aggregator *aggregator.Aggregator
	// caps is nil if the settings ask for no caps.
	caps *caps
	// stager is nil unless roll-outs are ordered here.
	stager     *stager.Stager
	reconciler *gossiper.Reconciler
	joiner     *joiner.Joiner
	puller     *syncer.Puller
	server     *syncer.Server
	relayer    *relayer.Relayer
	gate       *forwarder.Gate
	entry      *forwarder.Entry
	recorder   *recorder.Recorder
	peers      *exchanger.Client
	scraped    http.Handler
	loads      *loadsharer.Sharer
	// loadProbes counts the questions to targets for their slowdown.
	loadProbes atomic.Uint64

	sockets  sockets
	received receiver.Stats
	budget   *receiver.Budget
	// clientLines are about connections and rejected requests, so that crowds of clients
	// do not use up the lines about requests that run.
	clientLines *logger.Lines
	peer        *receiver.Server
	caller      *receiver.Server
	local       *receiver.Server
	ready       *receiver.Server
	scrape      *receiver.Server

	// joined is closed once the node has looked for others.
	joined chan struct{}

	// stopping is done once a stop has begun.
	stopping context.Context
	stop     context.CancelFunc
	group    grouper.Group
}

type sockets struct {
	peer   net.Listener
	caller net.Listener
	local  net.Listener
	ready  net.Listener
	scrape net.Listener
	packet net.PacketConn
}

// New opens the sockets of a node and puts its parts together.
func New(s configurer.Settings, around Surroundings) (*Node, error) {
	n := &Node{settings: s, around: around, started: time.Now(), lines: logger.NewLines(), joined: make(chan struct{})}
	n.live.Store(&s)
	n.registrar.TTL = s.AnnouncementTTL
	n.registrar.Beside = func() (string, string) {
		l := n.live.Load()
		return l.Service, l.TargetAddress
	}
	store := newSwitch(n.storeCalls.Count(around.Store(s.StoreAddress, &n.control)))
	n.store = store
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.stopping, n.stop = context.WithCancel(context.Background())
	n.buildMembership(store)
	n.buildDistribution(store)
	n.recorder = recorder.New(store, s.Node)
	n.recorder.Restored = n.restoreDepartures
	n.buildCalls()
	return n, nil
}

func (n *Node) listen() error {
	l := []struct {
		name, address string
		listener      *net.Listener
	}{
		{"peer_bind_address", n.settings.PeerBindAddress, &n.sockets.peer},
		{"caller_address", n.settings.CallerAddress, &n.sockets.caller},
		{"local_address", n.settings.LocalAddress, &n.sockets.local},
		{"ready_address", n.settings.ReadyAddress, &n.sockets.ready},
		{"metrics_address", n.settings.MetricsAddress, &n.sockets.scrape},
	}
	var err error
	for _, s := range l {
		if s.address == "" {
			continue
		}
		if *s.listener, err = net.Listen("tcp", s.address); err != nil {
			return fmt.Errorf("runner: %s: %w", s.name, err)
		}
	}
	if n.sockets.packet, err = net.ListenPacket("udp", n.settings.PeerBindAddress); err != nil {
		return fmt.Errorf("runner: peer_bind_address: %w", err)
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
	n.aggregator = aggregator.New(n.settings.Node, n.gossiper)
	n.buildRollouts()
	n.registrar.Changed = func(l []gossiper.Target) {
		n.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithTargets(l) })
	}
	d := connector.NewDialer(connector.NewTransport(&n.control, n.settings.PeerBindAddress))
	n.reconciler = gossiper.NewReconciler(n.gossiper, d.Dial)
	n.joiner = joiner.New(n.reconciler, store, n.settings.PeerAddress, n.settings.Peers)
	n.joiner.FirstStart = n.settings.FirstStart
	n.server = syncer.NewServer(&n.holder, &n.tallier, n.settings.FanOut)
	n.puller = syncer.NewPuller(&n.holder, n.gossiper, d.Dial, &n.tallier, n.settings.FanOut)
}

func (n *Node) buildDistribution(store storer.Store) {
	n.relayer = relayer.New(store, &n.holder, n.gossiper, n.settings.RelaysPerDataCenter, n.around.Document)
	n.relayer.FirstStart = n.settings.FirstStart
	n.relayer.ConfirmWithin = time.Duration(confirmShare * float64(n.settings.ConfigurationBound))
	n.proveConfirmations()
	n.gossiper.PassConfirmations(func() []string { return n.tallier.ChildNodes(time.Now()) },
		time.Duration(passShare*float64(n.relayer.ConfirmWithin)))
	n.relayer.Stopping = func() bool { return n.entry.Draining() }
}

func (n *Node) buildCalls() {
	s := &n.settings
	n.peers = connector.NewPeers(&n.calls, s.PeerBindAddress)
	n.caps = newCaps(s, n.aggregator)
	n.gate = forwarder.NewGate(&n.registrar, crashTracker{n.gossiper}, n.around.Dialect, &n.targets)
	n.gate.SetUplinkRate(s.LinkMbps*bytesPerMegabit, n.sent)
	w := forwarder.Identity{Node: s.Node, DataCenter: s.DataCenter, Profile: s.Profile, Service: s.Service}
	n.entry = forwarder.NewEntry(forwarder.Dependencies{
		Holder:       &n.holder,
		Mesh:         n.gossiper,
		Gate:         n.gate,
		Peers:        n.peers,
		Stats:        &n.stats,
		RequestLog:   n.lines,
		Currency:     n.gossiper,
		Revocation:   n.revocation(),
		Caps:         n.caps.use(),
		RetryPercent: s.RetryPercent,
		RetrySlack:   s.RetrySlack,
		Stager:       n.stager,
	}, n.around.Dialect, w)
	n.buildLoads()
	n.scraped = n.metrics()
	n.buildReceivers()
}

// callsReceived returns the bytes of calls that were read, from other nodes and
// from targets.
func (n *Node) callsReceived() uint64 {
	return n.calls.Received() + n.targets.Received()
}

// callsSent returns the bytes of calls that were written, to other nodes and to
// targets.
func (n *Node) callsSent() uint64 {
	return n.calls.Sent() + n.targets.Sent()
}

// sent returns the bytes that the node has sent to other nodes and the store.
func (n *Node) sent() uint64 {
	return n.control.Sent() + n.calls.Sent()
}

// Run serves until ctx is done, then drains and returns. A second signal on
// abort ends the drain early.
func (n *Node) Run(ctx context.Context, abort <-chan struct{}) {
	n.serve()
	n.startLoops()
	klog.InfoS("Node is up", "node", n.settings.Node, "dataCenter", n.settings.DataCenter, "service", n.settings.Service,
		"peer", n.settings.PeerAddress, "store", n.settings.StoreAddress)
	<-ctx.Done()
	n.drain(abort)
	klog.InfoS("Node has stopped", "node", n.settings.Node)
}

func (n *Node) serve() {
	n.group.Go(func() { n.listenOn(n.peer, n.control.Listener(connector.AcceptAll(n.sockets.peer))) })
	n.group.Go(func() { n.listenOn(n.caller, connector.AcceptAll(n.sockets.caller)) })
	n.group.Go(func() { n.listenOn(n.local, connector.AcceptAll(n.sockets.local)) })
	if n.sockets.ready != nil && n.ready != nil {
		n.group.Go(func() { n.listenOn(n.ready, n.sockets.ready) })
	}
	if n.sockets.scrape != nil {
		n.group.Go(func() { n.listenOn(n.scrape, n.sockets.scrape) })
	}
}

func (n *Node) listenOn(s *receiver.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		klog.Errorf(logPrefix+"Listener %s failed: %v", l.Addr(), err)
	}
}

func (n *Node) startLoops() {
	n.gossiper.Start(n.stopping, &n.group)
	n.group.Loop(n.stopping, n.aggregator.Run)
	n.group.Loop(n.stopping, n.configureCaps)
	n.startRollouts()
	n.group.Loop(n.stopping, n.reconciler.Run)
	n.puller.Start(n.stopping, &n.group)
	n.group.Loop(n.stopping, n.expire)
	n.group.Loop(n.stopping, n.join)
	n.group.Loop(n.stopping, n.relayer.Bootstrap)
	if n.settings.StrictRevocation {
		n.group.Loop(n.stopping, func(ctx context.Context) { n.gossiper.AskParent(ctx, n.confirmationSource) })
	}
	n.group.Loop(n.stopping, n.identify)
	n.group.Loop(n.stopping, n.limitTargets)
	n.group.Loop(n.stopping, n.entry.Watch)
	n.group.Loop(n.stopping, n.refreshSlowdowns)
	if n.around.Dialect.Instance != "" {
		n.group.Loop(n.stopping, n.recorder.Run)
	}
}

// join enters the mesh before the node competes for a relay's slot, so that it
// knows the relays that there are.
func (n *Node) join(ctx context.Context) {
	a := n.joiner.Join(ctx)
	n.recall()
	close(n.joined)
	if a == "" {
		n.relayer.Start(ctx, &n.group)
		n.joiner.Retry(ctx)
		return
	}
	n.puller.Fetch(ctx, a)
	if n.settings.FirstStart {
		// Those that found nobody are relays by now, but that is not known yet.
		sleeper.Sleep(ctx, firstElection)
	}
	n.relayer.Start(ctx, &n.group)
}

// expire removes targets that stopped announcing themselves.
func (n *Node) expire(ctx context.Context) {
	t := time.NewTicker(expiryPeriod)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, g := range n.registrar.Expire(now) {
				klog.InfoS("Target is silent and taken out", "target", g.Address, "service", g.Service, "instance", g.Instance)
			}
			sleeper.UpdateSuspension()
			n.gate.Sweep(now)
			n.peers.CloseExpired(now)
		case <-ctx.Done():
			return
		}
	}
}
