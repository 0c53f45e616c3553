// Package allocator enforces the caps of workspaces over all nodes together. Each node
// decides at once from what the root of the fleet last told it.
//
// The root counts what all nodes have admitted in the window. While the level that is left
// is high, nodes admit what comes. Below, each takes its share of the level and of what
// becomes free, by its part of the demand. A node without answers admits its even share.
package allocator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// historySlot and historySlots are the resolution and the length of what a node
	// remembers of its own requests.
	historySlot     = 50 * time.Millisecond
	maxHistorySlots = 2048
	// historyMargin is what a node remembers beyond the window.
	historyMargin = 32
	// manyRequests is the number of requests since a node's last report from which on it
	// counts tokens. With fewer it admits a fraction of them.
	manyRequests = 6
	// growthTime is the time before a node's last report to which it compares its
	// requests since, and maxGrowth limits what it concludes.
	growthTime = 400 * time.Millisecond
	maxGrowth  = 4
	// A node with less than a part of its requests before its last report is a newcomer,
	// and takes its part of a larger demand.
	newcomer       = 8
	newcomerGrowth = 1.5
	// settleTime is how long a node does not act on its own after its start: it does not
	// know how many others there are. Nodes that start together find each other in less.
	settleTime = time.Second
	minWait    = 200 * time.Millisecond
	// newTime is how long a workspace counts as new: the root may not know it.
	newTime = 10 * time.Second
)

// Bounds is what the usage of a workspace may come to: in any window, at most
// (rate x Window + burst) x (1 + Over) + Slack requests.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Fleet is what the allocator asks of the exchange of state.
type Fleet interface {
	Coverage(at aggregator.Tier, now time.Time) float64
	Period(from aggregator.Tier) time.Duration
	Known() int
}

// workspace is what a node knows of a workspace with a cap.
type workspace struct {
	id id
	// rate is the cap without bursts, and limit how many requests the window admits.
	rate    float64
	limit   float64
	created time.Time
	// admitted and asked are the node's own requests.
	admitted, asked slots
	// offer is the last one, if listed is set.
	offer  offer
	listed bool
	// credit is the sum of fractions that were not admitted.
	credit float64
	// tokens and refilled are the bucket of the even share. Half of the nodes begin with a
	// token: at the rate of a small workspace the first one takes many seconds.
	tokens   float64
	refilled time.Time
}

// Counts counts decisions.
type Counts struct {
	// Admitted were let through and Rejected turned away; Alone of the decisions were
	// made without recent answers. GivenBack did not arrive at a target, and Repeated
	// arrived again.
	Admitted, Rejected, Alone, GivenBack, Repeated uint64
}

// Allocator decides on the requests of one node, and is topic 1 of the state of the fleet.
type Allocator struct {
	bounds Bounds
	fleet  Fleet
	rand   *rand.Rand

	mu         sync.Mutex
	started    time.Time
	workspaces map[string]*workspace
	limits     map[id]float64
	configured uint32
	counts     Counts

	// leaf and hub tell the next tier; below and root take reports.
	leaf, hub teller
	below     receiver
	heard     time.Time
	root      root
	// reports are the times of the last reports that were counted, and known is when the
	// last answer was true. sameness tells that the root had the same workspaces, and
	// partial that not all offers fitted into the answer.
	reports  []time.Time
	known    time.Time
	sameness bool
	partial  bool
	// offers is what the root last told this hub, and offered when.
	offers      []byte
	offered     time.Time
	offeredHash uint32
	offeredPart uint32
}

// New returns an allocator without workspaces.
func New(b Bounds, f Fleet, r *rand.Rand, now time.Time) *Allocator {
	a := &Allocator{bounds: b, fleet: f, rand: r, started: now, workspaces: make(map[string]*workspace), limits: make(map[id]float64)}
	a.leaf, a.hub = newTeller(r.Uint32(), false), newTeller(r.Uint32(), true)
	return a
}

// Configure sets the workspaces. Those without a rate have no cap.
func (a *Allocator) Configure(list []router.Workspace, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := make(map[string]*workspace)
	a.limits = make(map[id]float64)
	a.configured = 0
	for _, s := range list {
		if s.Rate <= 0 || a.bounds.Window <= 0 {
			continue
		}
		o := a.workspaces[s.Name]
		if o == nil {
			n := min(int(a.bounds.Window/historySlot)+historyMargin, maxHistorySlots)
			o = &workspace{id: idOf(s.Name), created: now, refilled: now, credit: a.rand.Float64(), tokens: float64(a.rand.IntN(2)),
				admitted: newSlots(historySlot, n, now), asked: newSlots(historySlot, n, now)}
		}
		o.rate = s.Rate
		o.limit = s.Rate*a.bounds.Window.Seconds() + max(s.Burst, 0)
		w[s.Name] = o
		a.limits[o.id] = o.limit
		a.configured ^= uint32(idOf(s.Name)) * uint32(math.Float64bits(o.limit)>>20|1)
	}
	a.workspaces = w
}

