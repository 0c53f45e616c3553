// Package gatekeeper guards a target: it bounds the requests that run at once,
// queues a few by deadline, and sheds the rest before they have run.
package gatekeeper

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// warmUp is how long a cold target takes to be given all its slots.
	warmUp = 5 * time.Second
	// coldShare is the part of its slots that a target starts with.
	coldShare = 0.25
	// latencyWeight is the weight of the newest duration in the average.
	latencyWeight = 0.1
)

// Gate admits requests to one target. Its zero value admits nothing until
// limits are set.
type Gate struct {
	mu       sync.Mutex
	limits   router.Limits
	opened   time.Time
	running  int
	waiting  queue
	draining bool
	average  time.Duration
	idle     chan struct{}
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
}

// Enter waits for a slot until deadline. A refusal always means that the
// request has not run. The returned function gives the slot back.
func (g *Gate) Enter(ctx context.Context, deadline time.Time) (func(), error) {
	w, err := g.enqueue(time.Now(), deadline)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return g.leaver(), nil
	}
	select {
	case <-w.granted:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, judge.Error(judge.TimedOut, judge.NotRun, "gate: no slot before the deadline")
		}
	}
	if w.refused {
		return nil, refuseDraining()
	}
	return g.leaver(), nil
}

// enqueue takes a slot, returning nil, or a place in the queue.
func (g *Gate) enqueue(now, deadline time.Time) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, refuseDraining()
	}
	n := g.slots(now)
	if g.running < n {
		g.running++
		return nil, nil
	}
	if len(g.waiting) >= g.limits.Queue {
		return nil, judge.Error(judge.Overloaded, judge.NotRun, "gate: the queue is full")
	}
	w := &waiter{deadline: deadline, granted: make(chan struct{})}
	if e := g.expectedWait(w, n); now.Add(e).After(deadline) {
		return nil, judge.Error(judge.Overloaded, judge.NotRun, "gate: %s to wait is past the deadline", e)
	}
	heap.Push(&g.waiting, w)
	return w, nil
}

// slots returns how many requests may run at now; a cold target has fewer.
func (g *Gate) slots(now time.Time) int {
	a := now.Sub(g.opened)
	if g.opened.IsZero() || a >= warmUp {
		return g.limits.Slots
	}
	s := coldShare + (1-coldShare)*float64(a)/float64(warmUp)
	return max(1, int(s*float64(g.limits.Slots)))
}

// expectedWait estimates when w would get a slot out of n.
func (g *Gate) expectedWait(w *waiter, n int) time.Duration {
	k := 1
	for _, o := range g.waiting {
		if !o.deadline.After(w.deadline) {
			k++
		}
	}
	return g.average * time.Duration(k) / time.Duration(max(n, 1))
}

// leaver returns a function that gives back a slot, once.
func (g *Gate) leaver() func() {
	var o sync.Once
	s := time.Now()
	return func() { o.Do(func() { g.leave(time.Since(s)) }) }
}

func (g *Gate) leave(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.average += time.Duration(latencyWeight * float64(d-g.average))
	g.running--
	g.grant(time.Now())
	g.signalIdle()
}

// grant hands free slots to the waiters with the earliest deadlines.
func (g *Gate) grant(now time.Time) {
	for g.running < g.slots(now) && len(g.waiting) > 0 {
		w, _ := heap.Pop(&g.waiting).(*waiter)
		g.running++
		close(w.granted)
	}
}

// abandon takes w out of the queue, or reports false if it has its answer.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&g.waiting, w.index)
	return true
}

// Drain refuses new and waiting requests. Those that run go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for len(g.waiting) > 0 {
		w, _ := heap.Pop(&g.waiting).(*waiter)
		w.refused = true
		close(w.granted)
	}
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
	if g.draining && g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
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

type waiter struct {
	deadline time.Time
	granted  chan struct{}
	// refused is set before granted is closed when the gate drains.
	refused bool
	index   int
}

// queue is a heap of waiters, the earliest deadline first.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	l := *q
	w := l[len(l)-1]
	l[len(l)-1] = nil
	*q = l[:len(l)-1]
	w.index = -1
	return w
}
