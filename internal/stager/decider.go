package stager

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/evaluator"
	"github.com/dragonflydoor/dragonflydoor/internal/orderer"
)

const (
	// rootFor is how long a node has to be root before it decides: its reports have to
	// arrive.
	rootFor = time.Second
	// resumeGap is the pause of the decider after which it reads the store again: another
	// node may have been root.
	resumeGap = 2 * time.Second
	// storeSilence is how long a roll-out goes on without the store.
	storeSilence = 4 * time.Second
	// orderGap bounds the time between two listings that dates an order.
	orderGap = 3 * time.Second
	// handover is the age that an order is given in the first listing of a node, which may
	// have become the root because it was started beside a new target of that order.
	handover = 1500 * time.Millisecond
	// retryWrite is the pause after a write that failed.
	retryWrite = 300 * time.Millisecond
	// majority is the least part of the members whose reports the root needs: with less
	// there may be another root. most is what it needs at the last call.
	majority = 0.5
	most     = 0.9
	// lastDoubt is the evidence that ends a roll-out at the last call. It is above that
	// which keeps a step from being taken: with all requests at a bad version the
	// evidence would long be beyond it. In 250 runs with both versions overloaded, 14 good
	// ones were rolled back with evidence between the two.
	lastDoubt = 9.0
	// wholeSlack is left between the last stage and the last call for reports that are
	// lost. Without it one of 16 good roll-outs with 5% of reports lost was rolled back.
	wholeSlack = 400 * time.Millisecond
	// slotMargin is the part of the slots in use that the new targets need: a few of them
	// may be restarting.
	slotMargin = 0.75
	// rampSeconds is the exposure, in seconds of all requests, between the shift and the
	// end of a roll-out.
	rampSeconds = 1.5
	// precedence is how long a node with too few reports leaves the last decision to
	// another root.
	precedence = 500 * time.Millisecond
	// readTimeout is when a status is read again whose read has not returned.
	readTimeout = 1500 * time.Millisecond
	// maxShown bounds the support in messages.
	maxShown = 1e6
)

// Write is a status to be written to the store.
type Write struct {
	Status
	// Order is the revision of the order.
	Order uint64
}

// rollout is the state of one roll-out at the root.
type rollout struct {
	order Order
	// begun is the earliest time at which the order can have been written.
	begun time.Time

	// status is the record in the store. It belongs to this root once it has written it:
	// the late write of an earlier one then fails by its precondition.
	status     Status
	read       bool
	owned      bool
	writing    bool
	retryAfter time.Time

	phase   Phase
	cause   string
	stage   stage
	stageAt time.Time
	step    uint32
	pulse   uint32

	evaluator evaluator.Evaluator
	verdict   evaluator.Verdict
	seen      evaluator.Counts
	// in is the last sum of reports. Its counts never decrease: a hub that has just
	// taken over reports less.
	in        report
	sampledAt uint64
	targets   int
	others    int
	newSlots  int
	oldSlots  int
	// coverage is the part of the members whose reports arrive, lost ones included, and
	// reach the part of the usable ones.
	coverage   float64
	reach      float64
	interval   time.Duration
	storeHeard bool
}

// SetOrders takes the orders of a listing that began at asked.
func (s *Stager) SetOrders(list []Order, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		r := s.rollouts[o.Service]
		if r != nil && r.order.Revision >= o.Revision {
			continue
		}
		begun := asked.Add(-handover)
		if !s.listed.IsZero() && asked.Sub(s.listed) < orderGap {
			begun = s.listed
		}
		s.rollouts[o.Service] = &rollout{order: o, begun: begun, stageAt: asked, phase: Running, seen: make(evaluator.Counts)}
		klog.InfoS("Roll-out found", "service", o.Service, "version", o.Version, "revision", o.Revision, "limit", o.Limit)
	}
	s.listed = asked
}

// Unread returns the services whose status has to be read now.
func (s *Stager) Unread(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for _, n := range slices.Sorted(maps.Keys(s.rollouts)) {
		if r := s.rollouts[n]; !r.read && !r.writing && !now.Before(r.retryAfter) {
			r.retryAfter = now.Add(readTimeout)
			l = append(l, n)
		}
	}
	return l
}

// Read takes the status of a service as read from the store.
func (s *Stager) Read(t Status, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[t.Service]
	if r == nil {
		return
	}
	r.read, r.status, r.retryAfter = true, t, time.Time{}
	// A record that is older than the order belongs to an earlier one.
	if t.Revision > r.order.Revision && t.Version == r.order.Version && t.Phase.Final() {
		r.end(t.Phase, "recorded in the store", now)
	}
}

