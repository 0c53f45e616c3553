// Package gatekeeper controls admission to a target: it limits the number of
// concurrent requests, queues a few more, and refuses the rest before they have
// run.
//
// During a burst, or when the target is slow, requests that cannot be answered
// in time are refused immediately, so that their callers can try another target
// or retry later, and slots go to requests that can still be answered in time.
package gatekeeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/admitter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// warmUpDuration is how long a cold target takes to reach its full number
	// of slots.
	warmUpDuration = 5 * time.Second
	// initialSlotShare is the share of its slots that a cold target starts
	// with.
	initialSlotShare = 0.25
	// estimateWeight is the weight of the newest duration in a moving average.
	estimateWeight = 0.1
	// minDurationShare is the share of the estimated duration of a request that
	// must fit in the time left. It is below 1 because durations vary, and half
	// of them are shorter than the estimate.
	minDurationShare = 0.8
	// p90Deviations is the number of mean deviations above the mean within
	// which about 90% of requests finish.
	p90Deviations = 1.5
	// waitSafetyFactor is how many times the forecast a wait may take without
	// making a request miss its objective, because more urgent requests arrive
	// in between and durations vary. Callers that are refused immediately retry
	// sooner than those that wait in vain.
	waitSafetyFactor = 2
	// lateQueueDivisor limits the queue, as a fraction 1/lateQueueDivisor of
	// the slots, that a request may join if it will probably miss its
	// objective. A longer queue is full of requests that will meet theirs.
	lateQueueDivisor = 3
	// An answer is overdue after overdueDeviations mean deviations beyond the
	// mean (as in the retransmission timer of RFC 6298), but not before
	// overdueHalfMeans halves of the mean, nor before overdueMinSamples
	// durations are known.
	overdueDeviations = 6
	overdueHalfMeans  = 5
	overdueMinSamples = 20
	// failureWeight is the weight of the newest result in the failure share,
	// which covers about the last 20 requests.
	failureWeight = 0.05
)

// Ticket describes a request to the gate.
type Ticket struct {
	// Class groups requests whose durations are averaged together.
	Class string
	// Nested means that a target makes the request on behalf of another
	// request. Refusing it wastes work already done.
	Nested bool
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Objective is the time after which the answer loses part of its value;
	// zero means no objective.
	Objective time.Time
	Deadline  time.Time
	// Immediate means that the request is refused instead of queued if no slot
	// is free.
	Immediate bool
	// ByLoss orders the request strictly by priority and then by what its caller loses,
	// for the slot time that it needs, if it is refused.
	ByLoss bool
	// Returning means that its caller has been refused before.
	Returning bool
}

// Load is the load that a gate reports for its target.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Duration is the average duration of the requested class; zero if unknown.
	Duration time.Duration
	// Failures is the share of recent requests that the target failed.
	Failures float64
	// Slowdown is how long work takes at the target now, relative to the usual; zero
	// if the target does not state it.
	Slowdown float64
}

// Gate admits requests to one target. Its zero value admits nothing until
// limits are set.
type Gate struct {
	mu           sync.Mutex
	limits       router.Limits
	announcedAt  time.Time
	running      []*Pass
	waiting      []*waiter
	objectives   usualObjectives
	draining     bool
	classes      map[string]*durationStats
	meanDuration time.Duration
	failures     float64
	idle         chan struct{}
}

// Pass is a slot held by a request.
type Pass struct {
	gate       *Gate
	class      string
	acquiredAt time.Time
	released   bool
}

// Result tells how a request that held a slot ended.
type Result uint8

// The results.
const (
	// Abandoned means that the request ended early, so its full duration is
	// unknown.
	Abandoned Result = iota
	// Answered means that the target answered the request.
	Answered
	// Failed means that the target answered with a failure of its own, or broke
	// the request off.
	Failed
)

type waiter struct {
	ticket     Ticket
	enqueuedAt time.Time
	decided    chan struct{}
	rank       int
	// loss is the expected loss per slot time if the request is refused.
	loss float64
	// pass or refusal is set before decided is closed.
	pass    *Pass
	refusal error
}

// New returns a gate for a target that was first announced at announcedAt.
func New(l router.Limits, announcedAt time.Time) *Gate {
	return &Gate{limits: l, announcedAt: announcedAt}
}

// Limit replaces the limits.
func (g *Gate) Limit(l router.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.dispatch(time.Now())
}

