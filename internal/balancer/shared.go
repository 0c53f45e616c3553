package balancer

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	// sharedRetention is how long a shared load is used. Its forecast has converged to
	// the mean of the service long before.
	sharedRetention = 5 * time.Second
	// usualRetention is how long the durations of a target are used that nobody has
	// stated again. Speeds of VMs change rarely.
	usualRetention = time.Minute
	// slowdownDecayTime is the time constant with which a stated slowdown decays to the
	// usual speed. Spells of 0.6 s were measured.
	slowdownDecayTime = 600 * time.Millisecond
	// maxSlowdown bounds what other nodes may state.
	maxSlowdown = 100
	// drawnTargets is the number of targets of the own data centre that are drawn and
	// compared, and drawnFar the number of those of others. With more far ones, one of them
	// seems worth its distance more often: in the replay of 72 targets in three data centres,
	// 0.25 of the answers came from another one with four and four, and 0.17 with these.
	drawnTargets = 4
	drawnFar     = 1
	// minFreeShare is the share of its slots that are taken to be free at a target that
	// seems full, so that it is drawn at times and its state becomes known.
	minFreeShare = 0.01
	// queueCost is the weight of a wait in a queue. A request that waits delays those
	// behind it, while there are free slots at slower targets. With a weight of one, entries
	// queue at fast targets and slow ones idle; in the replay at 0.95 of the capacity, 0.86
	// were in time then, 0.91 with four and 0.92 with 16, before targets were drawn by
	// their free slots.
	queueCost = 16
	// placingRetention is how long a node counts as one with requests to place. It spans
	// pauses between requests, so that loads are known when the next one comes.
	placingRetention = 10 * time.Second
	// maxQuestions is the number of gates that are asked for a free slot before one is asked
	// for a place in its queue, and minQuestions the number if gates rarely have one. In the
	// replay near full load each further question finds a slot in a tenth of the cases, and
	// the refusals show where the shortest queue is.
	maxQuestions = 4
	minQuestions = 2
	// minAnswered is the share of questions that must have found a slot to ask more than
	// minQuestions. In the replay it is 0.13 at 0.95 of the capacity and 0.05 at 1.05, where
	// each further question costs a refusal and gains little.
	minAnswered = 0.08
	// questionWeight is the weight of the newest question in that share.
	questionWeight = 0.02
	// recentLoad is the age up to which a load is as good as a current one. Targets with
	// such a load are always compared.
	recentLoad = 20 * time.Millisecond
	// maxConsidered limits the work of a selection in large services.
	maxConsidered = 32
	// nearEqual is the relative difference within which expected completions count as
	// equal. It is about the error of the quantised durations.
	nearEqual = 0.05
	// maxKnownStarts limits the memory of own starts for each target.
	maxKnownStarts = 64
)

// ClassHash identifies a class in loads that are shared between nodes.
type ClassHash uint16

// HashClass returns the hash of a class.
func HashClass(class string) ClassHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(class))
	s := h.Sum32()
	return ClassHash(s>>16 ^ s)
}

// ClassDuration is the usual duration of the requests of a class at a target.
type ClassDuration struct {
	Class ClassHash
	Usual time.Duration
}

// SharedLoad is the load of a target as its gate stated it to other nodes.
type SharedLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at the target now, relative to the usual; zero if
	// the target does not state it.
	Slowdown  float64
	Durations []ClassDuration
}

// sharedStats is what is known of a target by shared loads, and by answers while loads
// are shared.
type sharedStats struct {
	inFlight   float64
	slots      float64
	at         time.Time
	slowdown   float64
	slowdownAt time.Time
	usual      map[ClassHash]time.Duration
	usualAt    time.Time
}

// Observe records the load of a target as its gate stated it at the given time.
func (b *Balancer) Observe(address string, l SharedLoad, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsOf(address)
	if r.usedAt.Before(at) {
		r.usedAt = at
	}
	if b.sharedAt.Before(at) {
		b.sharedAt = at
	}
	s := &r.shared
	s.observe(l.Running, l.Waiting, l.Slots, l.Slowdown, at)
	if len(l.Durations) == 0 || at.Before(s.usualAt) {
		return
	}
	if s.usual == nil {
		s.usual = make(map[ClassHash]time.Duration)
	}
	s.usualAt = at
	for _, d := range l.Durations {
		s.usual[d.Class] = d.Usual
	}
}

