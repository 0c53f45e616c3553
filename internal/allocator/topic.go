package allocator

import (
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
)

// maxReports is the number of times of reports that a node remembers.
const maxReports = 16

// ID implements aggregator.Topic.
func (a *Allocator) ID() uint8 { return aggregator.UsageTopic }

// Report implements aggregator.Topic.
func (a *Allocator) Report(from aggregator.Tier, now time.Time) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from == aggregator.Hub {
		if now.Sub(a.heard) > roleMemory {
			return nil
		}
		return a.hub.report(now)
	}
	if len(a.workspaces) == 0 {
		return nil
	}
	return a.leaf.report(now)
}

// Merge implements aggregator.Topic.
func (a *Allocator) Merge(at aggregator.Tier, sender string, report []byte, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at == aggregator.Hub {
		if a.below.accounts == nil || now.Sub(a.heard) > roleMemory {
			a.below.reset(a.rand.Uint32() | 1)
			a.offered = time.Time{}
		}
		a.heard = now
		a.below.forget(now)
		a.below.merge(sender, report, now, func(k id, u usage, _ time.Time) { a.hub.add(k, u) })
		return
	}
	a.root.revive(a.rand.Uint32()|1, now)
	a.root.forget(now)
	leaf := a.fleet.Period(aggregator.Leaf)
	a.root.merge(sender, report, now, func(k id, u usage, since time.Time) {
		a.root.count(k, u, since.Add(-leaf/2), now, a.bounds.Window)
	})
}

// Answer implements aggregator.Topic. The root tells its offers, and a hub passes them on
// with their age.
func (a *Allocator) Answer(at aggregator.Tier, _ string, now time.Time) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at == aggregator.Hub {
		h := header{session: a.below.epoch, peer: a.offeredHash}
		if !a.offered.IsZero() {
			h.age = uint32(min(max(now.Sub(a.offered), 0), time.Hour)/time.Millisecond) + 1
			h.age |= a.offeredPart
		}
		return append(h.encode(), a.offers...)
	}
	h := header{session: a.root.epoch, peer: a.configured}
	if now.Sub(a.started) < settleTime || !a.root.ready(a.fleet, now) {
		return h.encode()
	}
	h.age = 1
	l, all := a.root.offers(a.limits, a.fleet, a.bounds, now)
	if !all {
		h.age |= partial
	}
	return append(h.encode(), l...)
}

// Apply implements aggregator.Topic.
func (a *Allocator) Apply(at aggregator.Tier, answer []byte, sent, _ time.Time) {
	h, rest, ok := readHeader(answer)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if at == aggregator.Hub {
		a.hub.acknowledge(h.session, sent)
		if h.age > 0 {
			a.offers, a.offeredHash, a.offered, a.offeredPart = rest, h.peer, sent, h.age&partial
		}
		return
	}
	if a.leaf.acknowledge(h.session, sent) {
		if len(a.reports) == maxReports {
			a.reports = slices.Delete(a.reports, 0, 1)
		}
		a.reports = append(a.reports, sent)
	}
	t := sent.Add(-time.Duration(h.age&^partial) * time.Millisecond)
	if h.age == 0 || t.Before(a.known) {
		return
	}
	if l, ok := readOffers(rest); ok {
		a.known, a.sameness, a.partial = t, h.peer == a.configured, h.age&partial != 0
		a.list(l)
	}
}

// list takes the offers of an answer.
func (a *Allocator) list(l map[id]offer) {
	for _, w := range a.workspaces {
		w.offer, w.listed = l[w.id]
	}
}