// Written takes the revision of a status that was written.
func (s *Stager) Written(w Write, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[w.Service]
	if r == nil || r.order.Revision != w.Order {
		return
	}
	r.status = w.Status
	r.status.Revision = revision
	r.owned, r.writing = true, false
}

// Failed records that a status could not be written, or that it is not known whether it
// was. The record is read again.
func (s *Stager) Failed(w Write, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rollouts[w.Service]; r != nil && r.order.Revision == w.Order {
		r.writing, r.read, r.retryAfter = false, false, now.Add(retryWrite)
	}
}

// Step runs the decisions of the root that are due at now, and returns what has to be
// written. It must be called several times a second while this node is the root, and
// only then.
func (s *Stager) Step(now time.Time) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.stepped) > resumeGap {
		s.rollouts = make(map[string]*rollout)
		s.listed = time.Time{}
		s.rootSince = now
	}
	s.stepped = now
	if now.Sub(s.rootSince) < rootFor {
		return nil
	}
	s.refresh(now)
	var l []Write
	for _, n := range slices.Sorted(maps.Keys(s.rollouts)) {
		r := s.rollouts[n]
		if !r.read {
			continue
		}
		if r.phase == Running {
			s.observe(r, now)
			r.advance(s.options.Bounds, now)
		}
		if w, ok := r.due(now); ok {
			l = append(l, w)
		}
	}
	return l
}

// due returns the status that has to be written, if any.
func (r *rollout) due(now time.Time) (Write, bool) {
	recorded := r.status.Version == r.order.Version && r.status.Phase == r.phase && r.status.Revision > r.order.Revision
	if r.writing || now.Before(r.retryAfter) || (recorded && (r.owned || r.phase.Final())) {
		return Write{}, false
	}
	r.writing = true
	t := Status{Service: r.order.Service, Version: r.order.Version, Phase: r.phase, Revision: r.status.Revision}
	return Write{Status: t, Order: r.order.Revision}, true
}

// observe takes what the reports and the view say of a roll-out. The lock is held.
func (s *Stager) observe(r *rollout, now time.Time) {
	r.interval = s.interval
	r.storeHeard = now.Sub(s.listed) <= storeSilence
	r.targets, r.others, r.newSlots, r.oldSlots = 0, 0, 0, 0
	if v := s.services[r.order.Service]; v != nil {
		for n, x := range v.versions {
			if n == r.order.Version {
				r.targets, r.newSlots = x.targets, x.slots
				continue
			}
			r.others += x.targets
			r.oldSlots += x.slots
		}
	}
	in, ok := s.reports.sum(r.order.Service, now, s.silence())
	r.reach = float64(in.nodes) / float64(max(s.options.View().Usable(), 1))
	r.coverage = r.reach
	if s.options.Coverage != nil {
		r.coverage = s.options.Coverage(now)
	}
	if !ok || in.revision != r.order.Revision {
		r.in.nodes, r.in.step = in.nodes, 0
		return
	}
	// Ages grow a little with each message, so only a root that takes over needs them.
	if b := now.Add(-in.age); r.stage == waiting && b.Before(r.begun) {
		r.begun = b
	}
	in.requests, in.exposed = max(in.requests, r.in.requests), max(in.exposed, r.in.exposed)
	r.in = in
	warm := r.stage > sampling || (r.stage == sampling && now.Sub(r.stageAt) >= coldTail)
	r.evaluator.Add(in.counts.Since(r.seen), warm, now)
	for k, h := range in.counts {
		r.seen[k] = h.Max(r.seen[k])
	}
	r.verdict = r.evaluator.Verdict()
}

// advance takes the next step of a roll-out if it is due, or ends it.
func (r *rollout) advance(b Bounds, now time.Time) {
	p := planFor(r.order.Limit, r.interval)
	age := now.Sub(r.begun)
	switch {
	case r.verdict.Worse:
		r.end(RolledBack, "the new version is worse", now)
	case age >= p.last && r.acknowledged(most) && r.coverage > majority && r.verdict.Evidence < lastDoubt:
		r.end(Completed, "the time limit is near", now)
	case age >= p.last && r.targets > 0 && r.others == 0:
		r.end(Completed, "no other version has targets", now)
	case age >= p.last+precedence, age >= p.last && r.coverage > majority:
		r.end(RolledBack, r.obstacle(), now)
	case !r.owned || !r.storeHeard || r.coverage <= majority:
		return
	default:
		r.move(b, p, age, now)
	}
}

