package gossiper

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

const (
	exchangePeriod  = 2 * time.Second
	exchangeTimeout = 2 * time.Second
	// wholeTablesPerSecond admits joining nodes, which take the whole table.
	wholeTablesPerSecond = 50
)

// Dialer returns the client of the node at a peer address.
type Dialer func(address string) messenger.Mesh

// Reconciler compares whole tables with peers, which repairs what rumors
// missed and brings a starting node up to date.
type Reconciler struct {
	gossiper *Gossiper
	dial     Dialer
	admitted *limiter.Bucket
}

// NewReconciler returns a reconciler for g's table.
func NewReconciler(g *Gossiper, d Dialer) *Reconciler {
	return &Reconciler{gossiper: g, dial: d, admitted: limiter.NewBucket(wholeTablesPerSecond, wholeTablesPerSecond)}
}

// Run compares tables with peers that stay different, until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	t := time.NewTicker(exchangePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.compare(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reconciler) compare(ctx context.Context) {
	m, ok := r.differing()
	if !ok {
		return
	}
	if _, err := r.Exchange(ctx, m.PeerAddress, false); err != nil {
		klog.V(1).Infof(logPrefix+"Comparing tables with %s failed: %v", m.Node, err)
	}
}

func (r *Reconciler) differing() (Member, bool) {
	r.gossiper.mu.Lock()
	defer r.gossiper.mu.Unlock()
	return r.gossiper.core.Differing()
}

// Exchange merges tables with the node at address, and reports whether it had
// the time. The whole table is asked for when joining.
func (r *Reconciler) Exchange(ctx context.Context, address string, joining bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c := r.dial(address)
	a, err := c.Exchange(ctx, r.request(joining))
	if err != nil || a.GetBusy() {
		return false, err
	}
	r.take("", a.GetMembers())
	if len(a.GetWanted()) == 0 {
		return true, nil
	}
	_, err = c.Exchange(ctx, r.push(a.GetWanted()))
	return true, err
}

func (r *Reconciler) request(joining bool) *messenger.ExchangeRequest {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &messenger.ExchangeRequest{Node: g.core.self.Node}
	if joining {
		q.Members = WriteMembers([]Member{g.core.self})
		return q
	}
	q.Buckets = append(q.Buckets, g.core.table.buckets[:]...)
	return q
}

func (r *Reconciler) push(wanted []uint32) *messenger.ExchangeRequest {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	var w [BucketCount]bool
	for _, b := range wanted {
		w[b%BucketCount] = true
	}
	return &messenger.ExchangeRequest{
		Node:    g.core.self.Node,
		Members: WriteMembers(g.core.table.inBuckets(func(b uint64) bool { return w[b] })),
		Buckets: append([]uint64(nil), g.core.table.buckets[:]...),
	}
}

func (r *Reconciler) take(from string, list []*messenger.Member) {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Merge(from, ReadMembers(list), time.Now())
	g.core.Exchanged()
	g.refresh()
}

// Serve answers the comparison that another node started.
func (r *Reconciler) Serve(q *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	r.take(q.GetNode(), q.GetMembers())
	if len(q.GetBuckets()) != BucketCount {
		return r.whole()
	}
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &messenger.ExchangeResponse{}
	for i, d := range q.GetBuckets() {
		if d != g.core.table.buckets[i] {
			a.Wanted = append(a.Wanted, uint32(i))
		}
	}
	if len(a.Wanted) == 0 || len(q.GetMembers()) > 0 {
		// The second round of an exchange only pushes.
		a.Wanted = nil
		return a
	}
	a.Members = WriteMembers(g.core.table.inBuckets(func(b uint64) bool { return q.GetBuckets()[b] != g.core.table.buckets[b] }))
	return a
}

func (r *Reconciler) whole() *messenger.ExchangeResponse {
	if !r.admitted.Take(time.Now()) {
		return &messenger.ExchangeResponse{Busy: true}
	}
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	return &messenger.ExchangeResponse{Members: WriteMembers(g.core.table.members())}
}
