// Package relayer lets a few nodes of each data centre watch the store on
// behalf of the others. A relay holds a leased slot in the store; nothing that
// must hold depends on the lease, which only bounds the number of watches.
package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	logPrefix = "relayer: "

	leaseTTL    = 6 * time.Second
	renewPeriod = leaseTTL / 3
	// watchWait bounds how long a connection to the store that went silent stays
	// unnoticed: it and the bound of a call must fit in the time within which a
	// configuration is to be in force.
	watchWait      = 3 * time.Second
	listPeriod     = 10 * time.Second
	electionPeriod = 250 * time.Millisecond
	rankDelay      = time.Second
	minBackoff     = 200 * time.Millisecond
	// bootstrapBackoff leaves peers a moment to bring the configuration, so that
	// a herd that returns does not read the store all at once.
	bootstrapBackoff = 100 * time.Millisecond
	maxBackoff       = 5 * time.Second
	// firstStartWait is how long nodes that start for the first time leave the
	// store to the relays: by then all of them have joined.
	firstStartWait = 6 * time.Second

	// callsPerSecond and callBurst are a node's budget of store calls.
	callsPerSecond = 10
	callBurst      = 20
)

// Relayer competes for a slot and serves as a relay while it holds one.
type Relayer struct {
	store    storer.Store
	holder   *holder.Holder
	gossiper *gossiper.Gossiper
	slots    int
	budget   *limiter.Bucket
	document *Document

	// FirstStart says that the whole mesh starts for the first time, so that there
	// is no configuration yet.
	FirstStart bool
	// Stopping reports whether the node is about to stop, when set: it takes no slot.
	Stopping func() bool

	// lease and slot are what this node holds while it is a relay.
	lease     storer.LeaseID
	slot      string
	connected atomic.Bool
}

// Document is a configuration that somebody else than the product's own
// commands keeps in the store, whole, under one key.
type Document struct {
	Key string
	// Decode returns the version of the document, which only grows, and the
	// profile that it describes.
	Decode func(data []byte) (uint64, router.Profile, error)
}

// New returns a relayer that competes for one of slots in its data centre. The
// configuration is read from d, or from the product's own records if d is nil.
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
	group.Loop(ctx, r.compete)
}

// Bootstrap reads the configuration until there is one, whoever brings it. A
// node that starts must not wait for relays: after a power cut there are none,
// and their slots are taken until the leases of their earlier lives lapse.
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
		v, err := r.store.Get(ctx, r.key())
		if judge.Is(err, judge.NotFound) {
			// The first configuration is yet to be written. The relays bring it, and
			// a fleet that waits for it must not read the store all the while.
			if r.relayed() && !sleeper.Sleep(ctx, watchWait) {
				return
			}
			continue
		}
		if err == nil {
			err = r.take(ctx, v)
		}
		if err != nil {
			klog.V(1).InfoS("Reading the configuration failed", "key", r.key(), "cause", err)
		}
	}
}

// relayed reports whether another node is known that watches the store.
func (r *Relayer) relayed() bool {
	self := r.gossiper.Self().Node
	return slices.ContainsFunc(r.gossiper.View().Members, func(m gossiper.Member) bool {
		return m.Relay && m.Condition == gossiper.Alive && m.Node != self
	})
}

// Connected reports whether the last watch of the store was answered.
func (r *Relayer) Connected() bool {
	return r.connected.Load()
}

// compete waits for a vacancy, takes it, and serves until the slot is lost.
func (r *Relayer) compete(ctx context.Context) {
	b := sleeper.Backoff{First: minBackoff, Max: maxBackoff}
	for r.awaitTurn(ctx) {
		ok, err := r.acquire(ctx)
		if err != nil {
			klog.V(1).Infof(logPrefix+"No slot was taken: %v", err)
		}
		if ok {
			b.Reset()
			r.serve(ctx)
			continue
		}
		b.Sleep(ctx)
	}
}

