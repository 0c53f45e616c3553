package evaluator

import (
	"math"
	"time"
)

const (
	// worseThreshold is the logarithm of the odds at which the new version is worse. By
	// Ville's inequality the version is wrongly found worse at most once in about 160,000
	// runs for each start of the sum, if its rate is the old one's upper estimate; the
	// floors below keep its true rate well under that.
	worseThreshold = 12.0
	// doubtThreshold is the evidence above which a step is not taken.
	doubtThreshold = worseThreshold / 2
	// goodThreshold is the logarithm of the odds, 100 to 1, at which the new version is
	// found good, and maxGood bounds the evidence that later faults have to outweigh.
	goodThreshold = 4.6
	maxGood       = 20

	// failureFloor is the least rate of failures that is expected of any version, since
	// answers are lost, and slowFloor the least rate of slow answers.
	failureFloor = 0.02
	slowFloor    = 0.10
	// failureGap and slowGap are the parts of the remaining requests that a bad version
	// fails or serves slowly in addition.
	failureGap = 0.25
	slowGap    = 0.60
	// slowQuantile of the old version's answers lie below the bound for slow ones, which
	// is slowMargin buckets above it: a factor of two, because the new targets may run on
	// slower machines.
	slowQuantile = 0.85
	slowMargin   = 2
	// minOldAnswers is the number of the old version's recent answers that the bound
	// takes.
	minOldAnswers = 6
	// priorFailures of priorAttempts are added to the old version's counts: with few of
	// them a failure of the new one proves little.
	priorFailures = 0.5
	priorAttempts = 20
	// window is the time constant over which the old version's counts decay, down to
	// minOldCount.
	window      = 2 * time.Second
	minOldCount = 40
	// AllRoutes stands for the evidence of all routes together in verdicts.
	AllRoutes = "*"
)

// Signal is what a version is compared in.
type Signal uint8

// The signals.
const (
	Failures Signal = iota
	Slowness
	signals
)

var signalNames = [...]string{"failures", "slowness"}

// String returns the name used in logs.
func (s Signal) String() string { return signalNames[min(s, Slowness)] }

// Verdict is what the evidence says so far.
type Verdict struct {
	// Worse means that the new version is worse than the old one, Doubtful that it may
	// be, and Good that it is not, each with the stated error.
	Worse    bool
	Doubtful bool
	Good     bool
	// Route and Signal are those with the most evidence against the new version, and
	// Evidence is its logarithm of odds.
	Route    string
	Signal   Signal
	Evidence float64
	// Support is the evidence for the new version over all routes, of the signal with
	// less of it.
	Support float64
	// Old and New are the rates of the signal in the versions: the upper estimate of the
	// old one's, and the share of all attempts at the new one.
	Old, New float64
}

// sums are cumulative sums of the logarithm of odds. Each restarts at 0 when it becomes
// negative (Page's test, 1954), so that a version which turns bad late is found as fast.
type sums struct {
	// without holds the sums that leave out one group each, and all is of every group.
	// Good ones are those of the evidence for the new version.
	without     [Groups]float64
	all         float64
	goodWithout [Groups]float64
	goodAll     float64
	seen        [Groups]bool

	hits   float64
	trials float64
	old    float64
}

// add adds the evidence of one set of reports.
func (s *sums) add(group [Groups]float64) {
	total := 0.0
	for _, x := range group {
		total += x
	}
	for j, x := range group {
		s.without[j] = max(0, s.without[j]+total-x)
		s.goodWithout[j] = min(max(s.goodWithout[j]-total+x, 0), maxGood)
	}
	s.all = max(0, s.all+total)
	s.goodAll = min(max(s.goodAll-total, 0), maxGood)
}

// groups returns the number of groups seen.
func (s *sums) groups() int {
	n := 0
	for _, ok := range s.seen {
		if ok {
			n++
		}
	}
	return n
}

// evidence returns the least sum without one group, so that a single bad target does not
// count against its version if others serve it too.
func (s *sums) evidence() float64 {
	if s.groups() < 2 {
		return s.all
	}
	e := s.all
	for j, ok := range s.seen {
		if ok {
			e = min(e, s.without[j])
		}
	}
	return e
}

// support returns the greatest sum for the new version without one group, if at least
// two others remain.
func (s *sums) support() float64 {
	e := s.goodAll
	for j, ok := range s.seen {
		if ok && s.groups() > 2 {
			e = max(e, s.goodWithout[j])
		}
	}
	return e
}

// trial is the comparison of one route.
type trial struct {
	signals [signals]sums
	// old holds the decayed counts of the versions in use.
	old  [Buckets]float64
	last time.Time
}

// Evaluator compares a new version of a service with those in use. The zero value is
// ready to use.
type Evaluator struct {
	trials map[string]*trial
	// all sums up the evidence of all routes.
	all [signals]sums
}

// Add takes the attempts that were counted since the last call. Durations are compared
// only if durations is set: targets that have just started are slow.
func (e *Evaluator) Add(c Counts, durations bool, now time.Time) {
	routes := make(map[string]*[Groups]Histogram)
	old := make(map[string]Histogram)
	for k, h := range c {
		if !k.New {
			old[k.Route] = old[k.Route].Plus(h)
			continue
		}
		if routes[k.Route] == nil {
			routes[k.Route] = &[Groups]Histogram{}
		}
		g := k.Group % Groups
		routes[k.Route][g] = routes[k.Route][g].Plus(h)
	}
	for r, h := range old {
		e.trial(r, now).addOld(h, now)
	}
	var all [signals][Groups]float64
	for r, l := range routes {
		t := e.trial(r, now)
		e.join(Failures, t, &all, t.compareFailures(l, old[r]))
		if durations {
			e.join(Slowness, t, &all, t.compareDurations(l, old[r]))
		}
	}
	for s := range signals {
		e.all[s].add(all[s])
	}
}

