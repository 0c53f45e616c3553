// Package arbiter keeps less urgent requests from being served at the expense
// of more urgent ones that need the same targets somewhere down their way.
//
// It answers a long overload of a service that several kinds of requests lead
// to: a queue there can only choose between the calls that reach it, and work
// that was begun elsewhere must go first, or it is wasted. So the less urgent
// kind is turned away where it enters, until it is refused as often as the
// more urgent one.
package arbiter

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// memory is the time in which what was seen loses most of its weight: long
	// against a request, and short against a burst.
	memory = 2 * time.Second
	// leastSeen is how much must have been seen of a kind before others give
	// way to it.
	leastSeen = 4.0
	// significant is the share of refused requests above which a kind is taken
	// to be short of targets, and others give way.
	significant = 0.03
	// advantage is how much less often a more urgent kind is to be refused.
	advantage = 0.03
	// gain is how fast a lag changes the part that is denied, with each request,
	// and maxDenied leaves some to learn from.
	gain      = 0.1
	maxDenied = 0.95
	// callRetention is how long a kind is taken to lead to a service after the
	// last call.
	callRetention = 10 * time.Second
)

// Kind is a kind of requests.
type Kind struct {
	Name string
	// Priority ranks kinds; 0 goes first.
	Priority int
	// Services are those that the requests go to.
	Services []string
}

type record struct {
	Kind

	// seen counts requests, and refused those that a service refused.
	seen    float64
	refused map[string]float64
	at      time.Time
	calls   map[string]time.Time
	// denied is the part of the requests that is turned away, and carry what of
	// it is still due.
	denied, carry float64
}

// Arbiter remembers what became of the requests of each kind at one entry. Its
// zero value has seen none.
type Arbiter struct {
	mu    sync.Mutex
	kinds map[string]*record
}

// Note takes in the end of a request, and the service that refused it for load,
// empty when none did.
func (a *Arbiter) Note(k Kind, refusedBy string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(k)
	r.fade(now)
	r.seen++
	if refusedBy == "" {
		return
	}
	if r.refused == nil {
		r.refused = make(map[string]float64)
	}
	r.refused[refusedBy]++
}

// Learn notes the services that targets call when they run requests of a kind.
func (a *Arbiter) Learn(k Kind, services []string, now time.Time) {
	if len(services) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(k)
	if r.calls == nil {
		r.calls = make(map[string]time.Time)
	}
	for _, s := range services {
		r.calls[s] = now
	}
}

// Allow reports whether a request may be tried. While a more urgent kind is
// refused too often by a service that this kind leads to, a growing part of
// the requests is not; then it returns that service.
func (a *Arbiter) Allow(k Kind, now time.Time) (contested string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(k)
	s, behind := a.contest(r, now)
	r.denied = min(max(r.denied+gain*behind, 0), maxDenied)
	// Denials are spread evenly: taking turns with all or nothing would leave
	// targets idle in between.
	r.carry += r.denied
	if s == "" || r.carry < 1 {
		r.carry = min(r.carry, 1)
		return "", true
	}
	r.carry--
	return s, false
}

// contest returns the service for which a more urgent kind is furthest behind r,
// and how far. It is negative when none is.
func (a *Arbiter) contest(r *record, now time.Time) (service string, behind float64) {
	own := r.share(now)
	behind = -advantage
	for _, o := range a.kinds {
		h := o.share(now)
		if o.Priority >= r.Priority || h <= significant {
			continue
		}
		for s, n := range o.refused {
			if d := h + advantage - own; n > o.seen*significant && r.leadsTo(s, now) && (service == "" || d > behind) {
				service, behind = s, d
			}
		}
	}
	return service, behind
}

func (a *Arbiter) record(k Kind) *record {
	if a.kinds == nil {
		a.kinds = make(map[string]*record)
	}
	r := a.kinds[k.Name]
	if r == nil {
		r = &record{}
		a.kinds[k.Name] = r
	}
	r.Kind = k
	return r
}

func (r *record) fade(now time.Time) {
	w := r.weight(now)
	r.seen *= w
	for s := range r.refused {
		r.refused[s] *= w
	}
	r.at = now
}

func (r *record) weight(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(r.at)) / float64(memory))
}

// share is the share of refused requests, 0 where too few were seen.
func (r *record) share(now time.Time) float64 {
	if r.seen*r.weight(now) < leastSeen {
		return 0
	}
	sum := 0.0
	for _, n := range r.refused {
		sum += n
	}
	return sum / r.seen
}

func (r *record) leadsTo(service string, now time.Time) bool {
	if slices.Contains(r.Services, service) {
		return true
	}
	t, ok := r.calls[service]
	return ok && now.Sub(t) < callRetention
}