// Enter waits for a slot. A refused request has never run; a refusal for load
// carries the expected wait for a free slot.
func (g *Gate) Enter(ctx context.Context, t Ticket) (*Pass, error) {
	p, w, err := g.acquireOrEnqueue(time.Now(), t)
	if w == nil {
		return p, err
	}
	return g.await(ctx, w)
}

// await waits until w is admitted or refused. A waiter that gets no slot is refused
// when it can no longer finish before its deadline, so that its caller learns in time
// that it has not run.
func (g *Gate) await(ctx context.Context, w *waiter) (*Pass, error) {
	d := time.NewTimer(time.Until(g.latestStart(w)))
	defer d.Stop()
	for {
		select {
		case <-w.decided:
			return w.pass, w.refusal
		case <-ctx.Done():
			if g.removeWaiter(w) {
				return nil, classifier.Error(classifier.TimedOut, classifier.NotRun, "gate: no slot before the deadline")
			}
			return w.pass, w.refusal
		case <-d.C:
		}
		// The usual duration may have become shorter since the timer was set.
		if l := time.Until(g.latestStart(w)); l > 0 {
			d.Reset(l)
			continue
		}
		if g.removeWaiter(w) {
			return nil, g.lateError()
		}
	}
}

// latestStart returns the time at which w must start to finish before its deadline.
func (g *Gate) latestStart(w *waiter) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return w.ticket.Deadline.Add(-g.minDuration(w.ticket.Class))
}

func (g *Gate) lateError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overloadError(time.Now(), lateMessage)
}

// lateMessage is the reason for the refusal of waiters that cannot finish in time.
const lateMessage = "gate: what is left is too short by now"

// acquireOrEnqueue takes a free slot or joins the queue.
func (g *Gate) acquireOrEnqueue(now time.Time, t Ticket) (*Pass, *waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, nil, drainingError()
	}
	if !t.Objective.IsZero() {
		g.objectives.record(t.Class, t.Objective.Sub(now))
	}
	if len(g.running) < g.slots(now) && len(g.waiting) == 0 {
		// Never refuse a request while a slot is free: without new durations,
		// an estimate that is too long would never be corrected.
		return g.admit(t, now), nil, nil
	}
	if t.Immediate {
		return nil, nil, g.overloadError(now, "gate: no free slot")
	}
	w := &waiter{ticket: t, enqueuedAt: now, decided: make(chan struct{})}
	g.reorder(now)
	g.assignRank(w, now)
	i, _ := slices.BinarySearchFunc(g.waiting, w, compare)
	if i >= g.limits.Queue {
		return nil, nil, g.overloadError(now, "gate: the queue is full")
	}
	wait := g.forecast(now).wait(i)
	if !g.fits(w, now.Add(wait), t.Deadline) {
		return nil, nil, g.overloadError(now, "gate: the wait is longer than what is left")
	}
	if g.missesObjective(w, now.Add(waitSafetyFactor*wait)) && len(g.waiting) >= g.slots(now)/lateQueueDivisor {
		return nil, nil, g.overloadError(now, "gate: the answer would come too late to be worth the wait")
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	if n := len(g.waiting); n > g.limits.Queue {
		// Refuse the last waiter, which is the least likely to be served.
		g.refuse(g.waiting[n-1], now)
		g.waiting = slices.Delete(g.waiting, n-1, n)
	}
	return nil, w, nil
}

// The ranks of waiters.
const (
	// nestedRank goes first, because other targets hold slots for these
	// requests.
	nestedRank = iota
	// timelyRank is for requests that can still meet their objective.
	timelyRank
	// lateRank is for requests that will probably miss their objective. They
	// get the slots that no other waiter needs.
	lateRank
)

// reorder updates the ranks and sorts the queue again. A request that could
// meet its objective on arrival may be late by now.
func (g *Gate) reorder(now time.Time) {
	for _, w := range g.waiting {
		g.assignRank(w, now)
	}
	slices.SortStableFunc(g.waiting, compare)
}

func (g *Gate) assignRank(w *waiter, now time.Time) {
	switch {
	case w.ticket.Nested:
		w.rank = nestedRank
	case g.missesObjective(w, now):
		w.rank = lateRank
	default:
		w.rank = timelyRank
	}
	if w.ticket.ByLoss {
		w.loss = g.loss(w.ticket, now)
	}
}

// loss returns the expected loss per second of slot time if the request of t is refused.
func (g *Gate) loss(t Ticket, now time.Time) float64 {
	d := g.estimate(t.Class)
	c := admitter.Claim{
		Objective:   t.Objective.Sub(now),
		NoObjective: t.Objective.IsZero(),
		Left:        t.Deadline.Sub(now),
		Returning:   t.Returning,
	}
	return c.Loss(d, d) / max(d, time.Millisecond).Seconds()
}

