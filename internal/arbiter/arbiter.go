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
	// tolerance is the difference between the shares of refused requests that
	// chance may make.
	tolerance = 0.03
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

	seen, refused float64
	at            time.Time
	calls         map[string]time.Time
}

// Arbiter remembers what became of the requests of each kind at one entry. Its
// zero value has seen none.
type Arbiter struct {
	mu    sync.Mutex
	kinds map[string]*record
}

// Note takes in the end of a request, and whether it was refused for load.
func (a *Arbiter) Note(k Kind, refused bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(k)
	r.fade(now)
	r.seen++
	if refused {
		r.refused++
	}
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

// Allow reports whether a request may be tried: no more urgent kind that needs
// the same targets is refused more often.
func (a *Arbiter) Allow(k Kind, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.record(k)
	own := r.share(now)
	for _, o := range a.kinds {
		if o.Priority < k.Priority && o.share(now) > own+tolerance && r.meets(o, now) {
			return false
		}
	}
	return true
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
	r.refused *= w
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
	return r.refused / r.seen
}

// meets reports whether requests of both kinds lead to a common service.
func (r *record) meets(o *record, now time.Time) bool {
	return slices.ContainsFunc(r.Services, func(s string) bool { return o.leadsTo(s, now) }) ||
		slices.ContainsFunc(o.Services, func(s string) bool { return r.leadsTo(s, now) }) ||
		r.callsMeet(o, now)
}

func (r *record) callsMeet(o *record, now time.Time) bool {
	for s := range r.calls {
		if r.leadsTo(s, now) && o.leadsTo(s, now) {
			return true
		}
	}
	return false
}

func (r *record) leadsTo(service string, now time.Time) bool {
	if slices.Contains(r.Services, service) {
		return true
	}
	t, ok := r.calls[service]
	return ok && now.Sub(t) < callRetention
}
