// Package balancer selects a target for each call, based on the results of this
// node's own calls and on the load that targets report with their answers.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a target.
	ejectionThreshold = 2
	minEjection       = time.Second
	maxEjection       = 15 * time.Second
	durationWeight    = 0.2
	// shedCooldown is how long a target is avoided after it shed a call.
	shedCooldown = 100 * time.Millisecond
	// statsRetention is how long unused statistics are kept.
	statsRetention = time.Minute
	// loadDecayTime is the time constant for the decay of a reported load, about
	// the duration of a call.
	loadDecayTime = 300 * time.Millisecond
	// durationDecayTime is the time constant with which the average duration of a
	// target decays towards the average of all targets, so that a target that was
	// slow is tried again.
	durationDecayTime = 3 * time.Second
	// unknownDuration is the estimate used until the first call has finished.
	unknownDuration = 50 * time.Millisecond
	// saturationSlowdown is the expected relative slowdown of a target with all
	// slots in use, compared with an idle one.
	saturationSlowdown = 0.5
	// distanceCostShare is the share of the objective by which a target in another
	// data centre must be faster, because traffic between data centres costs money.
	distanceCostShare = 0.25
	// defaultObjective is used for routes without an objective.
	defaultObjective = 500 * time.Millisecond
	// degradedFailureShare is the failure rate above which a target is avoided
	// while others are available.
	degradedFailureShare = 0.15
)

// Outcome tells how a call to a target ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the target answered, with any status.
	Answered Outcome = iota
	// Shed means that the target's gate refused the call because of load.
	Shed
	// Departed means that the target's gate refused the call because the target
	// is draining or has left.
	Departed
	// Failed means that the target or its node broke off the call.
	Failed
	// Unreachable means that the target's node could not be reached.
	Unreachable
	// Cancelled means that the call was abandoned for another reason.
	Cancelled
)

// Query holds the parameters of a selection.
type Query struct {
	DataCenter string
	// Node is preferred among equal targets, because calls to it stay off the
	// network.
	Node string
	// Class groups calls whose durations are averaged together.
	Class string
	// Objective is the time within which an answer keeps its full value.
	Objective time.Duration
	// Queue means that the call asks for a place in a queue, so that targets without a
	// free slot are as good as others. It only has a meaning while loads are shared.
	Queue bool
	// Tried holds the addresses to exclude.
	Tried map[string]bool
}

// targetStats holds the statistics of one target at this node.
type targetStats struct {
	outstanding    int
	failures       int
	ejectedUntil   time.Time
	fullUntil      time.Time
	usedAt         time.Time
	incarnation    uint64
	load           gatekeeper.Load
	loadReportedAt time.Time
	// startedSinceReport counts the calls started by this node since the last load
	// report.
	startedSinceReport int
	durations          map[string]durationSample
	shared             sharedStats
	// starts holds the start times of the calls in flight.
	starts []time.Time
}

type durationSample struct {
	average    time.Duration
	reportedAt time.Time
}

// Balancer selects targets and keeps their statistics. Its zero value is ready to
// use.
type Balancer struct {
	mu      sync.Mutex
	targets map[string]*targetStats
	// meanDurations holds the average duration of each class over all targets.
	meanDurations map[string]time.Duration
	sweptAt       time.Time
	// sharedAt is the time of the newest load that another node has shared.
	sharedAt time.Time
	// pickedAt is when a target was selected last, and slowdownAt when an answer stated a
	// slowdown last.
	pickedAt   time.Time
	slowdownAt time.Time
	// fullShare is the share of gates that had no free slot when they were asked for one.
	fullShare float64
}

// Pick selects one of the endpoints. It draws two at random from the own data
// centre and two from the others, and selects the one expected to answer first,
// with a cost for distance (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001). Degraded targets, targets that have just shed a call and
// ejected targets are used, in this order, only if no other is available.
func (b *Balancer) Pick(list []gossiper.Endpoint, q Query, now time.Time) (gossiper.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	b.pickedAt = now
	t := b.tiers(list, q, now)
	if b.sharing(now) {
		return b.pickShared(t, q, now)
	}
	if p, ok := b.cheapest(q, now, drawCandidates(t[nearTier], q), drawCandidates(t[farTier], q)); ok {
		return p, true
	}
	for _, l := range t[degradedTier:] {
		if p, ok := b.cheapest(q, now, drawCandidates(l, q)); ok {
			return p, true
		}
	}
	return gossiper.Endpoint{}, false
}

