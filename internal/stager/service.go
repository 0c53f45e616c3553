package stager

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/evaluator"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// wholeShare is the share, in thousandths, at which all requests go to the new version.
const wholeShare = 1000

// sureAfter is longer than a report and an answer take on average.
const sureAfter = 500 * time.Millisecond

// replacedAfter is how long no version in use may have a target before those that have
// some are taken to be in use. Targets that restart are back earlier.
const replacedAfter = 10 * time.Second

// directive is what nodes act on, and what they show of a roll-out.
type directive struct {
	service  string
	version  string
	revision uint64
	phase    Phase
	// step numbers the changes of a roll-out; reports acknowledge it.
	step uint32
	// share is the part of the requests, in thousandths, for the new version. If it is 0,
	// requests go there by grant.
	share uint32
	// pulse is the age of the order, in milliseconds, at which all requests go to the new
	// version for pulseTime, and partialShare of them afterwards; 0 means never.
	pulse uint32
	// targets is the number of targets of the new version in use; 0 means all.
	targets uint32
	// age is the time since the order.
	age time.Duration
	// grant is the number of requests that the receiver may have sent to the new version
	// since the order.
	grant uint64
	// requests, exposed, evidence and support describe the roll-out to operators, the
	// last two in tenths.
	requests, exposed uint64
	evidence, support uint32
}

// version is what the view holds of one version of a service.
type version struct {
	targets int
	slots   int
}

// service is the state of one service at a node.
type service struct {
	name     string
	random   func() float64
	versions map[string]version
	// ranks orders the targets of each version, alternating between data centres.
	ranks map[string]int
	// inUse holds the versions that get requests without a roll-out; nil while the node
	// learns them.
	inUse     map[string]bool
	lastInUse time.Time

	directive directive
	formed    time.Time
	// begun is when the order was written, as far as is known.
	begun time.Time
	// wholeAt is when all requests began to go to the new version.
	wholeAt time.Time

	requests uint64
	exposed  uint64
	oldCalls uint32
	newCalls uint32
	counts   evaluator.Counts
	// totals counts attempts by version for metrics.
	totals map[string]*Totals
}

// take takes a directive that was formed at the given time. An older one, one of an
// earlier order, and one that contradicts a final state change nothing.
func (v *service) take(d directive, formed, now time.Time) {
	c := &v.directive
	if d.revision < c.revision || (d.revision == c.revision && (formed.Before(v.formed) || (c.phase.Final() && d.phase != c.phase))) {
		return
	}
	if d.revision > c.revision {
		v.requests, v.exposed, v.counts = 0, 0, nil
		v.begun = now.Add(-d.age)
	}
	if b := now.Add(-d.age); b.Before(v.begun) {
		v.begun = b
	}
	if d.share >= wholeShare && (c.share < wholeShare || d.revision > c.revision) {
		v.wholeAt = now
	}
	v.directive, v.formed = d, formed
	switch d.phase {
	case Completed:
		v.inUse = map[string]bool{d.version: true}
	case RolledBack:
		delete(v.inUse, d.version)
	case Unknown, Running:
	}
}

// learn takes the versions that the view shows.
func (v *service) learn(versions map[string]version, settled bool, now time.Time) {
	v.versions = versions
	if v.lastInUse.IsZero() {
		v.lastInUse = now
	}
	for n := range versions {
		if v.inUse[n] {
			v.lastInUse = now
		}
	}
	if (v.inUse == nil && settled) || (len(versions) > 0 && now.Sub(v.lastInUse) > replacedAfter) {
		v.inUse = make(map[string]bool)
		for n := range versions {
			if v.directive.phase == Unknown || n != v.directive.version {
				v.inUse[n] = true
			}
		}
	}
}

// usable reports whether targets of a version get requests besides a roll-out. While a
// node learns which versions are in use, that is the one with the most targets.
func (v *service) usable(name string) bool {
	if v.inUse != nil {
		return v.inUse[name]
	}
	d := &v.directive
	onTrial := func(o string) bool { return o == d.version && (d.phase == Running || d.phase == RolledBack) }
	if onTrial(name) {
		return false
	}
	n := v.versions[name].targets
	for o, x := range v.versions {
		if onTrial(o) {
			continue
		}
		if x.targets > n || (x.targets == n && earlier(o, name)) {
			return false
		}
	}
	return true
}