// awaitTurn returns true once this node is to try for a slot: relays are
// missing, and the nodes before it in hash order have had their time.
func (r *Relayer) awaitTurn(ctx context.Context) bool {
	var since time.Time
	for sleeper.Sleep(ctx, electionPeriod/2+rand.N(electionPeriod)) {
		k, missing := r.rank()
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

// rank returns this node's place among the candidates of its data centre, and
// the number of relays that are missing there.
func (r *Relayer) rank() (place, missing int) {
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

// acquire takes a free slot under a new lease.
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
	if err := r.spend(); err != nil {
		return false, err
	}
	id, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return false, err
	}
	if _, err := r.store.Put(ctx, k, []byte(s.PeerAddress), revision, id); err != nil {
		if e := r.store.Revoke(ctx, id); e != nil {
			klog.V(1).InfoS("Giving the lease back failed, it will lapse", "slot", k, "cause", e)
		}
		return false, err
	}
	r.lease = id
	r.slot = k
	return true, nil
}

// freeSlot returns a slot that nobody has, or that an earlier life of this node
// has left behind, and its revision.
func (r *Relayer) freeSlot(self gossiper.Member, taken []storer.Item) (string, uint64, bool) {
	m := make(map[string]bool)
	for _, i := range taken {
		if string(i.Value.Data) == self.PeerAddress {
			return i.Key, i.Value.Revision, true
		}
		m[i.Key] = true
	}
	for i := range r.slots {
		k := fmt.Sprintf("%s%s/%d", storer.RelayPrefix, self.DataCenter, i)
		if !m[k] {
			return k, 0, true
		}
	}
	return "", 0, false
}

// list reads the relays of one data centre, or of all when it is empty, and
// introduces this node to them.
func (r *Relayer) list(ctx context.Context, dataCenter string, f storer.Freshness) ([]storer.Item, error) {
	if err := r.spend(); err != nil {
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
		if a := string(i.Value.Data); a != self {
			r.gossiper.Introduce(a)
		}
	}
	return l, nil
}

// spend takes one call from the budget.
func (r *Relayer) spend() error {
	if r.budget.Take(time.Now()) {
		return nil
	}
	return judge.Error(judge.Overloaded, judge.NotRun, "relayer: the budget of store calls is spent")
}

// serve acts as a relay until the slot is lost or ctx is done.
func (r *Relayer) serve(ctx context.Context) {
	klog.Info(logPrefix + "This node is a relay now.")
	r.setRelay(true)
	ctx, cancel := context.WithCancel(ctx)
	var g grouper.Group
	g.Loop(ctx, r.watch)
	g.Go(func() {
		r.introduce(ctx)
		cancel()
	})
	r.renew(ctx)
	cancel()
	g.Wait()
	r.connected.Store(false)
	r.setRelay(false)
	klog.Info(logPrefix + "This node is no relay any more.")
}

func (r *Relayer) setRelay(on bool) {
	r.gossiper.Update(func(m gossiper.Member) gossiper.Member { return m.WithRelay(on) })
}

// renew keeps the lease alive and returns once it has lapsed. While the store
// does not answer, the node goes on: its children need a root all the same.
func (r *Relayer) renew(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForLease)
	for sleeper.Sleep(ctx, renewPeriod) {
		err := r.store.KeepAlive(ctx, r.lease)
		if judge.Is(err, judge.NotFound) {
			klog.Warning(logPrefix + "The lease has lapsed.")
			return
		}
		if err != nil {
			klog.V(1).InfoS("Renewing the lease failed", "slot", r.slot, "cause", err)
		}
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := r.store.Revoke(c, r.lease); err != nil {
		klog.V(1).InfoS("Giving the lease back failed, it will lapse", "slot", r.slot, "cause", err)
	}
}

// introduce finds the relays of other data centres, now and then, so that
// parts of the mesh that lost each other meet again. It returns once the store
// has lost this relay's slot, as when it went back to older data.
func (r *Relayer) introduce(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForIntroduction)
	f := storer.Current
	for {
		l, err := r.list(ctx, "", f)
		if err == nil && !r.owns(l) && f == storer.Recent {
			// An old answer may lack a slot that was taken since.
			l, err = r.list(ctx, "", storer.Current)
		}
		f = storer.Recent
		if err != nil {
			klog.V(1).Infof(logPrefix+"Listing relays failed: %v", err)
		} else if !r.owns(l) {
			klog.Warning(logPrefix + "The store has lost this relay's slot.")
			return
		}
		if !sleeper.Sleep(ctx, listPeriod/2+rand.N(listPeriod)) {
			return
		}
	}
}

func (r *Relayer) owns(l []storer.Item) bool {
	self := r.gossiper.Self().PeerAddress
	for _, i := range l {
		if i.Key == r.slot {
			return string(i.Value.Data) == self
		}
	}
	return false
}