// The tiers of targets.
const (
	nearTier = iota
	farTier
	degradedTier
	fullTier
	ejectedTier
	tierCount
)

func (b *Balancer) tiers(list []gossiper.Endpoint, q Query, now time.Time) [tierCount][]gossiper.Endpoint {
	var t [tierCount][]gossiper.Endpoint
	for _, e := range list {
		if q.Tried[e.Address] {
			continue
		}
		i := b.tier(e, q.DataCenter, now)
		t[i] = append(t[i], e)
	}
	return t
}

func (b *Balancer) tier(e gossiper.Endpoint, dataCenter string, now time.Time) int {
	r := b.targets[e.Address]
	switch {
	case r != nil && now.Before(r.ejectedUntil) && r.incarnation == e.Incarnation:
		return ejectedTier
	case r != nil && now.Before(r.fullUntil):
		return fullTier
	case r != nil && r.load.Failures > degradedFailureShare && now.Sub(r.loadReportedAt) < durationDecayTime:
		return degradedTier
	case e.DataCenter == dataCenter:
		return nearTier
	}
	return farTier
}

// drawCandidates returns up to two random endpoints of l, plus an endpoint on the
// caller's node if there is one.
func drawCandidates(l []gossiper.Endpoint, q Query) []gossiper.Endpoint {
	if len(l) <= 2 {
		return l
	}
	i := rand.IntN(len(l))
	j := rand.IntN(len(l) - 1)
	if j >= i {
		j++
	}
	d := []gossiper.Endpoint{l[i], l[j]}
	for _, e := range l {
		if e.Node == q.Node {
			return append(d, e)
		}
	}
	return d
}

func (b *Balancer) cheapest(q Query, now time.Time, lists ...[]gossiper.Endpoint) (gossiper.Endpoint, bool) {
	var p gossiper.Endpoint
	lowest := math.Inf(1)
	for _, l := range lists {
		// The first of several equal endpoints wins, so start at a random one.
		o := rand.IntN(max(len(l), 1))
		for i := range l {
			e := l[(i+o)%len(l)]
			if c := b.cost(e, q, now); c < lowest {
				p, lowest = e, c
			}
		}
	}
	return p, !math.IsInf(lowest, 1)
}

// cost returns the expected answer time of e in nanoseconds, including the cost
// of its distance.
func (b *Balancer) cost(e gossiper.Endpoint, q Query, now time.Time) float64 {
	d := b.duration(e.Address, q.Class, now)
	n := b.inFlight(e.Address, now)
	s := float64(max(e.Slots, 1))
	if e.Slots == 0 {
		// Without a known slot count, calls are assumed to run one after the other.
		return d*(n+1) + b.distance(e, q)
	}
	u := min(n/s, 1)
	c := d * (1 + saturationSlowdown*u*u)
	if excess := n + 1 - s; excess > 0 {
		c += d * excess / s
	}
	return c + b.distance(e, q)
}

// distance returns the cost of the network distance between this node and e.
func (b *Balancer) distance(e gossiper.Endpoint, q Query) float64 {
	o := q.Objective
	if o == 0 {
		o = defaultObjective
	}
	switch {
	case e.Node == q.Node:
		return 0
	case e.DataCenter == q.DataCenter:
		return float64(o) * distanceCostShare / 10
	}
	return float64(o) * distanceCostShare
}

// duration estimates the duration of a call of a class at a target.
func (b *Balancer) duration(address, class string, now time.Time) float64 {
	p, ok := b.meanDurations[class]
	if !ok {
		p = unknownDuration
	}
	r := b.targets[address]
	if r == nil {
		return float64(p)
	}
	s, ok := r.durations[class]
	if !ok {
		return float64(p)
	}
	w := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(durationDecayTime))
	return w*float64(s.average) + (1-w)*float64(p)
}

