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

	pollWait     = 20 * time.Second
	pollGrace    = 3 * time.Second
	catchUpBound = 3 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	checkPeriod  = 50 * time.Millisecond
	// hintGrace is how long a higher generation may be known of before it is
	// fetched past the tree, which brings it within a few round trips.
	hintGrace = 150 * time.Millisecond
)

var errBusy = errors.New("syncer: parent is busy")

// Puller keeps a node's configuration current by pulling from a parent.
type Puller struct {
	holder   *holder.Holder
	gossiper *gossiper.Gossiper
	dial     gossiper.Dialer
	tallier  *Tallier
	fanOut   int

	parent atomic.Pointer[gossiper.Member]

	mu     sync.Mutex
	cancel context.CancelFunc
	sent   Report
	behind time.Time
}

// NewPuller returns a puller into h.
func NewPuller(h *holder.Holder, g *gossiper.Gossiper, d gossiper.Dialer, t *Tallier, fanOut int) *Puller {
	return &Puller{holder: h, gossiper: g, dial: d, tallier: t, fanOut: fanOut}
}

// Start runs the loops in group until ctx is done.
func (p *Puller) Start(ctx context.Context, group *grouper.Group) {
	group.Loop(ctx, p.pull)
	group.Loop(ctx, p.check)
	group.Loop(ctx, p.announce)
}

// Parent returns the node that is pulled from, empty when there is none.
func (p *Puller) Parent() string {
	m := p.parent.Load()
	if m == nil {
		return ""
	}
	return m.Node
}

// Report returns what is known of the node's subtree.
func (p *Puller) Report() Report {
	return p.tallier.Sum(p.holder.Current().Generation(), time.Now())
}

// pull polls one parent after another. A parent that answers is kept.
func (p *Puller) pull(ctx context.Context) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	b := sleeper.Backoff{First: minBackoff, Max: maxBackoff}
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

// parents returns nothing for a relay, which watches the store instead.
func (p *Puller) parents(r *rand.Rand) []gossiper.Member {
	s := p.gossiper.Self()
	if s.Relay {
		return nil
	}
	return Parents(p.gossiper.View(), s, p.fanOut, r)
}

// follow polls m once and reports whether m is a working parent.
func (p *Puller) follow(ctx context.Context, m gossiper.Member) bool {
	ctx, done := p.track(ctx)
	defer done()
	p.parent.Store(&m)
	err := p.poll(ctx, m.PeerAddress, pollWait)
	if err == nil {
		return true
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// The poll was ended from here, to send a new report or to move on.
		return p.usable(m.Node)
	}
	klog.V(1).Infof(logPrefix+"Parent %s failed: %v", m.Node, err)
	return false
}

// track makes the running poll cancellable.
func (p *Puller) track(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	p.cancel = cancel
	p.mu.Unlock()
	return ctx, cancel
}

func (p *Puller) interrupt() {
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
	klog.Warningf(logPrefix+"A delta did not fit, fetching all: %v", err)
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
	p.sent = r
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

// check ends the running poll when the report has changed or the parent has
// gone, and fetches generations that the tree did not bring.
func (p *Puller) check(ctx context.Context) {
	for sleeper.Sleep(ctx, checkPeriod) {
		if p.outdated() {
			p.interrupt()
		}
		p.catchUp(ctx)
	}
}

// outdated reports whether the running poll is of no more use as it is.
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
	return !r.Equal(p.sent)
}

// catchUp polls the member that is known to hold a higher generation once it
// has been ahead for hintGrace.
func (p *Puller) catchUp(ctx context.Context) {
	h := p.gossiper.Best()
	if h.Generation <= p.holder.Current().Generation() {
		p.behind = time.Time{}
		return
	}
	if p.behind.IsZero() {
		p.behind = time.Now()
	}
	if time.Since(p.behind) < hintGrace {
		return
	}
	p.Fetch(ctx, h.Address)
	p.behind = time.Now()
}

// Fetch takes the configuration of the node at address, if it has a newer one.
func (p *Puller) Fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, catchUpBound)
	defer cancel()
	if err := p.poll(ctx, address, 0); err != nil {
		klog.V(1).Infof(logPrefix+"Fetching from %s failed: %v", address, err)
	}
}

// announce tells the membership protocol and the log of each generation.
func (p *Puller) announce(ctx context.Context) {
	var g uint64
	for ctx.Err() == nil {
		c := p.holder.Wait(ctx, g)
		if c.Generation() <= g {
			return
		}
		g = c.Generation()
		p.gossiper.Hold(g, c.StateDigest)
		p.gossiper.Hint()
		klog.InfoS("Configuration applied", "generation", g, "digest", c.StateDigest.Short())
	}
}
