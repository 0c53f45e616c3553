// Package balancer chooses the target of a call by what this node has seen of
// the targets itself: outstanding calls, latency and failures.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

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
	// Failed means that the target or its node could not be reached, or broke
	// the call off.
	Failed
)

// record is what this node has seen of one target.
type record struct {
	outstanding int
	latency     time.Duration
	failures    int
	ejected     time.Time
	full        time.Time
	used        time.Time
	incarnation uint64
}

// Balancer remembers what was seen. Its zero value has seen nothing.
type Balancer struct {
	mu      sync.Mutex
	records map[string]*record
	swept   time.Time
}

// Pick chooses one of the endpoints, leaving out those in tried. Targets in
// dataCenter go first, then any; of two drawn at random, the one with less
// outstanding work wins (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001). Ejected targets are used only when no other is left.
func (b *Balancer) Pick(list []gossiper.Endpoint, dataCenter string, tried map[string]bool, now time.Time) (gossiper.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	t := b.tiers(list, dataCenter, tried, now)
	for _, l := range t {
		if len(l) > 0 {
			return b.better(l), true
		}
	}
	return gossiper.Endpoint{}, false
}

// The tiers of targets, the preferred one first.
const (
	localTier = iota
	remoteTier
	fullTier
	ejectedTier
	tierCount
)

func (b *Balancer) tiers(list []gossiper.Endpoint, dataCenter string, tried map[string]bool, now time.Time) [tierCount][]gossiper.Endpoint {
	var t [tierCount][]gossiper.Endpoint
	for _, e := range list {
		if tried[e.Address] {
			continue
		}
		i := b.tier(e, dataCenter, now)
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
	case e.DataCenter == dataCenter:
		return localTier
	}
	return remoteTier
}

func (b *Balancer) better(l []gossiper.Endpoint) gossiper.Endpoint {
	i := rand.IntN(len(l))
	if len(l) == 1 {
		return l[i]
	}
	j := rand.IntN(len(l) - 1)
	if j >= i {
		j++
	}
	if b.cost(l[j]) < b.cost(l[i]) {
		return l[j]
	}
	return l[i]
}

func (b *Balancer) cost(e gossiper.Endpoint) float64 {
	r := b.records[e.Address]
	if r == nil {
		return 0
	}
	return float64(r.outstanding+1) * math.Max(float64(r.latency), float64(time.Microsecond))
}

// Start notes that a call to e begins. The returned function takes its end.
func (b *Balancer) Start(e gossiper.Endpoint, now time.Time) func(Outcome, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records == nil {
		b.records = make(map[string]*record)
	}
	r := b.records[e.Address]
	if r == nil {
		r = &record{}
		b.records[e.Address] = r
	}
	r.outstanding++
	r.used = now
	return func(o Outcome, end time.Time) { b.finish(r, e, o, end.Sub(now), end) }
}

func (b *Balancer) finish(r *record, e gossiper.Endpoint, o Outcome, d time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.outstanding--
	switch o {
	case Answered:
		r.failures = 0
		r.ejected = time.Time{}
		r.latency += time.Duration(latencyShare * float64(d-r.latency))
	case Shed:
		r.full = now.Add(fullPenalty)
	case Departed:
		r.eject(e, now, firstEject)
	case Failed:
		r.failures++
		if r.failures >= ejectAfter {
			r.eject(e, now, ejection(r.failures))
		}
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
