package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

const (
	exchangePeriod = 2 * time.Second
	// maxSummaries limits the size of one comparison, to about 4 KB. With 6,200
	// members two buckets have as many.
	maxSummaries    = 200
	exchangeTimeout = 2 * time.Second
	// wholeTablesPerSecond limits how many joining nodes get the whole table.
	wholeTablesPerSecond = 50
)

// Dialer returns the client of the node at a peer address.
type Dialer func(address string) messenger.Mesh

// Reconciler compares tables with peers. This delivers updates that rumors missed
// and gives a starting node the whole table.
type Reconciler struct {
	gossiper          *Gossiper
	dial              Dialer
	wholeTableLimiter *limiter.Bucket
}

// NewReconciler returns a reconciler for g's table.
func NewReconciler(g *Gossiper, d Dialer) *Reconciler {
	return &Reconciler{gossiper: g, dial: d, wholeTableLimiter: limiter.NewBucket(wholeTablesPerSecond, wholeTablesPerSecond)}
}

// Run compares tables with peers whose tables keep differing, until ctx is done.
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
	r.gossiper.mu.Lock()
	defer r.gossiper.mu.Unlock()
	r.gossiper.core.Compared(m.Node)
}

func (r *Reconciler) differing() (Member, bool) {
	r.gossiper.mu.Lock()
	defer r.gossiper.mu.Unlock()
	return r.gossiper.core.Differing()
}

// Exchange compares tables with the node at address. It returns false without an
// error if that node is busy. A joining node requests the whole table; otherwise
// a few differing buckets are compared by summaries, and only the records that
// either side lacks are sent.
func (r *Reconciler) Exchange(ctx context.Context, address string, joining bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c := r.dial(address)
	a, err := c.Exchange(ctx, r.request(joining))
	if err != nil || a.GetBusy() {
		return false, err
	}
	r.mergeRecords("", a.GetMembers(), joining)
	if joining {
		r.scheduleComparison(address)
		r.gossiper.announce()
	}
	q := r.compareSummaries(a)
	if len(q.GetMembers()) == 0 && len(q.GetWanted()) == 0 {
		return true, nil
	}
	a, err = c.Exchange(ctx, q)
	if err != nil {
		return false, err
	}
	r.mergeRecords("", a.GetMembers(), false)
	return true, nil
}

// scheduleComparison has this node compare tables once more with the member through
// which it joined. Members that joined meanwhile through others may have been
// gossiped before anyone knew this node.
func (r *Reconciler) scheduleComparison(address string) {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	for n, w := range g.core.table.rows {
		if w.member.PeerAddress == address && n != g.core.self.Node {
			g.core.differences.noteNewMember(n)
			return
		}
	}
}

func (r *Reconciler) request(joining bool) *messenger.ExchangeRequest {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &messenger.ExchangeRequest{Node: g.core.self.Node}
	if joining {
		q.Joining = true
		q.Members = WriteMembers([]Member{g.core.self})
		return q
	}
	q.Buckets = append(q.Buckets, g.core.table.buckets[:]...)
	return q
}

// compareSummaries applies the peer's summaries and returns a request with the
// records to push and the hashes of those to fetch.
func (r *Reconciler) compareSummaries(a *messenger.ExchangeResponse) *messenger.ExchangeRequest {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &messenger.ExchangeRequest{Node: g.core.self.Node}
	theirs := make(map[uint64]Tombstone)
	for _, t := range readTombstones(a.GetSummaries()) {
		theirs[t.NodeHash] = t
		if g.core.lacks(t) {
			q.Wanted = append(q.Wanted, t.NodeHash)
			continue
		}
		g.core.applyTombstone(t, false, time.Now())
	}
	defer g.wake()
	for _, m := range g.core.table.inBuckets(a.GetDiffering()) {
		if t, ok := theirs[HashNode(m.Node)]; !ok || m.supersedes(Member{Incarnation: t.Incarnation, Condition: t.Condition}) {
			q.Members = append(q.Members, WriteMembers([]Member{m})...)
		}
	}
	g.refresh()
	return q
}

// lacks reports whether the record summarized by t is unknown or newer than the
// known one, so that it has to be fetched.
func (c *Core) lacks(t Tombstone) bool {
	n, ok := c.table.byHash[t.NodeHash]
	if !ok {
		return true
	}
	m, _ := c.table.get(n)
	return t.Incarnation > m.Incarnation
}

// mergeRecords applies records from another node, or its whole table.
func (r *Reconciler) mergeRecords(from string, list []*messenger.Member, whole bool) {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.core.MergeTable(ReadMembers(list), time.Now())
	} else {
		g.core.Merge(from, ReadMembers(list), time.Now())
	}
	g.core.ResetDifferences()
	g.refresh()
	g.wake()
}

// Serve handles an exchange request of another node.
func (r *Reconciler) Serve(q *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	if q.GetJoining() {
		// The response must hold the record of the node's earlier process, so it is
		// built before the new record replaces that one.
		a := r.wholeTable()
		if !a.GetBusy() {
			r.mergeRecords(q.GetNode(), q.GetMembers(), false)
		}
		return a
	}
	r.mergeRecords(q.GetNode(), q.GetMembers(), false)
	switch {
	case len(q.GetBuckets()) == BucketCount:
		return r.summarize(q.GetBuckets())
	case len(q.GetWanted()) > 0:
		return r.records(q.GetWanted())
	}
	return &messenger.ExchangeResponse{}
}

// summarize returns summaries of the records in random buckets that differ, of at least
// one bucket and otherwise up to maxSummaries.
func (r *Reconciler) summarize(buckets []uint64) *messenger.ExchangeResponse {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &messenger.ExchangeResponse{Differing: g.core.table.differing(buckets, rand.Perm(BucketCount))}
	for _, m := range g.core.table.inBuckets(a.GetDiffering()) {
		a.Summaries = append(a.Summaries, writeTombstone(tombstone(m)))
	}
	return a
}

func (r *Reconciler) records(wanted []uint64) *messenger.ExchangeResponse {
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	var l []Member
	for _, h := range wanted {
		if m, ok := g.core.table.get(g.core.table.byHash[h]); ok {
			l = append(l, m)
		}
	}
	return &messenger.ExchangeResponse{Members: WriteMembers(l)}
}

func (r *Reconciler) wholeTable() *messenger.ExchangeResponse {
	if !r.wholeTableLimiter.Take(time.Now()) {
		return &messenger.ExchangeResponse{Busy: true}
	}
	g := r.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	return &messenger.ExchangeResponse{Members: WriteMembers(g.core.table.members())}
}