// obstacle names what has kept a roll-out from its end.
func (r *rollout) obstacle() string {
	switch {
	case r.targets == 0:
		return "the version has no targets"
	case !r.storeHeard || !r.owned:
		return "the store does not answer"
	case r.coverage <= majority:
		return "too few nodes report"
	case r.verdict.Doubtful:
		return "the new version may be worse"
	case r.stage == whole:
		return "some nodes have not stopped to use the old version"
	case !r.verdict.Good:
		return "too little evidence for the new version"
	}
	return "the new targets have too few slots"
}

// move takes the next step if what it needs is there.
func (r *rollout) move(b Bounds, p plan, age time.Duration, now time.Time) {
	in := now.Sub(r.stageAt)
	switch {
	case r.stage == whole:
		if r.acknowledged(1) && !r.verdict.Doubtful && in >= p.whole && (r.in.oldCalls == 0 || in >= drainTime) {
			r.end(Completed, "the new version is as good", now)
		}
	case r.stage < partial:
		if g := r.begin(b, p, age, in); g != r.stage {
			r.enter(g, now)
		}
	default:
		g, share := r.following(p, age)
		dwell := p.dwell
		if r.stage == larger {
			// Lost reports lengthen the stages; the last one needs its time as well.
			dwell = min(p.larger, max(p.last-p.whole-wholeSlack-age+in, p.dwell+pulseTime))
		}
		if in >= dwell && !r.verdict.Doubtful && r.fits(share) {
			r.enter(g, now)
		}
	}
}

// begin returns the stage to be in before the shift and at its begin, after a time in the
// current one.
func (r *rollout) begin(b Bounds, p plan, age, in time.Duration) stage {
	switch {
	case r.stage == waiting && r.targets > 0:
		return r.resumed()
	case r.stage == trickling && r.in.step >= r.step && (!r.cold() || in >= coldLimit):
		r.sampledAt = r.in.requests
		return sampling
	case r.stage == sampling && age >= p.shift && r.mayShift(b, age) && r.fits(partialShare):
		return partial
	}
	return r.stage
}

// following returns the stage after partial or larger, and its share. If time is short,
// larger is left out.
func (r *rollout) following(p plan, age time.Duration) (stage, uint32) {
	if r.stage == partial && age+p.larger+p.whole <= p.last {
		return larger, largerShare
	}
	return whole, wholeShare
}

// acknowledged reports whether a part of the usable nodes acts on the last step. A node that does not report sends nothing to
// it, and would lose what it sends to the old one.
func (r *rollout) acknowledged(part float64) bool {
	return r.stage == whole && r.in.step >= r.step && r.reach >= part
}

// cold reports whether targets of the new version have just started. One in ten may have
// been restarted.
func (r *rollout) cold() bool {
	return 10*int(r.in.cold) > r.targets
}

// mayShift reports whether the evidence allows more than the budget of the samples. Where
// requests are too few for a test, all of them may fit in the budget.
func (r *rollout) mayShift(b Bounds, age time.Duration) bool {
	if r.verdict.Good {
		return true
	}
	rate := float64(r.in.requests) / max(age.Seconds(), 1)
	budget := b.Share*float64(r.in.requests) + b.Slack*r.coverage
	return !r.verdict.Doubtful && float64(r.in.exposed)+rampSeconds*rate <= budget
}

// fits reports whether the new targets have slots for a share of what is in flight.
func (r *rollout) fits(share uint32) bool {
	if r.newSlots == 0 || r.oldSlots == 0 {
		return true
	}
	running := min(int(r.in.oldCalls+r.in.newCalls), r.oldSlots)
	return slotMargin*float64(running)*float64(share) <= float64(r.newSlots)*wholeShare
}

// resumed returns the stage at which nodes are: another root may have begun.
func (r *rollout) resumed() stage {
	switch {
	case r.in.share >= wholeShare:
		return whole
	case r.in.share >= largerShare:
		return larger
	case r.in.share >= partialShare:
		return partial
	case r.in.exposed > 0 && !r.cold():
		return sampling
	}
	return trickling
}

func (r *rollout) enter(g stage, now time.Time) {
	r.stage, r.stageAt = g, now
	r.number(now)
	if g == larger {
		p := planFor(r.order.Limit, r.interval)
		r.pulse = uint32((now.Sub(r.begun) + p.dwell) / time.Millisecond)
	}
	r.log("Roll-out step", now)
}

// number gives the state a new number. It is the age, which grows from one root to the
// next as well.
func (r *rollout) number(now time.Time) {
	r.step = max(r.step+1, uint32(max(now.Sub(r.begun), 0)/time.Millisecond))
}

