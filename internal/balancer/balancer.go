// Package balancer chooses the target of a call by what this node has seen of
// the targets itself, and by the load that their gates tell with each answer.
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
	// ejectAfter is the number of failures in a row that eject a target.
	ejectAfter   = 2
	firstEject   = time.Second
	maxEject     = 15 * time.Second
	latencyShare = 0.2
	// fullPenalty lasts after a target has shed a call.
	fullPenalty = 100 * time.Millisecond
	// recordRetention is how long an unused record is kept.
	recordRetention = time.Minute
	// loadFade is the time in which a report of a target's load loses most of
	// its weight: about the duration of a call.
	loadFade = 300 * time.Millisecond
	// durationFade is the time in which a target's average duration loses most
	// of its weight against that of its peers, so that a target that was slow
	// is tried again.
	durationFade = 3 * time.Second
	// unknownDuration stands in until any call has ended.
	unknownDuration = 50 * time.Millisecond
	// crowding is by how much a target whose slots are all taken is expected
	// to be slower than an idle one.
	crowding = 0.5
	// distanceShare is the part of the objective that a target in another data
	// centre must be faster by: bytes between data centres cost money.
	distanceShare = 0.25
	// defaultObjective is used for routes without one.
	defaultObjective = 500 * time.Millisecond
	// greyShare is the share of failures from which a target is avoided while
	// others do better.
	greyShare = 0.15
)

// Outcome says how a call to a target ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the target answered, whatever the answer.
	Answered Outcome = iota
	// Shed means that the target's gate refused for load.
	Shed
	// Departed means that the target's gate refused because it drains or left.
	Departed
	// Failed means that the target or its node broke the call off.
	Failed
	// Unreachable means that the target's node could not be reached.
	Unreachable
	// Cancelled means that the call was given up for other reasons.
	Cancelled
)

// Query is what the choice depends on besides the targets.
type Query struct {
	DataCenter string
	// Node is preferred among equals: a call to it crosses no network.
	Node string
	// Class names the kind of work, whose durations are averaged.
	Class string
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Tried lists the addresses that are left out.
	Tried map[string]bool
}

// record is what this node knows of one target.
type record struct {
	outstanding int
	failures    int
	ejected     time.Time
	full        time.Time
	used        time.Time
	incarnation uint64
	load        gatekeeper.Load
	loadAt      time.Time
	// since counts the calls begun here after the load was told.
	since     int
	durations map[string]sample
}

type sample struct {
	average time.Duration
	at      time.Time
}

// Balancer remembers what was seen. Its zero value has seen nothing.
type Balancer struct {
	mu      sync.Mutex
	records map[string]*record
	// peers holds the average duration of each class over all targets.
	peers map[string]time.Duration
	swept time.Time
}

// Pick chooses one of the endpoints. Two are drawn at random from this data
// centre and two from the others, and the one that is expected to answer first
// wins, with an allowance for distance (Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001). Targets that shed a call just now or
// were ejected are used only when no other is left.
func (b *Balancer) Pick(list []gossiper.Endpoint, q Query, now time.Time) (gossiper.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	t := b.tiers(list, q, now)
	if p, ok := b.best(q, now, draw(t[nearTier], q), draw(t[farTier], q)); ok {
		return p, true
	}
	for _, l := range t[greyTier:] {
		if p, ok := b.best(q, now, draw(l, q)); ok {
			return p, true
		}
	}
	return gossiper.Endpoint{}, false
}

// The tiers of targets.
const (
	nearTier = iota
	farTier
	greyTier
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
	r := b.records[e.Address]
	switch {
	case r != nil && now.Before(r.ejected) && r.incarnation == e.Incarnation:
		return ejectedTier
	case r != nil && now.Before(r.full):
		return fullTier
	case r != nil && r.load.Failures > greyShare && now.Sub(r.loadAt) < durationFade:
		return greyTier
	case e.DataCenter == dataCenter:
		return nearTier
	}
	return farTier
}

