// Package arbiter sheds less urgent requests at the entry so that they are not
// served at the expense of more urgent requests that need the same targets.
//
// During a long overload of a service that several kinds of requests call, the
// queue of that service can only order the calls that reach it, and nested calls
// must go first because refusing them wastes work already done. Less urgent
// kinds are therefore denied at the entry until they are refused as often as more
// urgent ones.
package arbiter

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of the statistics:
	// long compared with a request, short compared with a burst.
	decayTime = 2 * time.Second
	// minRequests is the number of recent requests of a kind required before its
	// refusals affect other kinds.
	minRequests = 4.0
	// refusalThreshold is the share of refused requests above which less urgent
	// kinds are denied.
	refusalThreshold = 0.03
	// refusalMargin is how much lower the refusal share of a more urgent kind
	// should be.
	refusalMargin = 0.03
	// gain is the change of the denied share per request, relative to the lag in
	// refusal share. maxDeniedShare keeps some requests flowing so that the
	// statistics stay current.
	gain           = 0.1
	maxDeniedShare = 0.95
	// calleeRetention is how long a kind is assumed to depend on a service after
	// its last call to it.
	calleeRetention = 10 * time.Second
)

// Kind identifies a group of requests that are treated alike.
type Kind struct {
	Name string
	// Priority orders kinds; 0 is the most urgent.
	Priority int
	// Services lists the services that the requests are routed to.
	Services []string
}

type kindStats struct {
	Kind

	// requests counts finished requests, and refusals those refused for load, by
	// service. Both decay over time.
	requests  float64
	refusals  map[string]float64
	updatedAt time.Time
	callees   map[string]time.Time
	// deniedShare is the share of requests to deny, and denialCredit the
	// accumulated fraction of a denial that is still due.
	deniedShare, denialCredit float64
}

// Arbiter tracks the results of requests by kind at one entry. Its zero value is
// ready to use.
type Arbiter struct {
	mu    sync.Mutex
	kinds map[string]*kindStats
}

// Note records the end of a request. refusedBy is the service that refused it for
// load, or empty if none did.
func (a *Arbiter) Note(k Kind, refusedBy string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.statsOf(k)
	r.decay(now)
	r.requests++
	if refusedBy == "" {
		return
	}
	if r.refusals == nil {
		r.refusals = make(map[string]float64)
	}
	r.refusals[refusedBy]++
}

// Learn records the services that targets call while they run requests of a kind.
func (a *Arbiter) Learn(k Kind, services []string, now time.Time) {
	if len(services) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.statsOf(k)
	if r.callees == nil {
		r.callees = make(map[string]time.Time)
	}
	for _, s := range services {
		r.callees[s] = now
	}
}

// Allow reports whether a request may proceed. While a service that the kind
// depends on refuses too many requests of a more urgent kind, a growing share of
// requests is denied, and Allow returns that service.
func (a *Arbiter) Allow(k Kind, now time.Time) (refusedBy string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.statsOf(k)
	s, lag := a.largestLag(r, now)
	r.deniedShare = min(max(r.deniedShare+gain*lag, 0), maxDeniedShare)
	// Spread denials evenly: alternating between allowing and denying everything
	// would leave targets idle in between.
	r.denialCredit += r.deniedShare
	if s == "" || r.denialCredit < 1 {
		r.denialCredit = min(r.denialCredit, 1)
		return "", true
	}
	r.denialCredit--
	return s, false
}

// largestLag returns the service where the refusal share of a more urgent kind
// exceeds that of r by the most, and by how much, including refusalMargin. The
// lag is negative if there is no such service.
func (a *Arbiter) largestLag(r *kindStats, now time.Time) (service string, lag float64) {
	own := r.refusalShare(now)
	lag = -refusalMargin
	for _, o := range a.kinds {
		h := o.refusalShare(now)
		if o.Priority >= r.Priority || h <= refusalThreshold {
			continue
		}
		for s, n := range o.refusals {
			if d := h + refusalMargin - own; n > o.requests*refusalThreshold && r.dependsOn(s, now) && (service == "" || d > lag) {
				service, lag = s, d
			}
		}
	}
	return service, lag
}

func (a *Arbiter) statsOf(k Kind) *kindStats {
	if a.kinds == nil {
		a.kinds = make(map[string]*kindStats)
	}
	r := a.kinds[k.Name]
	if r == nil {
		r = &kindStats{}
		a.kinds[k.Name] = r
	}
	r.Kind = k
	return r
}

func (r *kindStats) decay(now time.Time) {
	w := r.decayFactor(now)
	r.requests *= w
	for s := range r.refusals {
		r.refusals[s] *= w
	}
	r.updatedAt = now
}

func (r *kindStats) decayFactor(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(r.updatedAt)) / float64(decayTime))
}

// refusalShare returns the share of refused requests, or 0 if too few requests
// have been seen.
func (r *kindStats) refusalShare(now time.Time) float64 {
	if r.requests*r.decayFactor(now) < minRequests {
		return 0
	}
	sum := 0.0
	for _, n := range r.refusals {
		sum += n
	}
	return sum / r.requests
}

func (r *kindStats) dependsOn(service string, now time.Time) bool {
	if slices.Contains(r.Services, service) {
		return true
	}
	t, ok := r.callees[service]
	return ok && now.Sub(t) < calleeRetention
}
