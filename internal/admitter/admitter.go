// Package admitter decides at the entry which requests are rejected when a resource is
// short: those whose rejection costs callers least per unit of the resource.
//
// Resources are the slots of a service, those of services that its targets call while
// they run a request, and the links of its targets. For each resource the admitter
// compares the work that is asked for with the work that is not refused. The difference
// is rejected at the entry, where it has cost nothing yet, by rank and by expected loss
// per unit of work, so that each kind of requests keeps a share of the service.
package admitter

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time constant of the decay of the statistics: several times as long
	// as a request, and short compared with a burst.
	window = time.Second
	// probe is by how much more than the accepted work is offered to a resource, so that
	// new room is noticed. It grows by probeGrowth times itself once nothing has been
	// refused for a window. Unequal targets refuse a part of what they are offered also if
	// it is less than they can do together; with a smaller probe than that, 0.03 for
	// example, the offered work shrank although slots were free.
	probe       = 0.4
	probeGrowth = 1.5
	// calleeProbe is probe for a service that is called by running requests: what it
	// refuses has cost slot time of others.
	calleeProbe = 0.08
	// Below roomyUse of its slots a service has room for what it is asked for; targets are
	// not equally loaded, so that at fullUse hardly any is left.
	roomyUse = 0.75
	fullUse  = 0.95
	// minOffer is the share of the work that is offered at least, so that room is noticed
	// after a time in which everything was refused.
	minOffer = 0.1
	// workWeight is the weight of the newest request in the work of a kind, and of the
	// newest report in the use of a service.
	workWeight = 0.1
	useWeight  = 0.3
	// usualDurations is the number of mean durations within which most requests end.
	usualDurations = 1.2
	// defaultWork is the work of a kind before its first request has ended.
	defaultWork = 100 * time.Millisecond
	// forgetTime is how long after its last refusal a resource counts as one that may be
	// short. The counts of refusals have decayed to less than a hundredth by then.
	forgetTime = 5 * window
	// retention is how long a kind or a resource without requests is kept.
	retention = 30 * time.Second
)

// Request describes a request at the entry.
type Request struct {
	Claim

	Route, Service string
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Workspace is the customer of the request, if any, and Weight its share of what is
	// divided between workspaces; zero means 1.
	Workspace string
	Weight    float64
	// Nested means that a target makes the request on behalf of another one. Rejecting it
	// would waste the work that has been done for that one.
	Nested bool
}

// Decision is the decision on a request.
type Decision struct {
	Admitted bool
	// Resource is the resource that is short, and RetryAfter the delay after which the
	// caller should come back, if the request is rejected.
	Resource   string
	RetryAfter time.Duration
}

// Result tells how an admitted request ended.
type Result struct {
	// RefusedBy is the resource that refused the request, or a call that a target made
	// for it, because of load. It is empty if none did.
	RefusedBy string
	// Failed means that the request failed for another reason after a target ran it.
	Failed bool
	// Work is the slot time of the request at its service, and Bytes the size of its
	// response; zero if unknown.
	Work  time.Duration
	Bytes int64
	// Callees lists the services that the target calls for such requests.
	Callees []string
}

// key identifies a kind of requests.
type key struct {
	route string
	// rank differs between requests of a route if their workspaces have priorities.
	rank  int
	state state
}

// state tells what a response is worth to the caller of a request.
type state uint8

const (
	// fresh requests come from callers that can come back.
	fresh state = iota
	// returning requests come from callers that have been rejected before.
	returning
	// late requests will miss their objective.
	late
)

// kind holds the statistics of a kind of requests. Counts decay.
type kind struct {
	service  string
	usedAt   time.Time
	admitted count
	// rejected counts the requests that the admitter rejected, and refused those that the
	// resource refused, by resource.
	rejected, refused map[string]*count
	// success is the moving average of requests that did not fail after they were run.
	success float64
	loss    float64
	// needs is the work of a request of the route, by resource.
	needs  map[string]float64
	credit float64
	// workspaces holds the demand of each workspace per weight.
	workspaces map[string]*count
}

// resource holds what is known of a resource.
type resource struct {
	refusedAt time.Time
	// use is the share of slots in use in recent reports; zero if unknown.
	use      float64
	reported time.Time
}

// Admitter decides on the requests of one entry. Its zero value is ready to use.
type Admitter struct {
	mu        sync.Mutex
	kinds     map[key]*kind
	works     map[string]map[string]float64
	resources map[string]*resource
	promises  map[string]*promises
}

// LinkOf returns the resource of the links of a service's targets.
func LinkOf(service string) string { return service + " link" }