// Sharing reports whether loads were shared in the last seconds before now.
func (b *Balancer) Sharing(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharing(now)
}

func (b *Balancer) sharing(now time.Time) bool {
	return !b.sharedAt.IsZero() && now.Sub(b.sharedAt) < sharedRetention
}

// Questions returns how many gates are worth asking for a free slot. It returns false
// while no loads are shared.
func (b *Balancer) Questions(now time.Time) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.sharing(now):
		return 0, false
	case 1-b.fullShare < minAnswered:
		return minQuestions, true
	}
	return maxQuestions, true
}

// NoteQuestion records whether a gate that was asked for a free slot had one.
func (b *Balancer) NoteQuestion(free bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := 1.0
	if free {
		v = 0
	}
	b.fullShare += questionWeight * (v - b.fullShare)
}

// Placing reports whether a target was selected in the last seconds before now.
func (b *Balancer) Placing(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.pickedAt) < placingRetention
}

// HeardSlowdown reports whether an answer has stated a slowdown lately.
func (b *Balancer) HeardSlowdown(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.slowdownAt) < usualRetention
}

// observe records a load unless a newer one is known.
func (s *sharedStats) observe(running, waiting, slots int, slowdown float64, at time.Time) {
	if slowdown > 0 && !at.Before(s.slowdownAt) {
		s.slowdown, s.slowdownAt = min(slowdown, maxSlowdown), at
	}
	if at.Before(s.at) {
		return
	}
	s.inFlight, s.slots, s.at = float64(running+waiting), float64(slots), at
}

// learnShared records a load that came with an answer.
func (r *targetStats) learnShared(l gatekeeper.Load, now time.Time) {
	r.shared.observe(l.Running, l.Waiting, l.Slots, l.Slowdown, now)
}

// slowdownAt forecasts the slowdown from the last one stated.
func (s *sharedStats) forecastSlowdown(now time.Time) float64 {
	if s.slowdown == 0 {
		return 1
	}
	w := math.Exp(-float64(now.Sub(s.slowdownAt)) / float64(slowdownDecayTime))
	return 1 + w*(s.slowdown-1)
}

// option is a target with the figures by which it is chosen.
type option struct {
	endpoint gossiper.Endpoint
	stats    *targetStats
	slots    float64
	// duration is the expected duration of a request that starts now.
	duration float64
	distance float64
}

// service holds the means over the targets that are considered.
type service struct {
	// occupancy is the mean number of requests in flight for each slot.
	occupancy float64
	duration  float64
}

// pickShared selects the target with the least expected completion, from a random sample
// in which targets appear in proportion to the rate at which their free slots finish
// requests.
//
// Reports are some hundred milliseconds old, about as long as a request takes. Choosing
// the target that was least loaded in them would send the requests of all nodes to the
// same targets (Mitzenmacher, "How Useful Is Old Information?", 2000). The forecast of
// each load decays to the mean of the service, so that a report counts only as far as it
// still says something (Dahlin, "Interpreting Stale Load Information", 2000), and the
// sample spreads the requests of all nodes over the free slots.
func (b *Balancer) pickShared(t [tierCount][]gossiper.Endpoint, q Query, now time.Time) (gossiper.Endpoint, bool) {
	c := HashClass(q.Class)
	if q.Queue {
		t = b.withFull(t, q)
	}
	for _, l := range [][2][]gossiper.Endpoint{{t[nearTier], t[farTier]}, {t[degradedTier]}, {t[fullTier]}, {t[ejectedTier]}} {
		if len(l[0])+len(l[1]) == 0 {
			continue
		}
		l[0], l[1] = considered(l[0]), considered(l[1])
		n := len(l[0])
		o := b.options(slices.Concat(l[0], l[1]), q, c, now)
		s := meansOf(o, now)
		return nearFirst(draw(o[:n], drawnTargets, s, now), draw(o[n:], drawnFar, s, now), s, now), true
	}
	return gossiper.Endpoint{}, false
}

