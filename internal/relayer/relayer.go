// Package relayer elects a few nodes of each data centre as relays, which watch
// the store on behalf of the others. A relay holds a leased slot in the store.
// Correctness doesn't depend on the lease; it only limits the number of watches.
package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	logPrefix = "relayer: "

	leaseTTL    = 6 * time.Second
	renewPeriod = leaseTTL / 3
	// watchWait limits how long a dead connection to the store goes undetected. It
	// and the timeout of a call must together stay below the time within which a
	// configuration has to be in force.
	watchWait      = 3 * time.Second
	listPeriod     = 10 * time.Second
	electionPeriod = 250 * time.Millisecond
	rankDelay      = time.Second
	initialBackoff = 200 * time.Millisecond
	// bootstrapBackoff gives peers time to deliver the configuration, so that many
	// nodes that restart together do not all read the store at once.
	bootstrapBackoff = 100 * time.Millisecond
	maxBackoff       = 5 * time.Second
	// DefaultConfirmWithin is how long a configuration that no other node has confirmed
	// is used before the node reads the store itself.
	DefaultConfirmWithin = 3 * time.Second
	// confirmationsPerPeriod is how often relays confirm the configuration in the time
	// after which other nodes read the store. Some confirmations may be lost.
	confirmationsPerPeriod = 2.5
	// firstStartWait is how long nodes of a mesh that starts for the first time
	// leave reading the store to the relays. All nodes have joined by then.
	firstStartWait = 6 * time.Second

	// callsPerSecond and callBurst limit the rate of a node's store calls.
	callsPerSecond = 10
	callBurst      = 20
)

// Relayer tries to acquire a slot and acts as a relay while it holds one.
type Relayer struct {
	store    storer.Store
	holder   *holder.Holder
	gossiper *gossiper.Gossiper
	slots    int
	budget   *limiter.Bucket
	document *Document

	// FirstStart is set if the whole mesh starts for the first time and therefore
	// has no configuration yet.
	FirstStart bool
	// Stopping, if set, reports whether the node is about to stop. Such a node
	// acquires no slot.
	Stopping func() bool
	// ConfirmWithin replaces DefaultConfirmWithin if it is not zero.
	ConfirmWithin time.Duration
	// Prove makes relays confirm only what reads of the store have proved, and not what
	// follows from a renewal while a watch seems to be connected.
	Prove bool

	// lease and slot are held by this node while it is a relay.
	lease     storer.LeaseID
	slot      string
	connected atomic.Bool
	// settled is the last value of the configuration's key, without its data, that is in
	// force on this node or older than what is.
	settled atomic.Pointer[storer.Value]
	// watching is the call that waits for a change, and pausing the pause after a
	// failed one.
	watching interruptible
	pausing  interruptible
}

// Document is a complete configuration that is stored under one key and managed
// by the operator's own tools instead of this project's commands.
type Document struct {
	Key string
	// Decode returns the version of the document, which never decreases, and the
	// profile that it describes.
	Decode func(data []byte) (uint64, router.Profile, error)
}

// New returns a relayer that tries to acquire one of the slots of its data
// centre. The configuration is read from d, or from this project's own records
// if d is nil.
func New(s storer.Store, h *holder.Holder, g *gossiper.Gossiper, slots int, d *Document) *Relayer {
	return &Relayer{
		document: d,
		store:    s,
		holder:   h,
		gossiper: g,
		slots:    slots,
		budget:   limiter.NewBucket(callsPerSecond, callBurst),
	}
}

// Start runs the relayer in group until ctx is done.
func (r *Relayer) Start(ctx context.Context, group *grouper.Group) {
	group.Loop(ctx, r.runElections)
	group.Loop(ctx, r.keepConfirmed)
}

// Bootstrap reads the configuration from the store until the node has one from
// any source. A node that starts must not wait for relays: after a power cut
// there are none, and their slots stay taken until the leases from before the
// power cut expire.
func (r *Relayer) Bootstrap(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForFirstConfiguration)
	if r.FirstStart && !sleeper.Sleep(ctx, firstStartWait) {
		return
	}
	b := sleeper.Backoff{First: bootstrapBackoff, Max: maxBackoff}
	for r.holder.Current() == nil && b.Sleep(ctx) {
		if r.holder.Current() != nil {
			return
		}
		begun := sleeper.Now()
		v, err := r.store.Get(ctx, r.key())
		if classifier.Is(err, classifier.NotFound) {
			// The first configuration has not been written yet. Relays will deliver it,
			// and the waiting nodes must not keep reading the store.
			if r.hasOtherRelay() && !sleeper.Sleep(ctx, watchWait) {
				return
			}
			continue
		}
		if err == nil {
			err = r.apply(ctx, v)
		}
		if err != nil {
			klog.V(1).InfoS("Reading the configuration failed", "key", r.key(), "cause", err)
			continue
		}
		r.confirmRead(v, begun)
	}
}