// Active reports whether there are caps.
func (a *Allocator) Active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.workspaces) > 0
}

// Counts returns the counters.
func (a *Allocator) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Admit decides whether a request of a workspace may run. If not, wait is when its turn
// comes.
func (a *Allocator) Admit(name string, now time.Time) (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workspaces[name]
	if w == nil {
		return 0, true
	}
	w.asked.add(1, now, now)
	wait, ok = a.decide(w, now)
	if !ok {
		a.counts.Rejected++
		a.leaf.add(w.id, usage{rejected: 1})
		return wait/2 + time.Duration(a.rand.Float64()*float64(wait)), false
	}
	a.counts.Admitted++
	w.admitted.add(1, now, now)
	a.leaf.add(w.id, usage{admitted: 1})
	return 0, true
}

// GiveBack takes back the admission of a request that did not arrive at a target.
func (a *Allocator) GiveBack(name string, now time.Time) {
	a.arrived(name, -1, &a.counts.GivenBack, now)
}

// Repeat counts another arrival of an admitted request at a target.
func (a *Allocator) Repeat(name string, now time.Time) {
	a.arrived(name, 1, &a.counts.Repeated, now)
}

func (a *Allocator) arrived(name string, n int64, c *uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.workspaces[name]
	if w == nil {
		return
	}
	*c++
	w.admitted.add(float64(n), now, now)
	a.leaf.add(w.id, usage{admitted: n})
}

func (a *Allocator) decide(w *workspace, now time.Time) (time.Duration, bool) {
	leaf, hub := a.fleet.Period(aggregator.Leaf), a.fleet.Period(aggregator.Hub)
	age := now.Sub(a.known)
	fresh := leaf*3/2 + hub
	switch {
	case a.known.IsZero() || age > fresh+3*leaf,
		!w.listed && age > fresh+leaf,
		!w.listed && (a.partial || !a.sameness && now.Sub(w.created) < newTime):
		a.counts.Alone++
		return a.bounds.Window, a.takeEvenShare(w, now)
	case !w.listed:
		return 0, true
	}
	// When answers fail to come, others may have used up the level.
	trust := min(max(1-float64(age-fresh)/float64(leaf), 0), 1)
	return w.offer.wait, w.takeOffered(a.known, a.countedAt(a.known), trust, refillTime(a.fleet), now)
}

// countedAt returns the time of the last report of this node that the root had counted
// at t.
func (a *Allocator) countedAt(t time.Time) time.Time {
	s := a.started
	for _, r := range a.reports {
		if !r.After(t) {
			s = r
		}
	}
	return s
}

// takeEvenShare admits this node's part of the rate, once it knows how many others there
// are.
func (a *Allocator) takeEvenShare(w *workspace, now time.Time) bool {
	d := min(max(now.Sub(w.refilled), 0), time.Second)
	w.refilled = now
	if now.Sub(a.started) < settleTime {
		return false
	}
	share := w.limit / float64(a.fleet.Known())
	if w.admitted.since(now.Add(-a.bounds.Window), now) >= max(share, 1) {
		return false
	}
	rate := w.rate / float64(a.fleet.Known())
	if now.Sub(a.started) < settleTime+a.bounds.Window {
		rate = recovery * share / a.bounds.Window.Seconds()
	}
	w.tokens = min(w.tokens+rate*d.Seconds(), max(rate/4, 1))
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// takeOffered decides by the offer as of known, to which the node's own requests since
// its report at counted come. trust is the part of the level to rely on.
func (w *workspace) takeOffered(known, counted time.Time, trust float64, refillTime time.Duration, now time.Time) bool {
	o := w.offer
	admitted, asked := w.admitted.since(counted, now), w.asked.since(counted, now)
	// The node takes its part of what all ask since then.
	all := max(o.demand*now.Sub(counted).Seconds(), asked, 1) * w.growth(asked, counted, now)
	level := min(o.level, o.level*trust) + o.freed(max(now.Sub(known), 0), refillTime)
	tokens := max(level, 0) * asked / all
	if asked >= manyRequests {
		return admitted+1 <= tokens
	}
	w.credit = min(w.credit+max(min(o.fraction, 1), 0)*trust, 1)
	if w.credit < 1 || admitted > tokens {
		return false
	}
	w.credit--
	return true
}

// growth returns how much faster requests have come since counted than shortly before,
// but not less than 1. Others may have seen the same, which the demand does not show yet.
func (w *workspace) growth(asked float64, counted, now time.Time) float64 {
	before := w.asked.since(counted.Add(-growthTime), now) - asked
	switch {
	case asked < manyRequests:
		return 1
	case before < asked/newcomer:
		// Others, whose requests have come here since, may still use what they were offered.
		return newcomerGrowth
	}
	g := asked / now.Sub(counted).Seconds() * growthTime.Seconds() / before
	return min(max(g, 1), maxGrowth)
}
