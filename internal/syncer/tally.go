package syncer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxLaggards limits the number of laggards in a report.
const maxLaggards = 16

// Tally counts the nodes of a subtree that hold one generation.
type Tally struct {
	Generation uint64
	Nodes      int
}

// Laggard is a node that holds an older generation than its root.
type Laggard struct {
	Node       string
	Generation uint64
}

// Report describes the generations that the nodes of a subtree hold.
type Report struct {
	Tallies  []Tally
	Laggards []Laggard
}

// Equal reports whether r and o have the same tallies and laggards.
func (r Report) Equal(o Report) bool {
	return slices.Equal(r.Tallies, o.Tallies) && slices.Equal(r.Laggards, o.Laggards)
}

// child is a node that is polling or has recently polled.
type child struct {
	generation uint64
	report     Report
	poll       uint64
	// until is when the child expires, zero while it polls.
	until time.Time
}

// ReportAggregator aggregates the reports of a node's children. Its zero value is ready to
// use.
type ReportAggregator struct {
	mu       sync.Mutex
	children map[string]child
	polls    uint64
}

// Admit records the report of a child that starts to poll, and returns the number
// of the poll. It refuses a new child if there are limit others already.
func (t *ReportAggregator) Admit(node string, generation uint64, r Report, now time.Time, limit int) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if _, ok := t.children[node]; !ok && len(t.children) >= limit {
		return 0, false
	}
	if t.children == nil {
		t.children = make(map[string]child)
	}
	t.polls++
	t.children[node] = child{generation: generation, report: r, poll: t.polls}
	return t.polls, true
}

// Release records that a poll was answered. The child expires at until unless it
// has started another poll.
func (t *ReportAggregator) Release(node string, poll uint64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.children[node]
	if ok && c.poll == poll {
		c.until = until
		t.children[node] = c
	}
}

// Forget removes a child that canceled its poll, as it may have changed its
// parent.
func (t *ReportAggregator) Forget(node string, poll uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.children[node].poll == poll {
		delete(t.children, node)
	}
}

// Children returns the number of children that are polling or have recently
// polled.
func (t *ReportAggregator) Children(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.children)
}

// ChildNodes returns the names of the children that are polling or have recently polled.
func (t *ReportAggregator) ChildNodes(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return slices.Collect(maps.Keys(t.children))
}

// Sum returns the report of this node's subtree; the node itself holds generation.
func (t *ReportAggregator) Sum(generation uint64, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	n := map[uint64]int{generation: 1}
	var l []Laggard
	for name, c := range t.children {
		for _, y := range c.report.Tallies {
			n[y.Generation] += y.Nodes
		}
		if c.generation < generation {
			l = append(l, Laggard{Node: name, Generation: c.generation})
		}
		for _, g := range c.report.Laggards {
			if g.Generation < generation {
				l = append(l, g)
			}
		}
	}
	return Report{Tallies: sortTallies(n), Laggards: sortLaggards(l)}
}

func (t *ReportAggregator) expire(now time.Time) {
	for n, c := range t.children {
		if !c.until.IsZero() && now.After(c.until) {
			delete(t.children, n)
		}
	}
}

func sortTallies(nodes map[uint64]int) []Tally {
	l := make([]Tally, 0, len(nodes))
	for g, n := range nodes {
		l = append(l, Tally{Generation: g, Nodes: n})
	}
	slices.SortFunc(l, func(a, b Tally) int { return cmp.Compare(a.Generation, b.Generation) })
	return l
}

func sortLaggards(l []Laggard) []Laggard {
	slices.SortFunc(l, func(a, b Laggard) int { return strings.Compare(a.Node, b.Node) })
	l = slices.Compact(l)
	return l[:min(len(l), maxLaggards)]
}
