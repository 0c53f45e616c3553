// Package gatekeeper guards a target: it bounds the requests that run at once,
// queues a few, and refuses the rest before they have run.
//
// It answers bursts and slow targets: when more arrives than the target can
// run, what can not be answered in time is refused at once, so that its caller
// can go elsewhere or come back, and slots go to requests that still can.
package gatekeeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// WarmUp is how long a cold target takes to be given all its slots.
	WarmUp = 5 * time.Second
	// coldShare is the part of its slots that a target starts with.
	coldShare = 0.25
	// estimateWeight is the weight of the newest duration in an average.
	estimateWeight = 0.1
	// fitShare is the part of a request's estimated duration that must fit in
	// the time left: durations scatter, and half of them are shorter.
	fitShare = 0.8
	// likelyDeviations mean deviations above the mean, about nine in ten requests
	// have ended.
	likelyDeviations = 1.5
	// waitMargin is how much longer than forecast a wait may turn out without making
	// a request late: more urgent ones come in between, and durations scatter.
	// Callers who are refused at once come back sooner than those who wait in vain.
	waitMargin = 2
	// lateQueueShare of the slots, as a divisor, is how long the queue may be that
	// is joined by a request which misses its objective: a longer one is full of
	// requests that do not.
	lateQueueShare = 3
	// An answer is overdue after overdueDeviations mean deviations beyond the mean
	// (as the retransmission timer of RFC 6298 reckons), but not before half of
	// overdueFactor times the mean, nor before overdueCount durations are known.
	overdueDeviations = 6
	overdueFactor     = 5
	overdueCount      = 20
	// failureWeight is the weight of the newest outcome in the share of
	// failures, about the last twenty.
	failureWeight = 0.05
)

// Ticket is what a gate knows of a request.
type Ticket struct {
	// Class names the kind of work, whose durations are averaged.
	Class string
	// Nested says that a target makes the request on behalf of another one:
	// refusing it wastes what has run already.
	Nested bool
	// Priority ranks requests; 0 goes first.
	Priority int
	// Objective is when the answer loses a part of its value; zero when never.
	Objective time.Time
	Deadline  time.Time
	// Immediate refuses instead of waiting for a slot.
	Immediate bool
}

// Load is what a gate tells of its target.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Duration is the average of the class that was asked for; zero when it is
	// not known.
	Duration time.Duration
	// Failures is the share of requests that the target failed lately.
	Failures float64
}

// Gate admits requests to one target. Its zero value admits nothing until
// limits are set.
type Gate struct {
	mu       sync.Mutex
	limits   router.Limits
	opened   time.Time
	running  []*Pass
	waiting  []*waiter
	draining bool
	classes  map[string]*durations
	overall  time.Duration
	failures float64
	idle     chan struct{}
}

// Pass is a slot of the target.
type Pass struct {
	gate   *Gate
	class  string
	since  time.Time
	closed bool
}

// Result says how a request that held a slot ended.
type Result uint8

// The results.
const (
	// Abandoned means that it is not known how long the request would have taken.
	Abandoned Result = iota
	// Answered means that the target answered the request.
	Answered
	// Failed means that the target answered with a failure of its own, or broke
	// the request off.
	Failed
)

type waiter struct {
	ticket  Ticket
	arrived time.Time
	granted chan struct{}
	rank    int
	// pass or refusal is set before granted is closed.
	pass    *Pass
	refusal error
}

// New returns a gate for a target that was first announced at opened.
func New(l router.Limits, opened time.Time) *Gate {
	return &Gate{limits: l, opened: opened}
}

// Limit replaces the limits.
func (g *Gate) Limit(l router.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.grant(time.Now())
}

// Enter waits for a slot. A refusal always means that the request has not
// run, and tells how long it will be until there is room.
func (g *Gate) Enter(ctx context.Context, t Ticket) (*Pass, error) {
	p, w, err := g.enqueue(time.Now(), t)
	if w == nil {
		return p, err
	}
	d := time.NewTimer(time.Until(t.Deadline))
	defer d.Stop()
	select {
	case <-w.granted:
		return w.pass, w.refusal
	case <-ctx.Done():
	case <-d.C:
	}
	if g.abandon(w) {
		return nil, judge.Error(judge.TimedOut, judge.NotRun, "gate: no slot before the deadline")
	}
	return w.pass, w.refusal
}

