package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	logPrefix = "syncer: "

	pollWait       = 20 * time.Second
	pollGrace      = 3 * time.Second
	fetchTimeout   = 3 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// checkPeriod is the period of checks while the node is behind or has just reported
	// a change, and calmCheckPeriod the one at other times.
	checkPeriod     = 50 * time.Millisecond
	calmCheckPeriod = 200 * time.Millisecond
	// hintGrace is the delay between learning of a higher generation and fetching
	// it outside the tree, which normally delivers it within a few round trips.
	hintGrace = 150 * time.Millisecond
)

var errBusy = errors.New("syncer: parent is busy")

// Puller keeps a node's configuration up to date by pulling from a parent.
type Puller struct {
	holder   *holder.Holder
	gossiper *gossiper.Gossiper
	dial     gossiper.Dialer
	tallier  *ReportAggregator
	fanOut   int

	parent atomic.Pointer[gossiper.Member]

	mu          sync.Mutex
	cancel      context.CancelFunc
	sentReport  Report
	behindSince time.Time
}

// NewPuller returns a puller that stores the configuration in h.
func NewPuller(h *holder.Holder, g *gossiper.Gossiper, d gossiper.Dialer, t *ReportAggregator, fanOut int) *Puller {
	return &Puller{holder: h, gossiper: g, dial: d, tallier: t, fanOut: fanOut}
}

// Start runs the loops in group until ctx is done.
func (p *Puller) Start(ctx context.Context, group *grouper.Group) {
	group.Loop(ctx, p.pull)
	group.Loop(ctx, p.check)
	group.Loop(ctx, p.announce)
}

// Parent returns the name of the current parent, empty if there is none.
func (p *Puller) Parent() string {
	m := p.parent.Load()
	if m == nil {
		return ""
	}
	return m.Node
}

// ParentAddress returns the peer address of the current parent, empty if there is none.
func (p *Puller) ParentAddress() string {
	m := p.parent.Load()
	if m == nil || p.gossiper.Self().Relay {
		return ""
	}
	return m.PeerAddress
}

// Report returns the report of the node's subtree.
func (p *Puller) Report() Report {
	return p.tallier.Sum(p.holder.Current().Generation(), time.Now())
}

// pull polls the candidate parents in order. It stays with a parent that answers.
func (p *Puller) pull(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b := sleeper.Backoff{First: initialBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		ok := false
		for _, m := range p.parents(r) {
			if ok = p.follow(ctx, m); ok || ctx.Err() != nil {
				break
			}
		}
		if ok {
			b.Reset()
			continue
		}
		p.parent.Store(nil)
		b.Sleep(ctx)
	}
}

// parents returns the candidate parents; a relay has none, because it watches the
// store.
func (p *Puller) parents(r *rand.Rand) []gossiper.Member {
	s := p.gossiper.Self()
	if s.Relay {
		return nil
	}
	return CandidateParents(p.gossiper.View(), s, p.fanOut, r)
}

// follow polls m once and reports whether m is a working parent.
func (p *Puller) follow(ctx context.Context, m gossiper.Member) bool {
	ctx, done := p.withCancelablePoll(ctx)
	defer done()
	p.parent.Store(&m)
	err := p.poll(ctx, m.PeerAddress, pollWait)
	if err == nil {
		return true
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// This node canceled the poll, to send a new report or to change its parent.
		return p.usable(m.Node)
	}
	klog.V(1).Infof(logPrefix+"Parent %s failed: %v", m.Node, err)
	return false
}

// withCancelablePoll makes the running poll cancellable.
func (p *Puller) withCancelablePoll(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.cancel = cancel
	p.mu.Unlock()
	return ctx, cancel
}

func (p *Puller) cancelPoll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
}

func (p *Puller) usable(node string) bool {
	for _, m := range p.gossiper.View().DataCenter(p.gossiper.Self().DataCenter) {
		if m.Node == node {
			return m.Status == gossiper.Serving
		}
	}
	return false
}