// withFull returns t with the targets that have just shed a call among those of their data
// centre: what they stated when they did is the newest that is known of any queue.
func (b *Balancer) withFull(t [tierCount][]gossiper.Endpoint, q Query) [tierCount][]gossiper.Endpoint {
	for _, e := range t[fullTier] {
		i := farTier
		if e.DataCenter == q.DataCenter {
			i = nearTier
		}
		t[i] = append(t[i], e)
	}
	t[fullTier] = nil
	return t
}

// considered returns l, or a random part of it if it is long. It changes the order of l.
func considered(l []gossiper.Endpoint) []gossiper.Endpoint {
	if len(l) <= maxConsidered {
		return l
	}
	for i := range maxConsidered {
		j := i + rand.IntN(len(l)-i)
		l[i], l[j] = l[j], l[i]
	}
	return l[:maxConsidered]
}

// options collects the figures of the targets of l for a class.
func (b *Balancer) options(l []gossiper.Endpoint, q Query, c ClassHash, now time.Time) []option {
	o := make([]option, 0, len(l))
	var sum, n float64
	for _, e := range l {
		r := b.targets[e.Address]
		p := option{endpoint: e, stats: r, slots: float64(e.Slots), distance: b.distance(e, q)}
		if r != nil && r.shared.slots > 0 && now.Sub(r.shared.at) < sharedRetention {
			p.slots = r.shared.slots
		}
		p.slots = max(p.slots, 1)
		p.duration = b.usualDuration(r, q.Class, c, now)
		if p.duration > 0 {
			sum += p.duration
			n++
		}
		o = append(o, p)
	}
	mean := float64(unknownDuration)
	if n > 0 {
		mean = sum / n
	}
	for i := range o {
		if o[i].duration == 0 {
			o[i].duration = mean
		}
		if r := o[i].stats; r != nil {
			o[i].duration *= r.shared.forecastSlowdown(now)
		}
	}
	return o
}

// usualDuration returns the duration of a class at a target without its slowdown, or
// zero if it is unknown.
func (b *Balancer) usualDuration(r *targetStats, class string, c ClassHash, now time.Time) float64 {
	if r == nil {
		return 0
	}
	if d := r.shared.usual[c]; d > 0 && now.Sub(r.shared.usualAt) < usualRetention {
		return float64(d)
	}
	if s, ok := r.durations[class]; ok && now.Sub(s.reportedAt) < usualRetention {
		return float64(s.average)
	}
	return 0
}

func meansOf(o []option, now time.Time) service {
	var s service
	var n, used, slots float64
	for _, p := range o {
		s.duration += p.duration / float64(len(o))
		if p.stats != nil && now.Sub(p.stats.shared.at) < sharedRetention {
			used += p.stats.shared.inFlight
			slots += p.slots
			n++
		}
	}
	if slots > 0 {
		s.occupancy = used / slots
	}
	return s
}

// draw returns distinct random options, each in proportion to the rate at which its free
// slots finish requests, and those whose load has just been stated.
func draw(o []option, limit int, s service, now time.Time) []option {
	if len(o) <= limit {
		return o
	}
	var sum float64
	weights := make([]float64, len(o))
	for i, p := range o {
		m, v := p.forecast(s, now)
		weights[i] = (expectedExcess(p.slots-m, v) + minFreeShare*p.slots) / p.duration
		sum += weights[i]
	}
	d := make([]option, 0, limit)
	for i, p := range o {
		if p.stats != nil && now.Sub(p.stats.shared.at) < recentLoad {
			d = append(d, p)
			sum -= weights[i]
			weights[i] = 0
		}
	}
	for range limit {
		x := rand.Float64() * sum
		i := 0
		for ; i < len(o)-1 && (x >= weights[i] || weights[i] == 0); i++ {
			x -= weights[i]
		}
		if weights[i] == 0 {
			break
		}
		d = append(d, o[i])
		sum -= weights[i]
		weights[i] = 0
	}
	return d
}