// join adds the evidence of one route to that of all.
func (e *Evaluator) join(s Signal, t *trial, all *[signals][Groups]float64, route [Groups]float64) {
	for j, x := range route {
		all[s][j] += x
		e.all[s].seen[j] = e.all[s].seen[j] || t.signals[s].seen[j]
	}
}

func (e *Evaluator) trial(route string, now time.Time) *trial {
	if e.trials == nil {
		e.trials = make(map[string]*trial)
	}
	t := e.trials[route]
	if t == nil {
		t = &trial{last: now}
		e.trials[route] = t
	}
	return t
}

// addOld adds counts of the versions in use. The counts decay only when new ones arrive,
// so that the last ones stay once all requests go to the new version.
func (t *trial) addOld(h Histogram, now time.Time) {
	d := math.Exp(-float64(now.Sub(t.last)) / float64(window))
	d = max(d, min(1, minOldCount/max(t.oldTotal(), 1)))
	t.last = now
	for i, c := range h {
		t.old[i] = t.old[i]*d + float64(c)
	}
}

func (t *trial) oldTotal() float64 {
	n := 0.0
	for _, c := range t.old {
		n += c
	}
	return n
}

// compareFailures takes the higher of the old version's recent rate and its rate in the
// same reports, because a fault begins for both versions at once.
func (t *trial) compareFailures(l *[Groups]Histogram, now Histogram) [Groups]float64 {
	n := t.oldTotal()
	p := max(failureFloor, upperRate(t.old[0], n), upperRate(float64(now[0]), float64(now.Total())))
	return t.signals[Failures].compare(p, failureGap, l, func(h Histogram) (hits, trials uint64) {
		return uint64(h[0]), h.Total()
	})
}

// upperRate returns an upper estimate of a rate, one standard error above it.
func upperRate(hits, trials float64) float64 {
	return min((hits+math.Sqrt(hits)+priorFailures)/(trials+priorAttempts), 0.9)
}

func (t *trial) compareDurations(l *[Groups]Histogram, now Histogram) [Groups]float64 {
	n := t.oldTotal() - t.old[0]
	if n < minOldAnswers {
		return [Groups]float64{}
	}
	bound, below := 1, t.old[1]
	for bound < Buckets-1 && below < slowQuantile*n {
		bound++
		below += t.old[bound]
	}
	bound += slowMargin
	slow := 0.0
	for i := bound + 1; i < Buckets; i++ {
		slow += t.old[i]
	}
	count := func(h Histogram) (hits, trials uint64) {
		for i := 1; i < Buckets; i++ {
			trials += uint64(h[i])
			if i > bound {
				hits += uint64(h[i])
			}
		}
		return hits, trials
	}
	x, k := count(now)
	p := max(slowFloor, upperRate(slow, n), upperRate(float64(x), float64(k)))
	return t.signals[Slowness].compare(p, slowGap, l, count)
}

// compare adds the logarithm of the odds that requests of the new version are hit at the
// rate of a bad one rather than at rate p.
func (s *sums) compare(p, gap float64, l *[Groups]Histogram, count func(Histogram) (hits, trials uint64)) [Groups]float64 {
	bad := p + gap*(1-p)
	hit, miss := math.Log(bad/p), math.Log((1-bad)/(1-p))
	var g [Groups]float64
	for j, h := range l {
		x, n := count(h)
		if n == 0 {
			continue
		}
		s.seen[j] = true
		s.hits += float64(x)
		s.trials += float64(n)
		g[j] = float64(x)*hit + float64(n-x)*miss
	}
	s.old = p
	s.add(g)
	return g
}

// rates returns the rates of a signal in the versions, for all routes the highest of the
// old one and the mean of the new one.
func (e *Evaluator) rates(route string, s Signal) (before, after float64) {
	var hits, trials float64
	for r, t := range e.trials {
		if x := &t.signals[s]; r == route || route == AllRoutes {
			before = max(before, x.old)
			hits += x.hits
			trials += x.trials
		}
	}
	return before, hits / max(trials, 1)
}

// Verdict returns what the attempts so far say.
func (e *Evaluator) Verdict() Verdict {
	v := Verdict{Route: AllRoutes, Support: math.Inf(1)}
	for s := range signals {
		if w := e.all[s].evidence(); w > v.Evidence {
			v.Signal, v.Evidence = s, w
		}
		v.Support = min(v.Support, e.all[s].support())
	}
	for s := range signals {
		for r, t := range e.trials {
			if w := t.signals[s].evidence(); w > v.Evidence {
				v.Route, v.Signal, v.Evidence = r, s, w
			}
		}
	}
	v.Old, v.New = e.rates(v.Route, v.Signal)
	v.Worse = v.Evidence >= worseThreshold
	v.Doubtful = v.Evidence >= doubtThreshold
	v.Good = v.Support >= goodThreshold && !v.Doubtful
	return v
}