// enqueue takes a slot or a place in the queue.
func (g *Gate) enqueue(now time.Time, t Ticket) (*Pass, *waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, nil, refuseDraining()
	}
	if len(g.running) < g.slots(now) && len(g.waiting) == 0 {
		// A free slot is never refused: without new durations, an estimate that
		// was once too long would stay so.
		return g.admit(t, now), nil, nil
	}
	if t.Immediate {
		return nil, nil, g.overloaded(now, "gate: no free slot")
	}
	w := &waiter{ticket: t, arrived: now, granted: make(chan struct{})}
	g.rank(now)
	g.place(w, now)
	i, _ := slices.BinarySearchFunc(g.waiting, w, compare)
	if i >= g.limits.Queue {
		return nil, nil, g.overloaded(now, "gate: the queue is full")
	}
	wait := g.forecast(now).wait(i)
	if !g.fits(w, now.Add(wait), t.Deadline) {
		return nil, nil, g.overloaded(now, "gate: the wait is longer than what is left")
	}
	if g.late(w, now.Add(waitMargin*wait)) && len(g.waiting) >= g.slots(now)/lateQueueShare {
		return nil, nil, g.overloaded(now, "gate: the answer would come too late to be worth the wait")
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	if n := len(g.waiting); n > g.limits.Queue {
		// The last one makes room: nothing suggests that it would be served.
		g.refuse(g.waiting[n-1], now)
		g.waiting = slices.Delete(g.waiting, n-1, n)
	}
	return nil, w, nil
}

// The ranks of waiters.
const (
	// nestedRank goes first: other targets hold slots for it.
	nestedRank = iota
	// timelyRank can still be answered within the objective.
	timelyRank
	// lateRank takes what the others leave.
	lateRank
)

// rank orders the queue anew: what could be answered within its objective when
// it came may be late by now.
func (g *Gate) rank(now time.Time) {
	for _, w := range g.waiting {
		g.place(w, now)
	}
	slices.SortStableFunc(g.waiting, compare)
}

func (g *Gate) place(w *waiter, now time.Time) {
	switch {
	case w.ticket.Nested:
		w.rank = nestedRank
	case g.late(w, now):
		w.rank = lateRank
	default:
		w.rank = timelyRank
	}
}

// late reports whether a request that begins at start will probably miss its
// objective. Under overload slots become free just in time for the request that
// has waited longest, so a request that is as likely to be late as not would
// cost a slot for nothing, time and again.
func (g *Gate) late(w *waiter, start time.Time) bool {
	o := w.ticket.Objective
	return !w.ticket.Nested && !o.IsZero() && start.Add(g.likely(w.ticket.Class)).After(o)
}

// likely is how long most requests of a class take.
func (g *Gate) likely(class string) time.Duration {
	if d, ok := g.classes[class]; ok {
		return d.mean + time.Duration(likelyDeviations*float64(d.deviation))
	}
	return g.overall
}

// compare orders waiters by rank, then by priority, then by what is due first.
func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.ticket.Priority, b.ticket.Priority),
		a.due().Compare(b.due()),
		a.arrived.Compare(b.arrived),
	)
}

// due is when a waiter's answer loses value next.
func (w *waiter) due() time.Time {
	if w.rank == timelyRank && !w.ticket.Objective.IsZero() {
		return w.ticket.Objective
	}
	return w.ticket.Deadline
}

// fits reports whether a request that begins at start can end by due.
func (g *Gate) fits(w *waiter, start, due time.Time) bool {
	d := time.Duration(fitShare * float64(g.estimate(w.ticket.Class)))
	return !start.Add(d).After(due)
}

// estimate returns the average duration of a class, or of all.
func (g *Gate) estimate(class string) time.Duration {
	if d, ok := g.classes[class]; ok {
		return d.mean
	}
	return g.overall
}

// durations is what is known of how long the requests of a class take.
type durations struct {
	mean time.Duration
	// deviation is the mean distance from the mean.
	deviation time.Duration
	count     int
}

func (d *durations) add(t time.Duration) {
	if d.count == 0 {
		d.mean = t
		d.deviation = t / 2
	}
	d.count++
	off := (t - d.mean).Abs()
	d.mean += time.Duration(estimateWeight * float64(t-d.mean))
	d.deviation += time.Duration(estimateWeight * float64(off-d.deviation))
}

// Overdue returns how long a request of a class may run until its answer is
// not to be expected any more, or false while too few have ended.
func (g *Gate) Overdue(class string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.classes[class]
	if !ok || d.count < overdueCount {
		return 0, false
	}
	return max(d.mean+overdueDeviations*d.deviation, overdueFactor*d.mean/2), true
}