// missesObjective reports whether a request that starts at start will probably
// miss its objective. Under overload, slots become free just in time for the
// request that has waited longest, so serving requests that are as likely to be
// late as not would waste slots over and over.
func (g *Gate) missesObjective(w *waiter, start time.Time) bool {
	o := w.ticket.Objective
	return !w.ticket.Nested && !o.IsZero() && start.Add(g.likelyDuration(w.ticket.Class)).After(o)
}

// likelyDuration returns the duration that must fit in what is left of the objective:
// the 90th percentile or, if that is too long even for requests that need not wait, as
// at a target that has just started, a share of the objective. Otherwise no request
// would go before another, and those that have waited longest would take the slots.
func (g *Gate) likelyDuration(class string) time.Duration {
	d := g.p90Duration(class)
	if o := g.objectives[class]; o > 0 {
		d = min(d, time.Duration(achievableShare*float64(o)))
	}
	return d
}

// p90Duration estimates the duration within which about 90% of the requests of
// a class finish. It is the overall mean for an unknown class.
func (g *Gate) p90Duration(class string) time.Duration {
	if d, ok := g.classes[class]; ok {
		return d.mean + time.Duration(p90Deviations*float64(d.deviation))
	}
	return g.meanDuration
}

// compare orders waiters by rank, priority, due time and arrival, or by nesting,
// priority and loss.
func compare(a, b *waiter) int {
	if a.ticket.ByLoss && b.ticket.ByLoss {
		return cmp.Or(
			cmp.Compare(boolToInt(b.ticket.Nested), boolToInt(a.ticket.Nested)),
			cmp.Compare(a.ticket.Priority, b.ticket.Priority),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(b.loss, a.loss),
			a.due().Compare(b.due()),
			a.enqueuedAt.Compare(b.enqueuedAt),
		)
	}
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.ticket.Priority, b.ticket.Priority),
		a.due().Compare(b.due()),
		a.enqueuedAt.Compare(b.enqueuedAt),
	)
}

// due returns when the answer for a waiter next loses value.
func (w *waiter) due() time.Time {
	if w.rank == timelyRank && !w.ticket.Objective.IsZero() {
		return w.ticket.Objective
	}
	return w.ticket.Deadline
}

// fits reports whether a request that starts at start can finish by due.
func (g *Gate) fits(w *waiter, start, due time.Time) bool {
	return !start.Add(g.minDuration(w.ticket.Class)).After(due)
}

// minDuration returns the time that a request of a class needs at least.
func (g *Gate) minDuration(class string) time.Duration {
	return time.Duration(minDurationShare * float64(g.estimate(class)))
}

// estimate returns the mean duration of a class, or of all requests if the
// class is unknown.
func (g *Gate) estimate(class string) time.Duration {
	if d, ok := g.classes[class]; ok {
		return d.mean
	}
	return g.meanDuration
}

// durationStats holds the duration statistics of a class.
type durationStats struct {
	mean time.Duration
	// deviation is the mean absolute deviation.
	deviation time.Duration
	count     int
}

func (d *durationStats) add(t time.Duration) {
	if d.count == 0 {
		d.mean = t
		d.deviation = t / 2
	}
	d.count++
	distance := (t - d.mean).Abs()
	d.mean += time.Duration(estimateWeight * float64(t-d.mean))
	d.deviation += time.Duration(estimateWeight * float64(distance-d.deviation))
}

// Overdue returns the duration after which an answer to a request of a class is
// no longer expected, or false if too few requests have finished.
func (g *Gate) Overdue(class string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.classes[class]
	if !ok || d.count < overdueMinSamples {
		return 0, false
	}
	return max(d.mean+overdueDeviations*d.deviation, overdueHalfMeans*d.mean/2), true
}

// slots returns the number of requests that may run at now. A cold target has
// fewer slots.
func (g *Gate) slots(now time.Time) int {
	a := now.Sub(g.announcedAt)
	if g.announcedAt.IsZero() || a >= warmUpDuration {
		return g.limits.Slots
	}
	s := initialSlotShare + (1-initialSlotShare)*float64(max(a, 0))/float64(warmUpDuration)
	return max(1, int(s*float64(g.limits.Slots)))
}

// forecast predicts when the slots of a target become free.
type forecast struct {
	remaining []time.Duration
	round     time.Duration
}