// Decide decides on a request. random is a random number in [0, 1).
func (a *Admitter) Decide(q Request, random float64, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Nested {
		return Decision{Admitted: true}
	}
	n, k := a.kindOf(q, now)
	k.noteWorkspace(q, now)
	resource, share := a.largestShare(n, k, now)
	p := a.promisesOf(q.Route)
	if q.Returning {
		switch m, ok := p.take(now.Add(q.Left), now); {
		case ok && now.Before(m.due.Add(-earlyTolerance)) && a.rejects(n, m.resource, now):
			// The caller gains nothing by coming back earlier than asked.
			k.reject(m.resource, now)
			return Decision{Resource: m.resource, RetryAfter: m.due.Sub(now)}
		case ok && m.backed:
			share = 0
		}
	}
	if share > 0 {
		k.credit += fairShare(k.demands(now), q.Workspace, share)
	}
	if k.credit < 1 || share == 0 {
		k.credit = min(k.credit, 1)
		k.admitted.add(1, now)
		return Decision{Admitted: true}
	}
	k.credit--
	k.reject(resource, now)
	return Decision{Resource: resource, RetryAfter: a.retryAfter(q, k, resource, random, now)}
}

// Postpone returns the delay after which the caller of an admitted request that was
// refused should come back, and keeps room for it.
func (a *Admitter) Postpone(q Request, resource string, random float64, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, k := a.kindOf(q, now)
	return a.retryAfter(q, k, resource, random, now)
}

// rejects reports whether requests like those of n are rejected because a resource is
// short. Others that come back early are offered to gates again.
func (a *Admitter) rejects(n key, resource string, now time.Time) bool {
	l := a.shares(resource, now)
	return l[key{n.route, n.rank, fresh}] > 0 || l[key{n.route, n.rank, returning}] > 0
}

func (a *Admitter) retryAfter(q Request, k *kind, resource string, random float64, now time.Time) time.Duration {
	rate := returningShare * k.acceptedCount(now) / window.Seconds()
	useful := q.Left / callerTimeDivisor
	if !q.NoObjective {
		// A response after the objective is worth less than that for a new caller.
		useful = min(useful, q.Objective-time.Duration(1.5*k.needs[q.Service]*float64(time.Second)))
	}
	m := promise{deadline: now.Add(q.Left), resource: resource}
	return a.promisesOf(q.Route).make(m, rate, useful, q.Left, random, now)
}

