// Package loadsharer lets gates state the loads of their targets to all nodes, as a
// topic of the aggregator.
package loadsharer

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
)

const (
	// idlePeriod is the interval at which an unchanged load is stated again. It is
	// shorter than the age up to which loads are passed on.
	idlePeriod = time.Second
	// senderRetention is how long it is known what was answered to a node.
	senderRetention = 10 * time.Second
	// urgencyPerSecond is how much a second without a statement counts, in units of
	// change, so that each target has its turn when not all fit in an answer.
	urgencyPerSecond = 0.5
	// durationPeriod is the interval at which durations are stated again to a node that was
	// told them. It bounds how long a lost answer leaves a node without them.
	durationPeriod = 3 * time.Second
	// resolvePeriod bounds how often unknown addresses are looked up.
	resolvePeriod = time.Second
)

// Target is a target beside the node with its load.
type Target struct {
	Address string
	Service string
	Load    balancer.SharedLoad
	At      time.Time
}

// Sharer carries loads between nodes. It implements aggregator.Topic.
type Sharer struct {
	// Enabled reports whether the deployment asks for shared loads.
	Enabled func(now time.Time) bool
	// Own returns the targets beside the node.
	Own func(now time.Time) []Target
	// Asking reports whether the node has requests to place, so that it needs answers
	// even if it has nothing to state.
	Asking func(now time.Time) bool
	// Addresses returns the addresses of the known targets.
	Addresses func() iter.Seq[string]
	// Learned is called with the load of each target that another node stated.
	Learned func(address string, l balancer.SharedLoad, at time.Time)

	mu       sync.Mutex
	stated   map[addressHash]record
	statedAt time.Time
	// known holds the loads that a hub or the root was told.
	known   map[addressHash]entry
	senders map[string]*sender
	names   map[addressHash]string
	namedAt time.Time
	counts  Counts
}

// Counts are the numbers of records since the start.
type Counts struct {
	// Sent and Received count records in reports and answers.
	Sent     uint64
	Received uint64
	// Omitted counts records that did not fit in an answer.
	Omitted uint64
}

// entry is a load with where it was heard.
type entry struct {
	record

	sender string
	// reported is the tier at which the load was reported, and 0 for those that came
	// with an answer of the root.
	reported aggregator.Tier
}

// sender holds what was answered last to a node.
type sender struct {
	askedAt time.Time
	told    map[addressHash]statement
}

// statement is a load that was stated, and the durations that were stated last with one.
type statement struct {
	record

	durations   []balancer.ClassDuration
	durationsAt time.Time
}

var _ aggregator.Topic = (*Sharer)(nil)

// ID implements aggregator.Topic.
func (s *Sharer) ID() uint8 { return aggregator.LoadTopic }