// hasOtherRelay reports whether another node is known to be a relay and alive.
func (r *Relayer) hasOtherRelay() bool {
	self := r.gossiper.Self().Node
	return slices.ContainsFunc(r.gossiper.View().Members, func(m gossiper.Member) bool {
		return m.Relay && m.Condition == gossiper.Alive && m.Node != self
	})
}

// Connected reports whether the last watch of the store succeeded.
func (r *Relayer) Connected() bool {
	return r.connected.Load()
}

// runElections waits for a free slot, acquires it, and runs as a relay until the
// slot is lost.
func (r *Relayer) runElections(ctx context.Context) {
	b := sleeper.Backoff{First: initialBackoff, Max: maxBackoff}
	for r.awaitTurn(ctx) {
		ok, err := r.acquire(ctx)
		if err != nil {
			klog.V(1).Infof(logPrefix+"Acquiring a slot failed: %v", err)
		}
		if ok {
			b.Reset()
			r.runRelay(ctx)
			continue
		}
		b.Sleep(ctx)
	}
}

// awaitTurn returns true once this node should try to acquire a slot: relays are
// missing, and the nodes before it in hash order have had time to acquire one.
// It returns false when ctx is done.
func (r *Relayer) awaitTurn(ctx context.Context) bool {
	var since time.Time
	for sleeper.Sleep(ctx, electionPeriod/2+rand.N(electionPeriod)) {
		k, missing := r.electionRank()
		if missing <= 0 || r.gossiper.Self().Status != gossiper.Serving || (r.Stopping != nil && r.Stopping()) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) >= time.Duration(max(k-missing+1, 0))*rankDelay {
			return true
		}
	}
	return false
}

// electionRank returns this node's position among the candidates of its data
// centre in hash order, and the number of relays that are missing there.
func (r *Relayer) electionRank() (place, missing int) {
	s := r.gossiper.Self()
	missing = r.slots
	for _, m := range r.gossiper.View().DataCenter(s.DataCenter) {
		switch {
		case m.Relay && m.Condition == gossiper.Alive && m.Node != s.Node:
			missing--
		case m.Condition == gossiper.Alive && gossiper.HashNode(m.Node) < gossiper.HashNode(s.Node):
			place++
		}
	}
	return place, missing
}

// acquire acquires a free slot with a new lease.
func (r *Relayer) acquire(ctx context.Context) (bool, error) {
	ctx = storer.WithPurpose(ctx, storer.ForElection)
	s := r.gossiper.Self()
	l, err := r.list(ctx, s.DataCenter, storer.Current)
	if err != nil {
		return false, err
	}
	k, revision, ok := r.freeSlot(s, l)
	if !ok {
		return false, nil
	}
	if err := r.takeCall(); err != nil {
		return false, err
	}
	id, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return false, err
	}
	if _, err := r.store.Put(ctx, k, []byte(s.PeerAddress), revision, id); err != nil {
		if e := r.store.Revoke(ctx, id); e != nil {
			klog.V(1).InfoS("Revoking the lease failed; it will expire", "slot", k, "cause", e)
		}
		return false, err
	}
	r.lease = id
	r.slot = k
	return true, nil
}

// freeSlot returns the key and revision of a slot that is free, holds no address, or
// was held by this node before it restarted.
func (r *Relayer) freeSlot(self gossiper.Member, taken []storer.Item) (string, uint64, bool) {
	m := make(map[string]storer.Item)
	for _, i := range taken {
		if string(i.Value.Data) == self.PeerAddress {
			return i.Key, i.Value.Revision, true
		}
		m[i.Key] = i
	}
	for i := range r.slots {
		k := fmt.Sprintf("%s%s/%d", storer.RelayPrefix, self.DataCenter, i)
		if _, taken := m[k].RelayAddress(); !taken {
			return k, m[k].Value.Revision, true
		}
	}
	return "", 0, false
}