// forecast estimates the remaining time of the running requests.
func (g *Gate) forecast(now time.Time) forecast {
	f := forecast{round: g.meanDuration, remaining: make([]time.Duration, 0, len(g.running))}
	for _, p := range g.running {
		e := g.estimate(p.class)
		// A request that has run longer than usual will probably run a while
		// longer.
		f.remaining = append(f.remaining, max(e-now.Sub(p.acquiredAt), e/4))
	}
	slices.Sort(f.remaining)
	return f
}

// wait returns the expected wait for a slot at queue position i. The running
// requests free their slots in rounds.
func (f forecast) wait(i int) time.Duration {
	n := len(f.remaining)
	if n == 0 {
		return f.round
	}
	return f.remaining[i%n] + time.Duration(i/n)*f.round
}

func (g *Gate) overloadError(now time.Time, reason string) error {
	w := g.forecast(now).wait(len(g.waiting))
	return classifier.WithWait(classifier.Error(classifier.Overloaded, classifier.NotRun, "%s", reason), w)
}

func (g *Gate) admit(t Ticket, now time.Time) *Pass {
	p := &Pass{gate: g, class: t.Class, acquiredAt: now}
	g.running = append(g.running, p)
	return p
}

// Leave releases the slot. Further calls have no effect.
func (p *Pass) Leave(r Result) {
	p.gate.release(p, r, time.Now())
}

func (g *Gate) release(p *Pass, r Result, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	if r != Abandoned {
		g.failures += failureWeight * (float64(boolToInt(r == Failed)) - g.failures)
	}
	if d := now.Sub(p.acquiredAt); r == Answered || (r == Abandoned && d > g.estimate(p.class)) {
		// An abandoned request would have taken even longer.
		g.recordDuration(p.class, d)
	}
	i := slices.Index(g.running, p)
	g.running = slices.Delete(g.running, i, i+1)
	g.dispatch(now)
	g.signalIdle()
}

func (g *Gate) recordDuration(class string, d time.Duration) {
	if g.classes == nil {
		g.classes = make(map[string]*durationStats)
	}
	c := g.classes[class]
	if c == nil {
		c = &durationStats{}
		g.classes[class] = c
	}
	c.add(d)
	g.meanDuration = movingAverage(g.meanDuration, d)
}

func movingAverage(a, d time.Duration) time.Duration {
	if a == 0 {
		return d
	}
	return a + time.Duration(estimateWeight*float64(d-a))
}

// dispatch assigns free slots to waiters. It refuses waiters that can no longer
// finish in time at their position, and all but a few late ones, because
// requests that can meet their objective keep arriving and go first.
func (g *Gate) dispatch(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	g.reorder(now)
	n := g.slots(now)
	for len(g.running) < n && len(g.waiting) > 0 {
		w := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		if !g.fits(w, now, w.ticket.Deadline) {
			g.refuse(w, now)
			continue
		}
		w.pass = g.admit(w.ticket, now)
		close(w.decided)
	}
	f := g.forecast(now)
	late := 0
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		late += boolToInt(w.rank == lateRank)
		if late > n/lateQueueDivisor || !g.fits(w, now.Add(f.wait(len(kept))), w.ticket.Deadline) {
			g.refuse(w, now)
			continue
		}
		kept = append(kept, w)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

func (g *Gate) refuse(w *waiter, now time.Time) {
	w.refusal = g.overloadError(now, lateMessage)
	close(w.decided)
}

// removeWaiter removes w from the queue. It returns false if w has already been
// admitted or refused.
func (g *Gate) removeWaiter(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}

// Drain refuses new and queued requests. Running requests continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, w := range g.waiting {
		w.refusal = drainingError()
		close(w.decided)
	}
	g.waiting = nil
	g.signalIdle()
}

// Idle returns a channel that is closed once the gate is draining and no
// request is running.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	c := g.idle
	g.signalIdle()
	return c
}

func (g *Gate) signalIdle() {
	if g.draining && len(g.running) == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Load returns the load of the target, with the mean duration of class.
func (g *Gate) Load(class string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := Load{
		Running:  len(g.running),
		Waiting:  len(g.waiting),
		Slots:    g.slots(time.Now()),
		Failures: g.failures,
	}
	if d, ok := g.classes[class]; ok {
		l.Duration = d.mean
	}
	return l
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.running)
}

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

func drainingError() error {
	return classifier.Error(classifier.Unavailable, classifier.NotRun, "gate: the target is draining")
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