// nearFirst returns a target of the own data centre unless the answer of one in another is
// expected earlier by more than the cost of the distance.
func nearFirst(near, far []option, s service, now time.Time) gossiper.Endpoint {
	switch {
	case len(near) == 0:
		return leastCompletion(far, s, now).endpoint
	case len(far) == 0:
		return leastCompletion(near, s, now).endpoint
	}
	n, f := leastCompletion(near, s, now), leastCompletion(far, s, now)
	if f.completion(s, now, 1)+f.distance < n.completion(s, now, 1)+n.distance {
		return f.endpoint
	}
	return n.endpoint
}

// leastCompletion returns the option whose answer is expected first, or a random one of
// those that are nearly as good.
func leastCompletion(o []option, s service, now time.Time) option {
	costs := make([]float64, len(o))
	lowest := math.Inf(1)
	for i, p := range o {
		costs[i] = p.completion(s, now, queueCost) + p.distance
		lowest = min(lowest, costs[i])
	}
	first := rand.IntN(len(o))
	for i := range o {
		if k := (first + i) % len(o); costs[k] <= lowest*(1+nearEqual) {
			return o[k]
		}
	}
	return o[first]
}

// completion returns the expected time from the arrival of a request at the target to
// its end, in nanoseconds, with a wait for a slot that counts weight times.
func (p option) completion(s service, now time.Time, weight float64) float64 {
	mean, variance := p.forecast(s, now)
	wait := weight * p.duration * expectedExcess(mean+1-p.slots, variance) / p.slots
	return p.duration + wait
}

// forecast returns the mean and the variance of the number of requests in flight. They
// leave at the rate at which the target finishes them, and others arrive, so that the
// number goes from the reported one to the mean of the service. Requests that this
// node has sent since the report are added.
func (p option) forecast(s service, now time.Time) (mean, variance float64) {
	usual := s.occupancy * p.slots
	if p.stats == nil {
		return usual, usual
	}
	r := &p.stats.shared
	own := float64(p.stats.startedAfter(r.at))
	if r.at.IsZero() {
		return max(usual, float64(p.stats.outstanding)), usual
	}
	// A queue takes longer to go.
	tau := p.duration * max(1, r.inFlight/p.slots)
	w := math.Exp(-float64(now.Sub(r.at)) / tau)
	mean = usual + w*(r.inFlight-usual) + own
	return max(mean, float64(p.stats.outstanding)), usual * (1 - w*w)
}

// expectedExcess returns the mean of the positive part of a normal variable.
func expectedExcess(mean, variance float64) float64 {
	if variance <= 0 {
		return max(mean, 0)
	}
	d := math.Sqrt(variance)
	x := mean / d
	density := math.Exp(-x*x/2) / math.Sqrt(2*math.Pi)
	return mean*math.Erfc(-x/math.Sqrt2)/2 + d*density
}

// startedAfter counts the requests in flight that this node has sent after t.
func (r *targetStats) startedAfter(t time.Time) int {
	n := 0
	for _, s := range r.starts {
		if s.After(t) {
			n++
		}
	}
	return n
}

func (r *targetStats) noteStart(now time.Time) {
	if len(r.starts) < maxKnownStarts {
		r.starts = append(r.starts, now)
	}
}

func (r *targetStats) noteEnd(started time.Time) {
	for i, s := range r.starts {
		if s.Equal(started) {
			r.starts = slices.Delete(r.starts, i, i+1)
			return
		}
	}
}

// freeProbably reports whether a target probably has a free slot, so that it is worth
// asking for one.
func (r *targetStats) freeProbably(now time.Time) bool {
	s := &r.shared
	if s.at.IsZero() || now.Sub(s.at) > sharedRetention {
		return true
	}
	return s.inFlight+float64(r.startedAfter(s.at)) < s.slots+1 || now.Sub(s.at) > shedCooldown
}
