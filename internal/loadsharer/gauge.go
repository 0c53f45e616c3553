package loadsharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
)

const (
	// usualWeight is the weight of the newest duration in a moving average.
	usualWeight = 0.1
	// figureRetention is how long a target counts as one that states its slowdown.
	figureRetention = time.Minute
	// figureFreshFor is how long a stated slowdown counts as current. A busy target of
	// several slots answers more often than that, unless it is slow.
	figureFreshFor = 100 * time.Millisecond
	// maxGaugedClasses limits the memory for each target.
	maxGaugedClasses = 64
	// asUsual is the figure of a target that is as fast as usual.
	asUsual = 100
	// minFigure and maxFigure bound what a target may state, so that a wrong figure does
	// not spoil the durations beyond repair.
	minFigure = 10
	maxFigure = 10_000
)

// Gauge learns the speed of the targets beside the node, by class of request, and their
// slowdown. Its zero value is ready to use.
type Gauge struct {
	mu      sync.Mutex
	targets map[string]*gauged
}

// gauged holds what is known of one target.
type gauged struct {
	slowdown float64
	statedAt time.Time
	askedAt  time.Time
	classes  map[string]*usualDuration
}

type usualDuration struct {
	mean  time.Duration
	count int
}

func (g *Gauge) target(address string) *gauged {
	t := g.targets[address]
	if t == nil {
		if g.targets == nil {
			g.targets = make(map[string]*gauged)
		}
		t = &gauged{classes: make(map[string]*usualDuration)}
		g.targets[address] = t
	}
	return t
}

// Note records how long work takes at a target, in percent of the usual time, as the
// target stated it at now. Figures of 0 or less are ignored.
func (g *Gauge) Note(address string, percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target(address)
	t.slowdown, t.statedAt = float64(min(max(percent, minFigure), maxFigure))/asUsual, now
}

// Slowdown returns the last stated slowdown of a target, or zero if it states none.
func (g *Gauge) Slowdown(address string, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets[address].stated(now)
}

func (t *gauged) stated(now time.Time) float64 {
	if t == nil || t.slowdown == 0 || now.Sub(t.statedAt) > figureRetention {
		return 0
	}
	return t.slowdown
}

// Ran records the duration of a request. Before is the slowdown that was known when the
// request began; the mean of it and of the current one is taken out of the duration.
func (g *Gauge) Ran(address, class string, d time.Duration, before float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.target(address)
	if after := t.stated(now); before > 0 && after > 0 {
		d = time.Duration(float64(d) * 2 / (before + after))
	}
	c := t.classes[class]
	if c == nil {
		if len(t.classes) >= maxGaugedClasses {
			clear(t.classes)
		}
		c = &usualDuration{mean: d}
		t.classes[class] = c
	}
	c.count++
	c.mean += time.Duration(usualWeight * float64(d-c.mean))
}

// Due reports whether to ask a busy target for its slowdown: it states one, but has not
// done so just now. The caller asks if the result is true.
func (g *Gauge) Due(address string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[address]
	if t.stated(now) == 0 || now.Sub(t.statedAt) < figureFreshFor || now.Sub(t.askedAt) < figureFreshFor {
		return false
	}
	t.askedAt = now
	return true
}

// Durations returns the usual durations of the classes that ran most often at a target.
func (g *Gauge) Durations(address string) []balancer.ClassDuration {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[address]
	if t == nil {
		return nil
	}
	type named struct {
		*usualDuration

		class string
	}
	l := make([]named, 0, len(t.classes))
	for n, c := range t.classes {
		l = append(l, named{c, n})
	}
	slices.SortFunc(l, func(a, b named) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.class, b.class))
	})
	d := make([]balancer.ClassDuration, 0, maxClasses)
	for _, c := range l[:min(len(l), maxClasses)] {
		d = append(d, balancer.ClassDuration{Class: balancer.HashClass(c.class), Usual: c.mean})
	}
	return d
}

// Keep forgets the targets that are not in addresses.
func (g *Gauge) Keep(addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.targets {
		if !slices.Contains(addresses, a) {
			delete(g.targets, a)
		}
	}
}
