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
	classes  map[string]time.Duration
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
	n := g.slots(now)
	w := &waiter{ticket: t, arrived: now, granted: make(chan struct{})}
	if len(g.running) < n && len(g.waiting) == 0 {
		// A free slot is never refused: without new durations, an estimate that
		// was once too long would stay so.
		return g.admit(t, now), nil, nil
	}
	if t.Immediate {
		return nil, nil, g.overloaded(now, "gate: no free slot")
	}
	if len(g.waiting) >= g.limits.Queue {
		return nil, nil, g.overloaded(now, "gate: the queue is full")
	}
	i, _ := slices.BinarySearchFunc(g.waiting, w, compare)
	if e := now.Add(g.expectedWait(i, n, now)); !g.fits(w, e) {
		return nil, nil, g.overloaded(now, "gate: the wait is longer than what is left")
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	return nil, w, nil
}

// compare orders waiters: work that was begun elsewhere, then by priority,
// then by deadline.
func compare(a, b *waiter) int {
	return cmp.Or(
		-cmp.Compare(flag(a.ticket.Nested), flag(b.ticket.Nested)),
		cmp.Compare(a.ticket.Priority, b.ticket.Priority),
		a.ticket.Deadline.Compare(b.ticket.Deadline),
		a.arrived.Compare(b.arrived),
	)
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fits reports whether a request that begins at start can end in time.
func (g *Gate) fits(w *waiter, start time.Time) bool {
	d := time.Duration(fitShare * float64(g.estimate(w.ticket.Class)))
	return !start.Add(d).After(w.ticket.Deadline)
}

// estimate returns the average duration of a class, or of all.
func (g *Gate) estimate(class string) time.Duration {
	if d, ok := g.classes[class]; ok {
		return d
	}
	return g.overall
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

// expectedWait estimates when the waiter at place i of the queue would get one
// of n slots, from the time that the running requests still need.
func (g *Gate) expectedWait(i, n int, now time.Time) time.Duration {
	if n < 1 || len(g.running) == 0 {
		return g.overall
	}
	l := make([]time.Duration, 0, len(g.running))
	for _, p := range g.running {
		e := g.estimate(p.class)
		// What has run longer than usual is likely to go on for a while.
		l = append(l, max(e-now.Sub(p.since), e/4))
	}
	slices.Sort(l)
	// The places of the queue are served in rounds of the running requests.
	rounds := i / len(l)
	return l[i%len(l)] + time.Duration(rounds)*g.overall
}

func (g *Gate) overloaded(now time.Time, reason string) error {
	w := g.expectedWait(len(g.waiting), g.slots(now), now)
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
		g.classes = make(map[string]time.Duration)
	}
	g.classes[class] = average(g.classes[class], d)
	g.overall = average(g.overall, d)
}

func average(a, d time.Duration) time.Duration {
	if a == 0 {
		return d
	}
	return a + time.Duration(estimateWeight*float64(d-a))
}

// grant hands free slots to the waiters, and refuses those that can no longer
// end in time.
func (g *Gate) grant(now time.Time) {
	n := g.slots(now)
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		switch {
		case !g.fits(w, now):
			w.refusal = g.overloaded(now, "gate: what is left is too short by now")
			close(w.granted)
		case len(g.running) < n:
			w.pass = g.admit(w.ticket, now)
			close(w.granted)
		default:
			kept = append(kept, w)
		}
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
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
	return Load{
		Running:  len(g.running),
		Waiting:  len(g.waiting),
		Slots:    g.slots(time.Now()),
		Duration: g.classes[class],
		Failures: g.failures,
	}
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