// Counts returns the numbers of records since the start.
func (s *Sharer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Report implements aggregator.Topic.
func (s *Sharer) Report(from aggregator.Tier, now time.Time) []byte {
	if from == aggregator.Leaf {
		return s.reportOwn(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.fresh(now, func(e entry) bool { return e.reported == aggregator.Hub })
	if len(l) == 0 {
		return nil
	}
	// The root is told what changed most, like any other node that asks.
	return s.encode(l, s.senderOf("", now), now)
}

func (s *Sharer) reportOwn(now time.Time) []byte {
	if s.Enabled != nil && !s.Enabled(now) {
		return nil
	}
	own := s.Own(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := now.Sub(s.statedAt) >= idlePeriod
	idle := true
	l := make([]record, 0, len(own))
	for _, t := range own {
		r := record{address: hashAddress(t.Address), service: balancer.HashClass(t.Service), load: scaled(t.Load), at: t.At}
		idle = idle && t.Load.Running+t.Load.Waiting == 0
		changed = changed || s.stated[r.address].differs(r)
		l = append(l, r)
	}
	if !changed && idle || len(l) == 0 {
		if s.Asking == nil || !s.Asking(now) {
			return nil
		}
		return []byte{version}
	}
	s.stated = make(map[addressHash]record, len(l))
	for _, r := range l {
		s.stated[r.address] = r
	}
	s.statedAt = now
	b := encode(l, maxBytes, now)
	s.counts.Sent += uint64(len(l))
	return b
}

// scaled returns l with at most 255 slots, and the others in proportion.
func scaled(l balancer.SharedLoad) balancer.SharedLoad {
	if l.Slots > math.MaxUint8 {
		l.Running = l.Running * math.MaxUint8 / l.Slots
		l.Waiting = l.Waiting * math.MaxUint8 / l.Slots
		l.Slots = math.MaxUint8
	}
	return l
}

// differs reports whether the load of r and o differ.
func (r record) differs(o record) bool {
	return r.load.Running != o.load.Running || r.load.Waiting != o.load.Waiting || r.load.Slots != o.load.Slots || r.load.Slowdown != o.load.Slowdown
}

// Merge implements aggregator.Topic.
func (s *Sharer) Merge(at aggregator.Tier, sender string, report []byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range decode(report, now) {
		s.take(entry{record: r, sender: sender, reported: at})
	}
}

// take stores an entry unless a newer one is known.
func (s *Sharer) take(e entry) {
	s.counts.Received++
	if s.known == nil {
		s.known = make(map[addressHash]entry)
	}
	o, ok := s.known[e.address]
	if ok && o.at.After(e.at) {
		return
	}
	if ok && o.reported == aggregator.Hub {
		// A load that its gate reported to this hub may come back from the root.
		e.sender, e.reported = o.sender, o.reported
	}
	s.known[e.address] = e
}

// Answer implements aggregator.Topic.
func (s *Sharer) Answer(_ aggregator.Tier, sender string, now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.fresh(now, func(e entry) bool { return e.sender != sender })
	if len(l) == 0 {
		return nil
	}
	return s.encode(l, s.senderOf(sender, now), now)
}

// fresh returns the entries that are not too old to be passed on, and forgets the others.
func (s *Sharer) fresh(now time.Time, f func(entry) bool) []entry {
	l := make([]entry, 0, len(s.known))
	for k, e := range s.known {
		switch {
		case now.Sub(e.at) > maxAge:
			delete(s.known, k)
		case f(e):
			l = append(l, e)
		}
	}
	return l
}

func (s *Sharer) senderOf(name string, now time.Time) *sender {
	for n, p := range s.senders {
		if now.Sub(p.askedAt) > senderRetention {
			delete(s.senders, n)
		}
	}
	if s.senders == nil {
		s.senders = make(map[string]*sender)
	}
	p := s.senders[name]
	if p == nil {
		p = &sender{}
		s.senders[name] = p
	}
	p.askedAt = now
	return p
}

// encode writes what fits in a message to p: targets of the own data centre first, then
// those whose state has changed most since p was told of them.
func (s *Sharer) encode(l []entry, p *sender, now time.Time) []byte {
	type ranked struct {
		urgency float64
		entry   *entry
	}
	o := make([]ranked, 0, len(l))
	for i := range l {
		if !p.knows(l[i], now) {
			o = append(o, ranked{p.urgency(l[i], now), &l[i]})
		}
	}
	slices.SortFunc(o, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.entry.address, b.entry.address))
	})
	due := len(o)
	// More of them do not fit.
	o = o[:min(len(o), maxAnswerBytes/recordBytes)]
	r := make([]record, len(o))
	for i, e := range o {
		r[i] = p.brief(e.entry.record, now)
	}
	b := encode(r, maxAnswerBytes, now)
	n := p.note(b, now)
	s.counts.Sent += uint64(n)
	s.counts.Omitted += uint64(due - n)
	return b
}

// knows reports whether p was told the same of a target that is as fast as usual.
func (p *sender) knows(e entry, now time.Time) bool {
	t, ok := p.told[e.address]
	return ok && now.Sub(t.at) < idlePeriod && !t.differs(e.record) && e.load.Slowdown <= 1
}

// brief returns r without its durations if p was told them lately.
func (p *sender) brief(r record, now time.Time) record {
	t, ok := p.told[r.address]
	if !ok || now.Sub(t.durationsAt) > durationPeriod {
		return r
	}
	for _, d := range t.durations {
		i := slices.IndexFunc(r.load.Durations, func(k balancer.ClassDuration) bool { return k.Class == d.Class })
		if i >= 0 && math.Abs(math.Log2(float64(r.load.Durations[i].Usual)/float64(d.Usual))) > 2.0/durationSteps {
			return r
		}
	}
	r.load.Durations = nil
	return r
}

// note records what is stated in a message to p, and returns the number of loads.
func (p *sender) note(b []byte, now time.Time) int {
	if p.told == nil {
		p.told = make(map[addressHash]statement)
	}
	n := 0
	for d := range decode(b, now) {
		t := p.told[d.address]
		t.record = d
		if len(d.load.Durations) > 0 {
			t.durations, t.durationsAt = d.load.Durations, now
		}
		p.told[d.address] = t
		n++
	}
	return n
}

// ownDataCenter exceeds the urgency of targets of other data centres.
const ownDataCenter = 1e6

// urgency returns how much p should be told of e.
func (p *sender) urgency(e entry, now time.Time) float64 {
	t, ok := p.told[e.address]
	u := urgencyPerSecond * maxAge.Seconds()
	if ok {
		u = e.change(t.record) + urgencyPerSecond*now.Sub(t.at).Seconds()
	}
	if e.reported == aggregator.Hub {
		u += ownDataCenter
	}
	return u
}

// change returns how much the load has changed, in units of a slot time.
func (r record) change(o record) float64 {
	n := float64(r.load.Running + r.load.Waiting - o.load.Running - o.load.Waiting)
	c := math.Abs(n) / float64(max(r.load.Slots, 1))
	if r.load.Slowdown > 0 && o.load.Slowdown > 0 {
		c += math.Abs(math.Log2(r.load.Slowdown / o.load.Slowdown))
	}
	return c
}

// Apply implements aggregator.Topic. The answer counts as formed when the report was
// sent: a node that was paused in between must not take it for fresh.
func (s *Sharer) Apply(at aggregator.Tier, answer []byte, sent, _ time.Time) {
	for r := range decode(answer, sent) {
		if at != aggregator.Leaf {
			s.mu.Lock()
			s.take(entry{record: r})
			s.mu.Unlock()
			continue
		}
		if a, ok := s.resolve(r.address, sent); ok && s.Learned != nil {
			s.Learned(a, r.load, r.at)
		}
	}
}

// resolve returns the address with a hash.
func (s *Sharer) resolve(h addressHash, now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.names[h]; !ok && now.Sub(s.namedAt) >= resolvePeriod {
		s.namedAt = now
		s.names = make(map[addressHash]string)
		for a := range s.Addresses() {
			s.names[hashAddress(a)] = a
		}
	}
	a, ok := s.names[h]
	return a, ok
}