// draw returns up to two endpoints of l, always with the one of this node.
func draw(l []gossiper.Endpoint, q Query) []gossiper.Endpoint {
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

func (b *Balancer) best(q Query, now time.Time, lists ...[]gossiper.Endpoint) (gossiper.Endpoint, bool) {
	var p gossiper.Endpoint
	least := math.Inf(1)
	for _, l := range lists {
		// Among equals the first wins; their order must not decide.
		o := rand.IntN(max(len(l), 1))
		for i := range l {
			e := l[(i+o)%len(l)]
			if c := b.cost(e, q, now); c < least {
				p, least = e, c
			}
		}
	}
	return p, !math.IsInf(least, 1)
}

// cost is the time in which e is expected to answer, in nanoseconds, with the
// allowance for distance.
func (b *Balancer) cost(e gossiper.Endpoint, q Query, now time.Time) float64 {
	d := b.duration(e.Address, q.Class, now)
	n := b.inFlight(e.Address, now)
	s := float64(max(e.Slots, 1))
	if e.Slots == 0 {
		// Without slots to go by, work is expected to queue up evenly.
		return d*(n+1) + b.distance(e, q)
	}
	u := min(n/s, 1)
	c := d * (1 + crowding*u*u)
	if over := n + 1 - s; over > 0 {
		c += d * over / s
	}
	return c + b.distance(e, q)
}

// distance is the allowance for the network between this node and e.
func (b *Balancer) distance(e gossiper.Endpoint, q Query) float64 {
	o := q.Objective
	if o == 0 {
		o = defaultObjective
	}
	switch {
	case e.Node == q.Node:
		return 0
	case e.DataCenter == q.DataCenter:
		return float64(o) * distanceShare / 10
	}
	return float64(o) * distanceShare
}

// duration estimates how long a call of a class takes at a target.
func (b *Balancer) duration(address, class string, now time.Time) float64 {
	p, ok := b.peers[class]
	if !ok {
		p = unknownDuration
	}
	r := b.records[address]
	if r == nil {
		return float64(p)
	}
	s, ok := r.durations[class]
	if !ok {
		return float64(p)
	}
	w := math.Exp(-float64(now.Sub(s.at)) / float64(durationFade))
	return w*float64(s.average) + (1-w)*float64(p)
}

// Typical returns how long a call of a class takes on average, zero when that is
// not known.
func (b *Balancer) Typical(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers[class]
}

// inFlight estimates the work at a target from what it told last, which fades,
// and from what this node has sent since.
func (b *Balancer) inFlight(address string, now time.Time) float64 {
	r := b.records[address]
	if r == nil {
		return 0
	}
	w := math.Exp(-float64(now.Sub(r.loadAt)) / float64(loadFade))
	told := w*float64(r.load.Running+r.load.Waiting) + float64(r.since)
	return max(told, float64(r.outstanding))
}

// Busy reports whether a target is known to have no free slot: it has shed a call
// just now, or told that others wait.
func (b *Balancer) Busy(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[address]
	return r != nil && (now.Before(r.full) || (r.load.Waiting > 0 && now.Sub(r.loadAt) < fullPenalty))
}

// Start notes that a call to e begins. The returned function takes its end.
func (b *Balancer) Start(e gossiper.Endpoint, now time.Time) func(Outcome, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(e.Address)
	r.outstanding++
	r.since++
	r.used = now
	return func(o Outcome, end time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if r.since > 0 && !now.Before(r.loadAt) {
			r.since--
		}
		b.finish(r, e, o, end)
	}
}

func (b *Balancer) record(address string) *record {
	if b.records == nil {
		b.records = make(map[string]*record)
	}
	r := b.records[address]
	if r == nil {
		r = &record{durations: make(map[string]sample)}
		b.records[address] = r
	}
	return r
}

// Learn takes in the load that a target's gate told with an answer to a call
// of class.
func (b *Balancer) Learn(address, class string, l gatekeeper.Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(address)
	r.load, r.loadAt, r.since = l, now, 0
	r.used = now
	if l.Duration == 0 {
		return
	}
	r.durations[class] = sample{average: l.Duration, at: now}
	if b.peers == nil {
		b.peers = make(map[string]time.Duration)
	}
	p, ok := b.peers[class]
	if !ok {
		p = l.Duration
	}
	b.peers[class] = p + time.Duration(latencyShare*float64(l.Duration-p))
}

func (b *Balancer) finish(r *record, e gossiper.Endpoint, o Outcome, now time.Time) {
	r.outstanding--
	switch o {
	case Answered:
		r.failures = 0
		r.ejected = time.Time{}
	case Shed:
		r.full = now.Add(fullPenalty)
	case Departed, Unreachable:
		r.eject(e, now, firstEject)
	case Failed:
		r.failures++
		if r.failures >= ejectAfter {
			r.eject(e, now, ejection(r.failures))
		}
	case Cancelled:
	}
}

// eject holds for the incarnation that failed; a target that comes back with
// a newer record is used at once.
func (r *record) eject(e gossiper.Endpoint, now time.Time, d time.Duration) {
	r.ejected = now.Add(d)
	r.incarnation = e.Incarnation
}

func ejection(failures int) time.Duration {
	d := firstEject << min(failures-ejectAfter, 8)
	return min(d, maxEject)
}

// sweep forgets records that have not been used for long.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.swept) < recordRetention {
		return
	}
	b.swept = now
	for k, r := range b.records {
		if r.outstanding == 0 && now.Sub(r.used) > recordRetention {
			delete(b.records, k)
		}
	}
}

// Ejected returns how many targets are ejected at now.
func (b *Balancer) Ejected(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.records {
		if now.Before(r.ejected) {
			n++
		}
	}
	return n
}