func (r *rollout) end(p Phase, cause string, now time.Time) {
	if r.phase == p && r.stage == ended {
		return
	}
	r.log("Roll-out decided", now, "outcome", p.String(), "cause", cause)
	r.phase, r.cause, r.stage, r.stageAt = p, cause, ended, now
	r.number(now)
}

func (r *rollout) log(message string, now time.Time, more ...any) {
	v := r.verdict
	klog.InfoS(message, append(more, "service", r.order.Service, "version", r.order.Version, "revision", r.order.Revision,
		"stage", r.stage, "age", now.Sub(r.begun).Round(time.Millisecond), "limit", r.order.Limit, "requests", r.in.requests,
		"exposed", r.in.exposed, "targets", r.targets, "cold", r.in.cold, "nodes", r.in.nodes, "coverage", r.coverage,
		"acknowledged", r.in.step >= r.step, "oldCalls", r.in.oldCalls, "route", v.Route, "signal", v.Signal,
		"oldRate", v.Old, "newRate", v.New, "evidence", v.Evidence, "support", v.Support)...)
}

// directives returns the roll-outs for the hub sender, each with its part of the grants.
// The lock is held.
func (s *Stager) directives(sender string, now time.Time) []directive {
	if now.Sub(s.stepped) > resumeGap {
		return nil
	}
	var l []directive
	for _, n := range slices.Sorted(maps.Keys(s.rollouts)) {
		r := s.rollouts[n]
		if !r.read || (r.phase == Running && r.stage == waiting) {
			continue
		}
		d := r.directive(now)
		if d.phase == Running && d.share == 0 {
			d.grant = s.pool(r, sender, s.options.Bounds)
		}
		l = append(l, d)
	}
	return l
}

func (r *rollout) directive(now time.Time) directive {
	d := directive{
		service: r.order.Service, version: r.order.Version, revision: r.order.Revision, phase: r.phase, step: r.step,
		age: now.Sub(r.begun), requests: r.in.requests, exposed: r.in.exposed,
		evidence: uint32(tenths * r.verdict.Evidence), support: uint32(tenths * min(r.verdict.Support, maxShown)),
	}
	g := r.stage
	if r.phase == Completed && r.status.Phase != Completed {
		// The old targets stop when the status is written; until then every node may
		// still be told otherwise by the store.
		d.phase, g = Running, whole
	}
	switch g {
	case partial:
		d.share, d.targets = partialShare, r.trialTargets(partialShare)
	case larger:
		d.share, d.targets = largerShare, r.trialTargets(largerShare)
		if r.newSlots == 0 || r.fits(wholeShare) {
			d.pulse = r.pulse
		}
	case whole:
		d.share = wholeShare
	case waiting, trickling, sampling, ended:
		d.targets = r.trialTargets(uint32(samplingShare * wholeShare * orderer.DefaultBounds.Share))
	}
	return d
}

// trialTargets returns how many targets of the new version a share loads fully.
func (r *rollout) trialTargets(share uint32) uint32 {
	n := (r.targets*int(share) + wholeShare - 1) / wholeShare
	return uint32(max(n, minTrialTargets))
}

// pool returns how many requests the nodes of a hub may have exposed in all: what they
// have, and a part of what is left by their share of the requests.
func (s *Stager) pool(r *rollout, sender string, b Bounds) uint64 {
	n := float64(r.in.requests)
	all := trickleSlack*b.Slack*r.coverage + trickleShare*b.Share*n
	if r.stage >= sampling {
		before := float64(min(r.sampledAt, r.in.requests))
		all = samplingSlack*b.Slack*r.coverage + b.Share*(trickleShare*before+samplingShare*(n-before))
		all = min(all, manySamples+trickleShare*b.Share*n)
	}
	x := s.reports.senders[s.place(sender)]
	if x == nil {
		return 0
	}
	own := x.reports[r.order.Service]
	if own.revision != r.order.Revision {
		own.requests, own.exposed = 0, 0
	}
	left := max(all-float64(r.in.exposed), 0)
	part := (float64(own.requests) + 1) / (n + float64(len(s.reports.senders)))
	return own.exposed + uint64(left*min(part, 1)+0.5)
}

// place returns the data centre of a hub, so that the reports of its successor replace
// its own. The lock is held.
func (s *Stager) place(node string) string {
	if s.options.View == nil {
		return node
	}
	for _, m := range s.options.View().Members {
		if m.Node == node {
			return "data centre " + m.DataCenter
		}
	}
	return node
}