// Record records the end of an admitted request.
func (a *Admitter) Record(q Request, r Result, now time.Time) {
	if q.Nested {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, k := a.kindOf(q, now)
	if r.RefusedBy != "" {
		countOf(&k.refused, r.RefusedBy).add(1, now)
		a.resourceOf(r.RefusedBy).refusedAt = now
	} else {
		k.success += workWeight * (float64(boolToInt(!r.Failed)) - k.success)
	}
	k.learn(q.Service, r.Work.Seconds())
	k.learn(LinkOf(q.Service), float64(r.Bytes))
	for _, c := range r.Callees {
		k.needs[c] = 1
	}
}

// Observe records the load that a target of a service reports.
func (a *Admitter) Observe(service string, used, slots int, now time.Time) {
	if slots <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.resourceOf(service)
	u := float64(used) / float64(slots)
	if r.reported.IsZero() || now.Sub(r.reported) > window {
		r.use = u
	}
	r.use += useWeight * (u - r.use)
	r.reported = now
}

// largestShare returns the resource for which the largest share of the requests of kind
// k is to be rejected, and that share.
func (a *Admitter) largestShare(own key, k *kind, now time.Time) (resource string, share float64) {
	for s := range k.needs {
		if n, ok := a.resources[s]; !ok || n.refusedAt.IsZero() || now.Sub(n.refusedAt) > forgetTime {
			continue
		}
		if x := a.shares(s, now)[own]; x > share {
			resource, share = s, x
		}
	}
	return resource, share
}

// shares returns the share of each kind's requests to reject because resource s is
// short.
func (a *Admitter) shares(s string, now time.Time) map[key]float64 {
	var l []demand
	asked, accepted := 0.0, 0.0
	p := calleeProbe
	for n, k := range a.kinds {
		w, ok := k.needs[s]
		if !ok || w <= 0 {
			continue
		}
		if s == k.service || s == LinkOf(k.service) {
			p = probe
		}
		admitted := k.admitted.at(now)
		d := w * (admitted + k.rejected[s].at(now))
		asked += d
		accepted += w * max(admitted-k.refused[s].at(now), 0)
		l = append(l, demand{key: n, loss: k.loss * k.success / w, work: d})
	}
	r := a.resourceOf(s)
	return shed(l, r.shortage(now)*(asked-max(r.offer(p, now)*accepted, minOffer*asked)))
}

// offer returns how much work is offered to a resource, relative to what it accepts.
func (r *resource) offer(probe float64, now time.Time) float64 {
	return 1 + probe*(1+probeGrowth*min(float64(now.Sub(r.refusedAt))/float64(window), 1))
}

// shortage returns how short a resource is by recent reports: 0 if it has room for what
// it is asked for, and 1 if it has none or does not report.
func (r *resource) shortage(now time.Time) float64 {
	if now.Sub(r.reported) > window {
		return 1
	}
	return min(max((r.use-roomyUse)/(fullUse-roomyUse), 0), 1)
}

// kindOf returns the kind of a request and its key. The kind of a request that is
// recorded may differ from that at its decision, because its objective has come nearer.
func (a *Admitter) kindOf(q Request, now time.Time) (key, *kind) {
	if a.kinds == nil {
		a.kinds = make(map[key]*kind)
		a.works = make(map[string]map[string]float64)
	}
	w := a.works[q.Route]
	if w == nil {
		w = map[string]float64{q.Service: defaultWork.Seconds()}
		a.works[q.Route] = w
	}
	work := time.Duration(w[q.Service] * float64(time.Second))
	n := key{route: q.Route, rank: q.Rank, state: q.state(work)}
	k := a.kinds[n]
	if k == nil {
		a.sweep(now)
		k = &kind{success: 1, loss: q.Loss(work, 2*minWait), needs: w}
		a.kinds[n] = k
	}
	k.service, k.usedAt = q.Service, now
	k.loss += workWeight * (q.Loss(work, 2*minWait) - k.loss)
	return n, k
}

func (c Claim) state(work time.Duration) state {
	switch {
	case !c.NoObjective && time.Duration(usualDurations*float64(work)) > c.Objective:
		return late
	case c.Returning:
		return returning
	}
	return fresh
}

func (a *Admitter) sweep(now time.Time) {
	for n, k := range a.kinds {
		if now.Sub(k.usedAt) > retention {
			delete(a.kinds, n)
		}
	}
}

func (a *Admitter) resourceOf(name string) *resource {
	if a.resources == nil {
		a.resources = make(map[string]*resource)
	}
	r := a.resources[name]
	if r == nil {
		r = &resource{}
		a.resources[name] = r
	}
	return r
}

func (a *Admitter) promisesOf(route string) *promises {
	if a.promises == nil {
		a.promises = make(map[string]*promises)
	}
	p := a.promises[route]
	if p == nil {
		p = &promises{}
		a.promises[route] = p
	}
	return p
}

func (k *kind) reject(resource string, now time.Time) {
	countOf(&k.rejected, resource).add(1, now)
}

func (k *kind) learn(resource string, amount float64) {
	if amount <= 0 {
		return
	}
	x, ok := k.needs[resource]
	if !ok {
		x = amount
	}
	k.needs[resource] = x + workWeight*(amount-x)
}

// acceptedCount returns the decayed number of requests that no resource refused.
func (k *kind) acceptedCount(now time.Time) float64 {
	n := k.admitted.at(now)
	for _, c := range k.refused {
		n -= c.at(now)
	}
	return max(n, 0)
}

func (k *kind) noteWorkspace(q Request, now time.Time) {
	if q.Workspace == "" {
		return
	}
	w := q.Weight
	if w <= 0 {
		w = 1
	}
	countOf(&k.workspaces, q.Workspace).add(1/w, now)
}

func (k *kind) demands(now time.Time) map[string]float64 {
	if len(k.workspaces) == 0 {
		return nil
	}
	d := make(map[string]float64, len(k.workspaces))
	for w, c := range k.workspaces {
		if now.Sub(c.updatedAt) > retention {
			delete(k.workspaces, w)
			continue
		}
		d[w] = c.at(now)
	}
	return d
}

// count is a number of events that decays with the time constant window.
type count struct {
	value     float64
	updatedAt time.Time
}

// at returns the value at now; zero for nil.
func (c *count) at(now time.Time) float64 {
	if c == nil {
		return 0
	}
	return c.value * math.Exp(-float64(now.Sub(c.updatedAt))/float64(window))
}

func (c *count) add(n float64, now time.Time) {
	c.value = c.at(now) + n
	c.updatedAt = now
}

func countOf(m *map[string]*count, name string) *count {
	if *m == nil {
		*m = make(map[string]*count)
	}
	c := (*m)[name]
	if c == nil {
		c = &count{}
		(*m)[name] = c
	}
	return c
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
