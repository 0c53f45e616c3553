package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
)

const (
	// windowSlots is the resolution of the window at the root.
	windowSlots = 50
	// recovery is the part of the cap that a new root grants in its first window, since it
	// does not know what was admitted before. At usual rates of 1/1.6 of the cap nothing
	// is rejected, and the window stays within its bound when the root before had
	// let a surge through.
	recovery = 0.6
	// aimOver and aimSlack are the parts of the tolerance that the root aims at. The rest
	// covers what is admitted before the root hears of it.
	aimOver  = 0.05
	aimSlack = 0.2
	// spendTime is the time, in loops, in which nodes that admit fractions spend the level.
	spendTime = 0.7
	// maxRefill bounds what is promised ahead, in multiples of the cap's mean rate.
	maxRefill = 2
	// surge is the demand, in multiples of the usual, that a level must outlast until the
	// nodes hear that it is low.
	surge = 8
	// quiet is the least demand that the root assumes, as a part of the cap. Nodes whose
	// requests have not been counted yet take their part of it.
	quiet = 0.3
	// roleMemory is the time without reports after which a hub or a root begins anew.
	roleMemory = 2 * time.Second
	// demandEvents is the number of events by which demand is measured, over
	// minDemandTime to maxDemandTime.
	demandEvents  = 20
	minDemandTime = 400 * time.Millisecond
	maxDemandTime = 2 * time.Second
)

// pool is what the root knows of one workspace.
type pool struct {
	admitted, asked slots
}

// root decides what all nodes together may admit.
type root struct {
	receiver

	// born is when this root began, and heard when it last had a report.
	born, heard time.Time
	pools       map[id]*pool
}

// revive begins anew unless reports came recently.
func (r *root) revive(epoch uint32, now time.Time) {
	if r.pools == nil || now.Sub(r.heard) > roleMemory {
		r.reset(epoch)
		r.born = now
		r.pools = make(map[id]*pool)
	}
	r.heard = now
}

func (r *root) count(k id, u usage, since, now time.Time, window time.Duration) {
	p := r.pools[k]
	if p == nil {
		if len(r.pools) >= maxKept {
			return
		}
		l := window / windowSlots
		p = &pool{admitted: newSlots(l, windowSlots, now), asked: newSlots(l, windowSlots, now)}
		r.pools[k] = p
	}
	// Only a part of what a sender counted over more than a window is in the window.
	part := min(float64(window)/float64(max(now.Sub(since), 1)), 1)
	p.admitted.spread(part*float64(u.admitted), since, now)
	p.asked.spread(part*float64(u.admitted+u.rejected), since, now)
}

// ready reports whether the root has heard of what all nodes ask.
func (r *root) ready(f Fleet, now time.Time) bool {
	return now.Sub(r.born) >= readyTime(f)
}

func readyTime(f Fleet) time.Duration {
	return 2 * (f.Period(aggregator.Leaf) + f.Period(aggregator.Hub))
}

// unheard returns how many requests senders that are late have admitted since their last
// reports, if they go on as before.
func (r *root) unheard(k id, period time.Duration, now time.Time) float64 {
	v := 0.0
	for _, a := range r.accounts {
		if d := now.Sub(a.at); d > 0 && d < roleMemory {
			v += a.rates[k] * min(d, 6*period).Seconds()
		}
	}
	return v
}

// demand returns how many requests a second are asked.
func (p *pool) demand(period time.Duration, now time.Time) float64 {
	d := max(minDemandTime, 2*period)
	n := p.asked.since(now.Add(-d), now)
	for n < demandEvents && d < maxDemandTime {
		d = min(2*d, maxDemandTime)
		n = p.asked.since(now.Add(-d), now)
	}
	return n / d.Seconds()
}

// refillTime is about the time until a node uses an offer.
func refillTime(f Fleet) time.Duration {
	return (f.Period(aggregator.Leaf) + f.Period(aggregator.Hub)) / 2
}

// expiring returns how many admissions a second leave the window in the next d.
func (p *pool) expiring(d, window time.Duration, now time.Time) float64 {
	return p.admitted.before(now.Add(d-window), now) / d.Seconds()
}

// offerOf returns what to tell of a workspace, and whether its level is high, so that
// nodes may admit what comes.
func (r *root) offerOf(k id, limit float64, f Fleet, b Bounds, now time.Time) (offer, bool) {
	o := offer{workspace: k}
	leaf, hub := f.Period(aggregator.Leaf), f.Period(aggregator.Hub)
	// loop is the time until nodes have heard of a change.
	loop := (leaf*3/2 + hub).Seconds()
	aim := limit + aimOver*b.Over*limit + aimSlack*b.Slack
	budget := aim * f.Coverage(aggregator.Root, now)
	age := max(now.Sub(r.born)-readyTime(f), 0)
	p := r.pools[k]
	used := 0.0
	if age < b.Window {
		used = budget * (1 - recovery*age.Seconds()/b.Window.Seconds())
		o.refill = budget * recovery / b.Window.Seconds()
		o.later = o.refill
	}
	rejected, unseen := 0.0, 0.0
	if p != nil {
		p.admitted.advance(now)
		p.asked.advance(now)
		used += p.admitted.sum + r.unheard(k, hub, now)
		d := refillTime(f)
		first := p.expiring(d, b.Window, now)
		second := (p.expiring(3*d, b.Window, now)*3 - first) / 2
		// What nodes are promised ahead is bounded: where a surge leaves the window, the
		// time of its requests is not known exactly.
		most := maxRefill * limit / b.Window.Seconds()
		o.later = min(o.refill+second, most)
		o.refill = min(o.refill+first, most)
		o.demand = p.demand(leaf, now)
		recent := p.admitted.since(now.Add(-minDemandTime), now) / minDemandTime.Seconds()
		unseen = recent * (leaf + hub).Seconds() / 2
		rejected = max(p.asked.sum-p.admitted.sum, 0)
	}
	o.demand = max(o.demand, quiet*limit/b.Window.Seconds())
	o.level = budget - used
	o.fraction = ((o.refill+o.later)/2 + (o.level-unseen)/(spendTime*loop)) / o.demand
	o.wait = time.Duration(rejected / max(limit, 1) * float64(b.Window))
	o.wait = min(max(o.wait, minWait), b.Window)
	high := age >= b.Window && o.level > surge*o.demand*loop
	return o, high
}

// offers returns the encoded offers for the workspaces whose level is not high, those with
// the most requests beyond the cap first, and whether all of them fit.
func (r *root) offers(limits map[id]float64, f Fleet, b Bounds, now time.Time) (body []byte, all bool) {
	var l []offer
	for _, k := range slices.Sorted(maps.Keys(limits)) {
		if o, high := r.offerOf(k, limits[k], f, b, now); !high {
			l = append(l, o)
		}
	}
	slices.SortStableFunc(l, func(a, b offer) int { return cmp.Compare(b.demand-b.refill, a.demand-a.refill) })
	for _, o := range l {
		n := len(body)
		if body = appendOffer(body, o); len(body) > aggregator.MaxSection-headerBytes {
			return body[:n], false
		}
	}
	return body, true
}