// slots returns how many requests may run at now; a cold target has fewer.
func (g *Gate) slots(now time.Time) int {
	a := now.Sub(g.opened)
	if g.opened.IsZero() || a >= WarmUp {
		return g.limits.Slots
	}
	s := coldShare + (1-coldShare)*float64(max(a, 0))/float64(WarmUp)
	return max(1, int(s*float64(g.limits.Slots)))
}

// forecast is when the slots of a target are expected to become free.
type forecast struct {
	remaining []time.Duration
	round     time.Duration
}

// forecast estimates the time that the running requests still need.
func (g *Gate) forecast(now time.Time) forecast {
	f := forecast{round: g.overall, remaining: make([]time.Duration, 0, len(g.running))}
	for _, p := range g.running {
		e := g.estimate(p.class)
		// What has run longer than usual is likely to go on for a while.
		f.remaining = append(f.remaining, max(e-now.Sub(p.since), e/4))
	}
	slices.Sort(f.remaining)
	return f
}

// wait returns when the waiter at place i of the queue is expected to get a
// slot. The places are served in rounds of the running requests.
func (f forecast) wait(i int) time.Duration {
	n := len(f.remaining)
	if n == 0 {
		return f.round
	}
	return f.remaining[i%n] + time.Duration(i/n)*f.round
}

func (g *Gate) overloaded(now time.Time, reason string) error {
	w := g.forecast(now).wait(len(g.waiting))
	return judge.WithWait(judge.Error(judge.Overloaded, judge.NotRun, "%s", reason), w)
}

func (g *Gate) admit(t Ticket, now time.Time) *Pass {
	p := &Pass{gate: g, class: t.Class, since: now}
	g.running = append(g.running, p)
	return p
}

// Leave gives the slot back. Only the first call counts.
func (p *Pass) Leave(r Result) {
	p.gate.leave(p, r, time.Now())
}

func (g *Gate) leave(p *Pass, r Result, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	if r != Abandoned {
		g.failures += failureWeight * (float64(flag(r == Failed)) - g.failures)
	}
	if d := now.Sub(p.since); r == Answered || (r == Abandoned && d > g.estimate(p.class)) {
		// What was given up would have taken longer still.
		g.learn(p.class, d)
	}
	i := slices.Index(g.running, p)
	g.running = slices.Delete(g.running, i, i+1)
	g.grant(now)
	g.signalIdle()
}

func (g *Gate) learn(class string, d time.Duration) {
	if g.classes == nil {
		g.classes = make(map[string]*durations)
	}
	c := g.classes[class]
	if c == nil {
		c = &durations{}
		g.classes[class] = c
	}
	c.add(d)
	g.overall = average(g.overall, d)
}

func average(a, d time.Duration) time.Duration {
	if a == 0 {
		return d
	}
	return a + time.Duration(estimateWeight*float64(d-a))
}

// grant hands free slots to the waiters, and refuses those that can no longer
// end in time where they stand, and late ones beyond a few: timely requests
// keep coming and go before them.
func (g *Gate) grant(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	g.rank(now)
	n := g.slots(now)
	for len(g.running) < n && len(g.waiting) > 0 {
		w := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		if !g.fits(w, now, w.ticket.Deadline) {
			g.refuse(w, now)
			continue
		}
		w.pass = g.admit(w.ticket, now)
		close(w.granted)
	}
	f := g.forecast(now)
	late := 0
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		late += flag(w.rank == lateRank)
		if late > n/lateQueueShare || !g.fits(w, now.Add(f.wait(len(kept))), w.ticket.Deadline) {
			g.refuse(w, now)
			continue
		}
		kept = append(kept, w)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

func (g *Gate) refuse(w *waiter, now time.Time) {
	w.refusal = g.overloaded(now, "gate: what is left is too short by now")
	close(w.granted)
}

// abandon takes w out of the queue, or reports false if it has its answer.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiting, w)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}

// Drain refuses new and waiting requests. Those that run go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, w := range g.waiting {
		w.refusal = refuseDraining()
		close(w.granted)
	}
	g.waiting = nil
	g.signalIdle()
}

// Idle returns a channel that is closed once a drained gate has nothing
// running.
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

// Load returns the target's load, with the average duration of class.
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

func refuseDraining() error {
	return judge.Error(judge.Unavailable, judge.NotRun, "gate: the target is draining")
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
