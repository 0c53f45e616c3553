// Package stager moves the traffic of a service to a new version of its targets by
// steps. Every node chooses targets and counts outcomes; hubs merge the counts and share
// out the requests that may be exposed; one node, the root, decides.
package stager

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/orderer"
)

type (
	// Order is an operator's order to move a service to a version.
	Order = orderer.Order
	// Phase is the state of a roll-out.
	Phase = orderer.Phase
	// Status is the state of a roll-out as recorded in the store.
	Status = orderer.Status
	// Bounds limit the requests that a bad version may get.
	Bounds = orderer.Bounds
)

// The phases.
const (
	Unknown    = orderer.Unknown
	Running    = orderer.Running
	Completed  = orderer.Completed
	RolledBack = orderer.RolledBack
)

// Options are what a Stager depends on.
type Options struct {
	Bounds Bounds
	// Now returns the time that the methods of aggregator.Topic are called with; nil
	// means time.Now.
	Now func() time.Time
	// View returns the members known.
	View func() *gossiper.View
	// Cold reports whether the target of a service beside this node has just started
	// and is slow for that reason; nil means never.
	Cold func(service, version string) bool
	// Coverage returns the share of the members whose reports reach this node as root.
	// If it is nil, the nodes that report are compared with the usable members.
	Coverage func(now time.Time) float64
}

const (
	// settling is how long after its start a node learns which versions are in use:
	// some rounds of gossip.
	settling = 3 * time.Second
	// minSilence and maxSilence bound how long a node acts on what it has heard. Three
	// reports in a row may be lost.
	minSilence      = time.Second
	maxSilence      = 4 * time.Second
	silencePeriods  = 3
	initialInterval = 200 * time.Millisecond
	maxInterval     = 2 * time.Second
	// rollbackShare is the part of the bound for a roll-back that may pass unheard.
	rollbackShare = 0.6
	// retention is how long the counts of a node that does not report are kept.
	retention = 30 * time.Second
	// tenths is the unit of evidence in messages.
	tenths = 10
)

// Stager holds what a node knows of roll-outs at each tier. It implements
// aggregator.Topic. A nil Stager passes every target.
type Stager struct {
	options Options

	mu      sync.Mutex
	started time.Time
	// services is the state of the leaf, by service.
	services map[string]*service
	// interval is the smoothed time between answers.
	interval    time.Duration
	lastAnswer  time.Time
	viewVersion uint64
	// turn counts reports, so that what does not fit in one is in another.
	turn int

	hub hub
	// reports holds the reports of hubs if this node is the root.
	reports  collector
	rollouts map[string]*rollout
	// listed is when the last successful listing of orders began, stepped when Step was
	// called last, and rootSince since when it has been called without a gap.
	listed    time.Time
	stepped   time.Time
	mergedAt  time.Time
	rootSince time.Time
}

var _ aggregator.Topic = (*Stager)(nil)

// New returns a stager for a node that has just started.
func New(o Options) *Stager {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Bounds == (Bounds{}) {
		o.Bounds = orderer.DefaultBounds
	}
	return &Stager{
		options:  o,
		started:  o.Now(),
		interval: initialInterval,
		services: make(map[string]*service),
		rollouts: make(map[string]*rollout),
	}
}

// ID implements aggregator.Topic.
func (s *Stager) ID() uint8 { return aggregator.RolloutTopic }

// Report implements aggregator.Topic.
func (s *Stager) Report(from aggregator.Tier, now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	if from == aggregator.Leaf {
		s.refresh(now)
		return encodeReports(s.observed(now), s.turn)
	}
	return encodeReports(s.hub.reports.sums(now, s.silence()), s.turn)
}

// Merge implements aggregator.Topic.
func (s *Stager) Merge(at aggregator.Tier, sender string, report []byte, now time.Time) {
	l, err := decodeReports(report)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at == aggregator.Root {
		s.mergedAt = now
		s.reports.put(s.place(sender), l, now)
		return
	}
	s.hub.reports.put(sender, l, now)
}

// Answer implements aggregator.Topic.
func (s *Stager) Answer(at aggregator.Tier, sender string, now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at == aggregator.Root {
		return encodeAnswer(0, s.directives(sender, now))
	}
	return encodeAnswer(now.Sub(s.hub.formed), s.hub.answer(sender, s.silence(), now))
}

// Apply implements aggregator.Topic.
func (s *Stager) Apply(at aggregator.Tier, answer []byte, sent, now time.Time) {
	age, l, err := decodeAnswer(answer)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	formed := sent.Add(-age)
	if at == aggregator.Hub {
		s.hub.take(l, formed)
		return
	}
	// A longer gap is one in which there was nothing to report.
	if d := now.Sub(s.lastAnswer); d <= maxInterval {
		s.interval += (d - s.interval) / 4
	}
	s.lastAnswer = now
	for _, d := range l {
		s.service(d.service).take(d, formed, now)
	}
}

// silence returns how long what was heard is acted on.
func (s *Stager) silence() time.Duration {
	m := min(maxSilence, time.Duration(rollbackShare*float64(s.options.Bounds.Rollback)))
	return min(max(silencePeriods*s.interval, minSilence), max(m, minSilence))
}

func (s *Stager) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name, random: rand.Float64}
		s.services[name] = v
	}
	return v
}

// Leading reports whether hubs have lately reported to this node as root.
func (s *Stager) Leading(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mergedAt.IsZero() && now.Sub(s.mergedAt) <= s.silence()
}

// Summary is what a node knows of a roll-out.
type Summary struct {
	Service, Version  string
	Revision          uint64
	Phase             Phase
	SharePermille     uint32
	Requests, Exposed uint64
	// Evidence and Support are the logarithms of the odds against and for the version.
	Evidence, Support float64
	Age               time.Duration
}

// Summaries returns the roll-outs that the node has heard of, by service.
func (s *Stager) Summaries() []Summary {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []Summary
	for _, n := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[n]
		d := v.directive
		if d.phase == Unknown {
			continue
		}
		l = append(l, Summary{
			Service: n, Version: d.version, Revision: d.revision, Phase: d.phase, SharePermille: d.share,
			Requests: d.requests, Exposed: d.exposed, Evidence: float64(d.evidence) / tenths, Support: float64(d.support) / tenths,
			Age: s.options.Now().Sub(v.begun),
		})
	}
	return l
}

// Count yields the attempts of this node at targets, by service and version.
func (s *Stager) Count(yield func(service, version string, t Totals)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, v := range s.services {
		for version, t := range v.totals {
			yield(n, version, *t)
		}
	}
}