// list reads the relays of one data centre, or of all if dataCenter is empty, and
// passes their addresses to the gossiper as peers.
func (r *Relayer) list(ctx context.Context, dataCenter string, f storer.Freshness) ([]storer.Item, error) {
	if err := r.takeCall(); err != nil {
		return nil, err
	}
	p := storer.RelayPrefix
	if dataCenter != "" {
		p += dataCenter + "/"
	}
	l, err := r.store.List(ctx, p, f)
	if err != nil {
		return nil, err
	}
	self := r.gossiper.Self().PeerAddress
	for _, i := range l {
		a, ok := i.RelayAddress()
		if !ok {
			klog.InfoS("Record of a relay holds no address", "key", i.Key, "revision", i.Value.Revision)
			continue
		}
		if a != self {
			r.gossiper.PingAddress(a)
		}
	}
	return l, nil
}

// takeCall takes one store call from the rate limit, or returns an error if none is
// left.
func (r *Relayer) takeCall() error {
	if r.budget.Take(time.Now()) {
		return nil
	}
	return classifier.Error(classifier.Overloaded, classifier.NotRun, "relayer: rate limit of store calls exceeded")
}

// runRelay acts as a relay until the slot is lost or ctx is done.
func (r *Relayer) runRelay(ctx context.Context) {
	klog.Info(logPrefix + "This node has become a relay.")
	r.setRelay(true)
	ctx, cancel := context.WithCancel(ctx)
	var g grouper.Group
	g.Loop(ctx, r.watch)
	g.Go(func() {
		r.listPeers(ctx)
		cancel()
	})
	r.renew(ctx)
	cancel()
	g.Wait()
	r.connected.Store(false)
	r.setRelay(false)
	klog.Info(logPrefix + "This node is no longer a relay.")
}

func (r *Relayer) setRelay(on bool) {
	r.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithRelay(on) })
}

// renew keeps the lease alive and returns once it has expired. While the store
// does not answer, the node stays a relay, because its children still need a
// root. An answer confirms the configuration; without one the watch is assumed to be
// broken as well.
func (r *Relayer) renew(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForLease)
	renewed := time.Now()
	for sleeper.Sleep(ctx, min(renewPeriod, time.Duration(float64(r.confirmWithin())/confirmationsPerPeriod))) {
		begun := sleeper.Now()
		var err error
		if r.Prove {
			renewed, err = r.renewOrProve(ctx, renewed)
		} else {
			err = r.keepAlive(ctx)
		}
		switch {
		case classifier.Is(err, classifier.NotFound):
			klog.Warning(logPrefix + "The lease has expired.")
			return
		case err != nil:
			klog.V(1).InfoS("Renewing the lease failed", "slot", r.slot, "cause", err)
			r.suspectWatch(err)
		case r.Connected():
			if !r.Prove {
				r.confirm(begun)
			}
		default:
			r.pausing.interrupt()
		}
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := r.store.Revoke(c, r.lease); err != nil {
		klog.V(1).InfoS("Revoking the lease failed; it will expire", "slot", r.slot, "cause", err)
	}
}

func (r *Relayer) keepAlive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.confirmWithin()/2)
	defer cancel()
	return r.store.KeepAlive(ctx, r.lease)
}

// listPeers periodically lists the relays of all data centres, so that parts of
// the mesh that were partitioned find each other again. It returns once the store
// no longer has this relay's slot, for example after a rollback to older data.
func (r *Relayer) listPeers(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForIntroduction)
	f := storer.Current
	for {
		l, err := r.list(ctx, "", f)
		if err == nil && !r.hasOwnSlot(l) && f == storer.Recent {
			// A stale list may lack a slot that was acquired since.
			l, err = r.list(ctx, "", storer.Current)
		}
		f = storer.Recent
		if err != nil {
			klog.V(1).Infof(logPrefix+"Listing relays failed: %v", err)
		} else if !r.hasOwnSlot(l) {
			klog.Warning(logPrefix + "The store no longer has this relay's slot.")
			return
		}
		if !sleeper.Sleep(ctx, listPeriod/2+rand.N(listPeriod)) {
			return
		}
	}
}

func (r *Relayer) hasOwnSlot(l []storer.Item) bool {
	self := r.gossiper.Self().PeerAddress
	for _, i := range l {
		if i.Key == r.slot {
			return string(i.Value.Data) == self
		}
	}
	return false
}