// earlier orders names of versions as numbers are ordered: v9 is before v10.
func earlier(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// fresh reports whether the node has heard recently enough to act on the directive.
func (v *service) fresh(silence time.Duration, now time.Time) bool {
	return now.Sub(v.formed) <= silence
}

// permits reports whether a request may be sent to a target of a version now. It does
// not ask whether there are other targets.
func (v *service) permits(version string, repeat bool, silence time.Duration, now time.Time) bool {
	d := &v.directive
	onTrial := version == d.version
	switch {
	case d.phase.Final() && onTrial:
		return d.phase == Completed
	case d.phase == Completed:
		return false
	case d.phase != Running:
		return v.usable(version)
	case !v.fresh(silence, now) || len(v.versions) < 2:
		return !onTrial && v.usable(version)
	case v.shareAt(now) >= wholeShare && (!repeat || (d.share >= wholeShare && v.sure(now))):
		return onTrial
	case !onTrial:
		return v.usable(version)
	case repeat:
		// A repeat goes where the request is most likely answered.
		return false
	}
	return d.share > 0 || v.exposed < d.grant
}

// shareAt returns the share in force. Nodes know the age of the order to some
// milliseconds, so that a pulse begins at all of them at once.
func (v *service) shareAt(now time.Time) uint32 {
	d := &v.directive
	p := time.Duration(d.pulse) * time.Millisecond
	switch age := now.Sub(v.begun); {
	case d.pulse == 0 || age < p:
		return d.share
	case age < p+pulseTime:
		return wholeShare
	}
	return partialShare
}

// sure reports whether all requests have gone to the new version for so long that
// repeats follow. Until then they are served by the old one: if the new one turns bad
// with the last step, repeats would double its exposure.
func (v *service) sure(now time.Time) bool {
	return now.Sub(v.wholeAt) >= sureAfter
}

// filter returns the targets that may get a request.
func (v *service) filter(list []gossiper.Endpoint, tried map[string]bool, repeat bool, silence time.Duration, now time.Time) []gossiper.Endpoint {
	d := &v.directive
	share := v.shareAt(now)
	var old, trial []gossiper.Endpoint
	for _, p := range list {
		switch {
		case !v.permits(p.Version, repeat, silence, now):
		case d.phase != Running || p.Version != d.version:
			old = append(old, p)
		case share >= wholeShare, !tried[p.Address] && (d.targets == 0 || v.rank(p.Address) < int(d.targets)):
			trial = append(trial, p)
		}
	}
	switch {
	case len(old) == 0 && len(trial) == 0:
		return v.last(list)
	case len(trial) == 0:
		return old
	case len(old) == 0, share == 0, share >= wholeShare, v.random()*wholeShare < float64(share):
		return trial
	}
	return old
}

// last returns the targets for the case that no target is permitted: any, but those of
// the version on trial only if there are no others.
func (v *service) last(list []gossiper.Endpoint) []gossiper.Endpoint {
	d := &v.directive
	if d.phase == Completed || (d.phase == Running && d.share >= wholeShare) {
		return list
	}
	var l []gossiper.Endpoint
	for _, p := range list {
		if p.Version != d.version || d.phase == Unknown {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return list
	}
	return l
}

func (v *service) rank(address string) int {
	if r, ok := v.ranks[address]; ok {
		return r
	}
	return len(v.ranks)
}

// rankTargets orders targets by hash within their data centre and version, and across
// data centres by that place, so that any first few of them are spread.
func rankTargets(list []gossiper.Endpoint) map[string]int {
	l := slices.Clone(list)
	slices.SortFunc(l, func(a, b gossiper.Endpoint) int { return cmp.Compare(hashOf(a.Address), hashOf(b.Address)) })
	type place struct{ version, dataCenter string }
	within := make(map[place]int)
	turn := make(map[string]int)
	for _, p := range l {
		k := place{p.Version, p.DataCenter}
		turn[p.Address] = within[k]
		within[k]++
	}
	slices.SortStableFunc(l, func(a, b gossiper.Endpoint) int { return cmp.Compare(turn[a.Address], turn[b.Address]) })
	ranks := make(map[string]int, len(l))
	next := make(map[string]int)
	for _, p := range l {
		ranks[p.Address] = next[p.Version]
		next[p.Version]++
	}
	return ranks
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// groupOf returns the group of a target in the test.
func (v *service) groupOf(address string) uint8 {
	if r, ok := v.ranks[address]; ok {
		return uint8(r % evaluator.Groups)
	}
	return uint8(hashOf(address) % evaluator.Groups)
}

// active reports whether the node has something to tell of the service.
func (v *service) active() bool {
	return len(v.versions) > 1 || (v.directive.phase == Running && len(v.versions) > 0)
}

// observed returns the node's reports. The lock is held.
func (s *Stager) observed(now time.Time) []report {
	var l []report
	for _, n := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[n]
		if !v.active() {
			continue
		}
		d := v.directive
		r := report{
			service: n, revision: d.revision, nodes: 1,
			requests: v.requests, exposed: v.exposed,
			oldCalls: v.oldCalls, newCalls: v.newCalls, counts: v.counts,
		}
		if d.revision > 0 {
			r.age = now.Sub(v.begun)
			r.share = d.share
		}
		switch {
		case d.phase == Running && d.share >= wholeShare && !v.sure(now):
		case d.phase.Final() || v.fresh(s.silence(), now):
			r.step = d.step
		}
		if s.options.Cold != nil && s.options.Cold(n, d.version) {
			r.cold = 1
		}
		l = append(l, r)
	}
	return l
}

// refresh takes the targets of the view. The lock is held.
func (s *Stager) refresh(now time.Time) {
	if s.options.View == nil {
		return
	}
	w := s.options.View()
	if w == nil {
		return
	}
	settled := now.Sub(s.started) >= settling
	for _, n := range w.Services() {
		s.service(n)
	}
	for n, v := range s.services {
		list := w.Service(n)
		if w.Version != s.viewVersion || v.versions == nil {
			v.ranks = rankTargets(list)
		}
		v.learn(versionsOf(list), settled, now)
	}
	s.viewVersion = w.Version
}

func versionsOf(list []gossiper.Endpoint) map[string]version {
	m := make(map[string]version)
	for _, p := range list {
		x := m[p.Version]
		x.targets++
		x.slots += p.Slots
		m[p.Version] = x
	}
	return m
}