// Typical returns the average duration of a call of a class, or zero if unknown.
func (b *Balancer) Typical(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.meanDurations[class]
}

// inFlight estimates the number of calls at a target from its last reported load,
// which decays over time, and from the calls this node has started since.
func (b *Balancer) inFlight(address string, now time.Time) float64 {
	r := b.targets[address]
	if r == nil {
		return 0
	}
	w := math.Exp(-float64(now.Sub(r.loadReportedAt)) / float64(loadDecayTime))
	reported := w*float64(r.load.Running+r.load.Waiting) + float64(r.startedSinceReport)
	return max(reported, float64(r.outstanding))
}

// Busy reports whether a target probably has no free slot, because it has just
// shed a call or reported queued requests.
func (b *Balancer) Busy(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.targets[address]
	if r != nil && b.sharing(now) {
		return now.Before(r.fullUntil) || !r.freeProbably(now)
	}
	return r != nil && (now.Before(r.fullUntil) || (r.load.Waiting > 0 && now.Sub(r.loadReportedAt) < shedCooldown))
}

// Start records the start of a call to e. The returned function records its end.
func (b *Balancer) Start(e gossiper.Endpoint, now time.Time) func(Outcome, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsOf(e.Address)
	r.outstanding++
	r.startedSinceReport++
	r.usedAt = now
	r.noteStart(now)
	return func(o Outcome, end time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if r.startedSinceReport > 0 && !now.Before(r.loadReportedAt) {
			r.startedSinceReport--
		}
		r.noteEnd(now)
		b.finish(r, e, o, end)
	}
}

func (b *Balancer) statsOf(address string) *targetStats {
	if b.targets == nil {
		b.targets = make(map[string]*targetStats)
	}
	r := b.targets[address]
	if r == nil {
		r = &targetStats{durations: make(map[string]durationSample)}
		b.targets[address] = r
	}
	return r
}

// Learn records the load that a target reported with its answer to a call of
// class.
func (b *Balancer) Learn(address, class string, l gatekeeper.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsOf(address)
	r.load, r.loadReportedAt, r.startedSinceReport = l, now, 0
	r.learnShared(l, now)
	if l.Slowdown > 0 {
		b.slowdownAt = now
	}
	r.usedAt = now
	if l.Duration == 0 {
		return
	}
	r.durations[class] = durationSample{average: l.Duration, reportedAt: now}
	if b.meanDurations == nil {
		b.meanDurations = make(map[string]time.Duration)
	}
	p, ok := b.meanDurations[class]
	if !ok {
		p = l.Duration
	}
	b.meanDurations[class] = p + time.Duration(durationWeight*float64(l.Duration-p))
}

func (b *Balancer) finish(r *targetStats, e gossiper.Endpoint, o Outcome, now time.Time) {
	r.outstanding--
	switch o {
	case Answered:
		r.failures = 0
		r.ejectedUntil = time.Time{}
	case Shed:
		r.fullUntil = now.Add(shedCooldown)
	case Departed, Unreachable:
		r.eject(e, now, minEjection)
	case Failed:
		r.failures++
		if r.failures >= ejectionThreshold {
			r.eject(e, now, ejectionDuration(r.failures))
		}
	case Cancelled:
	}
}

// eject ejects the incarnation that failed. A target that returns with a newer
// incarnation is used immediately.
func (r *targetStats) eject(e gossiper.Endpoint, now time.Time, d time.Duration) {
	r.ejectedUntil = now.Add(d)
	r.incarnation = e.Incarnation
}

func ejectionDuration(failures int) time.Duration {
	d := minEjection << min(failures-ejectionThreshold, 8)
	return min(d, maxEjection)
}

// sweep removes statistics that have not been used for statsRetention.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < statsRetention {
		return
	}
	b.sweptAt = now
	for k, r := range b.targets {
		if r.outstanding == 0 && now.Sub(r.usedAt) > statsRetention {
			delete(b.targets, k)
		}
	}
}

// Ejected returns the number of targets that are ejected at now.
func (b *Balancer) Ejected(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.targets {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}
