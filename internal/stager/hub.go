package stager

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/evaluator"
)

const (
	// grantAhead is how long a grant is meant to last: some reports.
	grantAhead = 500 * time.Millisecond
	// overcommit is how much of the free grants is offered in one round of answers; the
	// pool bounds the sum.
	overcommit = 2
)

// received is the last report of a node or hub.
type received struct {
	at      time.Time
	reports map[string]report
	// rates is the smoothed rate of requests by service, per second.
	rates map[string]float64
	// grants is what the node was last granted, by service.
	grants map[string]uint64
}

// collector holds the last reports of those below.
type collector struct {
	senders map[string]*received
}

func (c *collector) put(sender string, l []report, now time.Time) {
	if c.senders == nil {
		c.senders = make(map[string]*received)
	}
	for n, r := range c.senders {
		if now.Sub(r.at) > retention {
			delete(c.senders, n)
		}
	}
	o := c.senders[sender]
	n := &received{at: now, reports: make(map[string]report), rates: make(map[string]float64), grants: make(map[string]uint64)}
	for _, r := range l {
		n.reports[r.service] = r
		if o == nil {
			continue
		}
		e, ok := o.reports[r.service]
		if ok && e.revision == r.revision {
			r.counts.Keep(e.counts)
		}
		if ok && e.revision == r.revision && r.requests >= e.requests {
			d := max(now.Sub(o.at), time.Millisecond).Seconds()
			w := math.Exp(-d)
			n.rates[r.service] = o.rates[r.service]*w + float64(r.requests-e.requests)/d*(1-w)
			n.grants[r.service] = o.grants[r.service]
		}
	}
	c.senders[sender] = n
}

// sums returns the merged reports, one a service.
func (c *collector) sums(now time.Time, silence time.Duration) []report {
	names := make(map[string]bool)
	for _, r := range c.senders {
		for n := range r.reports {
			names[n] = true
		}
	}
	var l []report
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if r, ok := c.sum(n, now, silence); ok {
			l = append(l, r)
		}
	}
	return l
}

// sum merges the reports of one service. Those of senders that are silent are still
// counted, but are no nodes in touch.
func (c *collector) sum(service string, now time.Time, silence time.Duration) (report, bool) {
	s := report{service: service, step: math.MaxUint32, counts: make(evaluator.Counts)}
	for _, r := range c.senders {
		s.revision = max(s.revision, r.reports[service].revision)
	}
	for _, x := range c.senders {
		r, ok := x.reports[service]
		if !ok {
			continue
		}
		fresh := now.Sub(x.at) <= silence
		if fresh {
			s.nodes += r.nodes
			s.cold += r.cold
		}
		if r.revision != s.revision {
			if fresh {
				s.step = 0
			}
			continue
		}
		s.age = max(s.age, r.age+now.Sub(x.at))
		s.requests += r.requests
		s.exposed += r.exposed
		s.counts.Plus(r.counts)
		s.share = max(s.share, r.share)
		if fresh {
			s.step = min(s.step, r.step)
			s.oldCalls += r.oldCalls
			s.newCalls += r.newCalls
		}
	}
	if s.nodes == 0 {
		s.step = 0
	}
	return s, s.nodes > 0 || s.revision > 0
}

// hub is the state of a node as hub of its data centre.
type hub struct {
	reports    collector
	directives map[string]directive
	// formed is when the root formed them, at the earliest.
	formed time.Time
}

func (h *hub) take(l []directive, formed time.Time) {
	if formed.Before(h.formed) {
		return
	}
	h.formed = formed
	h.directives = make(map[string]directive, len(l))
	for _, d := range l {
		h.directives[d.service] = d
	}
}

// answer returns the directives for a node, with its part of the grants.
func (h *hub) answer(sender string, silence time.Duration, now time.Time) []directive {
	l := make([]directive, 0, len(h.directives))
	for _, n := range slices.Sorted(maps.Keys(h.directives)) {
		d := h.directives[n]
		d.age += now.Sub(h.formed)
		if d.phase == Running && d.share == 0 {
			d.grant = h.grant(sender, d, silence, now)
		}
		l = append(l, d)
	}
	return l
}

// grant returns how many requests a node may have exposed in all. What all nodes may
// expose together never exceeds the pool of the data centre. Remainders are drawn, so
// that a few grants pass over many nodes in turn.
func (h *hub) grant(sender string, d directive, silence time.Duration, now time.Time) uint64 {
	x := h.reports.senders[sender]
	if x == nil || x.reports[d.service].revision != d.revision {
		return 0
	}
	own := x.reports[d.service].exposed
	spent, rates, nodes := own, 0.0, 0
	for n, o := range h.reports.senders {
		r, ok := o.reports[d.service]
		if !ok || r.revision != d.revision {
			continue
		}
		if n != sender {
			spent += max(r.exposed, o.grants[d.service])
		}
		if now.Sub(o.at) <= silence {
			rates += o.rates[d.service]
			nodes++
		}
	}
	x.grants[d.service] = own
	if spent >= d.grant {
		return own
	}
	free := float64(d.grant - spent)
	// A node without requests lately still gets a small part: its next one may come.
	const idle = 0.2
	part := (x.rates[d.service] + idle) / (rates + idle*float64(max(nodes, 1)))
	want := 1 + x.rates[d.service]*grantAhead.Seconds()
	y := min(want, overcommit*free*part, free)
	n := uint64(y)
	if rand.Float64() < y-float64(n) && float64(n)+1 <= free {
		n++
	}
	x.grants[d.service] = own + n
	return own + n
}