// poll asks the node at address for a newer generation and applies it.
func (p *Puller) poll(ctx context.Context, address string, wait time.Duration) error {
	c := p.holder.Current()
	q := p.request(c, wait)
	a, err := p.call(ctx, address, q, wait)
	if err != nil || !a.GetChanged() {
		return err
	}
	err = p.apply(c, a)
	if err == nil || a.GetWhole() {
		return err
	}
	klog.Warningf(logPrefix+"Applying a delta failed; fetching the whole configuration: %v", err)
	q.Whole = true
	a, err = p.call(ctx, address, q, wait)
	if err != nil || !a.GetChanged() {
		return err
	}
	return p.apply(c, a)
}

func (p *Puller) request(c *holder.Snapshot, wait time.Duration) *messenger.PullRequest {
	s := p.gossiper.Self()
	q := &messenger.PullRequest{Node: s.Node, DataCenter: s.DataCenter, WaitMs: uint32(wait.Milliseconds())}
	if c != nil {
		q.Generation = c.Generation()
		q.StateDigest = c.StateDigest[:]
	}
	if wait == 0 {
		return q
	}
	r := p.tallier.Sum(c.Generation(), time.Now())
	q.Tallies = WriteTallies(r.Tallies)
	q.Laggards = WriteLaggards(r.Laggards)
	p.mu.Lock()
	p.sentReport = r
	p.mu.Unlock()
	return q
}

func (p *Puller) call(ctx context.Context, address string, q *messenger.PullRequest, wait time.Duration) (*messenger.PullResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	a, err := p.dial(address).Pull(ctx, q)
	if err != nil {
		return nil, err
	}
	if a.GetBusy() {
		return nil, errBusy
	}
	return a, nil
}

func (p *Puller) apply(base *holder.Snapshot, a *messenger.PullResponse) error {
	s, l, err := Assemble(base, a)
	if err != nil {
		return err
	}
	o, err := p.holder.Offer(s, l)
	if o == holder.Stale || o == holder.Forked {
		klog.Warningf(logPrefix+"Refused generation %d: %s.", s.Generation, o)
	}
	return err
}

// check cancels the running poll if the report has changed or the parent is no
// longer usable, and fetches generations that the tree has not delivered.
func (p *Puller) check(ctx context.Context) {
	for d := checkPeriod; sleeper.Sleep(ctx, d); {
		o := p.outdated()
		if o {
			p.cancelPoll()
		}
		d = calmCheckPeriod
		if behind := p.catchUp(ctx); o || behind {
			d = checkPeriod
		}
	}
}

// outdated reports whether the running poll has to be canceled: this node is a
// relay, the parent is no longer usable, or the report has changed.
func (p *Puller) outdated() bool {
	m := p.parent.Load()
	if m == nil {
		return false
	}
	s := p.gossiper.Self()
	if s.Relay || (m.DataCenter == s.DataCenter && !p.usable(m.Node)) {
		return true
	}
	r := p.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	return !r.Equal(p.sentReport)
}

// catchUp polls the member with the highest known generation once this node has
// been behind for hintGrace. It reports whether the node was behind.
func (p *Puller) catchUp(ctx context.Context) bool {
	h := p.gossiper.NewestConfiguration()
	if h.Generation <= p.holder.Current().Generation() {
		p.behindSince = time.Time{}
		return false
	}
	if p.behindSince.IsZero() {
		p.behindSince = time.Now()
	}
	if time.Since(p.behindSince) >= hintGrace {
		p.Fetch(ctx, h.Address)
		p.behindSince = time.Now()
	}
	return true
}

// Fetch applies the configuration of the node at address, if it has a newer one.
func (p *Puller) Fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := p.poll(ctx, address, 0); err != nil {
		klog.V(1).Infof(logPrefix+"Fetching from %s failed: %v", address, err)
	}
}

// announce reports each new generation to the membership protocol and the log.
func (p *Puller) announce(ctx context.Context) {
	var g uint64
	for ctx.Err() == nil {
		c := p.holder.Wait(ctx, g)
		if c.Generation() <= g {
			return
		}
		g = c.Generation()
		p.gossiper.SetConfiguration(g, c.StateDigest)
		p.gossiper.AdvertiseConfiguration()
		klog.InfoS("Configuration applied", "generation", g, "digest", c.StateDigest.Short())
	}
}
