package stager

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/evaluator"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// Outcome is what became of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Unsent means that the request did not reach the target.
	Unsent Outcome = iota
	// Answered means that the target answered without an error.
	Answered
	// Failed means that the target failed the request or broke off.
	Failed
	// Late means that the wait for the answer was given up.
	Late
	// Void means that the outcome says nothing of the version: the caller left, or the
	// target or a service that it calls was overloaded.
	Void
)

// Totals counts the attempts at one version.
type Totals struct {
	Sent   uint64
	Failed uint64
}

// Attempt is one attempt at a target of a service with several versions. A nil Attempt
// records nothing.
type Attempt struct {
	stager   *Stager
	service  *service
	route    string
	version  string
	group    uint8
	trial    bool
	revision uint64
	begun    time.Time
	running  bool
}

// Filter returns the targets of a service, of those in list, that may get a request.
// Tried holds addresses that have refused it, and repeat tells that the request was sent
// to a target before.
func (s *Stager) Filter(name string, list []gossiper.Endpoint, tried map[string]bool, repeat bool) []gossiper.Endpoint {
	if s == nil || sameVersion(list) {
		return list
	}
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(name)
	s.notice(v, list, now)
	return v.filter(list, tried, repeat, s.silence(), now)
}

func sameVersion(list []gossiper.Endpoint) bool {
	for _, p := range list {
		if p.Version != list[0].Version {
			return false
		}
	}
	return true
}

// notice takes the targets of a service that the node has not looked at yet, or of which
// a second version has just appeared.
func (s *Stager) notice(v *service, list []gossiper.Endpoint, now time.Time) {
	if len(v.versions) < 2 {
		v.ranks = rankTargets(list)
		v.learn(versionsOf(list), now.Sub(s.started) >= settling, now)
	}
}

// Begin records that a request is about to be sent to p. It returns false if p may not
// get it any more: another target has to be chosen.
func (s *Stager) Begin(p gossiper.Endpoint, route string, repeat bool) (*Attempt, bool) {
	if s == nil {
		return nil, true
	}
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[p.Service]
	if v == nil {
		return nil, true
	}
	d := &v.directive
	// Where no target of another version is left, nothing else can be chosen.
	if len(v.versions) > 1 && d.phase == Running && !v.permits(p.Version, repeat, s.silence(), now) && v.chosenAgainst(p.Version) {
		return nil, false
	}
	a := &Attempt{
		stager: s, service: v, route: route, version: p.Version, group: v.groupOf(p.Address),
		trial: d.phase != Unknown && p.Version == d.version, revision: d.revision, begun: now, running: true,
	}
	v.requests++
	if a.trial {
		v.exposed++
		v.newCalls++
	} else {
		v.oldCalls++
	}
	return a, true
}

// chosenAgainst reports whether the filter would return other versions than this one.
func (v *service) chosenAgainst(name string) bool {
	for o, x := range v.versions {
		if o != name && x.targets > 0 && (o == v.directive.version || name == v.directive.version) {
			return true
		}
	}
	return false
}

// Observe records the outcome of an attempt.
func (a *Attempt) Observe(o Outcome) {
	if a == nil {
		return
	}
	a.stager.mu.Lock()
	defer a.stager.mu.Unlock()
	v := a.service
	if o == Unsent {
		a.giveBack()
		return
	}
	v.count(a.version, o == Failed)
	if o == Void || a.revision == 0 || a.revision != v.directive.revision {
		return
	}
	k := evaluator.Key{Route: a.route, New: a.trial}
	if a.trial {
		k.Group = a.group
	}
	if v.counts == nil {
		v.counts = make(evaluator.Counts)
	}
	h := v.counts[k]
	h.Add(o == Failed, a.stager.options.Now().Sub(a.begun))
	v.counts[k] = h
}

// giveBack takes back what Begin has counted.
func (a *Attempt) giveBack() {
	v := a.service
	if a.revision != v.directive.revision {
		return
	}
	v.requests -= min(v.requests, 1)
	if a.trial {
		v.exposed -= min(v.exposed, 1)
	}
}

func (v *service) count(version string, failed bool) {
	if v.totals == nil {
		v.totals = make(map[string]*Totals)
	}
	t := v.totals[version]
	if t == nil {
		t = &Totals{}
		v.totals[version] = t
	}
	t.Sent++
	if failed {
		t.Failed++
	}
}

// Done records that nothing of the attempt is in flight any more.
func (a *Attempt) Done() {
	if a == nil {
		return
	}
	a.stager.mu.Lock()
	defer a.stager.mu.Unlock()
	if !a.running {
		return
	}
	a.running = false
	if a.trial {
		a.service.newCalls -= min(a.service.newCalls, 1)
	} else {
		a.service.oldCalls -= min(a.service.oldCalls, 1)
	}
}
