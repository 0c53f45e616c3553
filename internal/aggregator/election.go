package aggregator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	// lostRetention is how long a member that was lost without leaving still counts as
	// known: it may be on the other side of a partition, and serve requests there.
	lostRetention = 30 * time.Second
	// maxMisses is the number of reports in a row that a hub may leave unanswered, and
	// passOverTime is how long it is passed over then.
	maxMisses    = 3
	passOverTime = 2 * time.Second
	// passOverMemory is how long a node that was passed over, and has not answered since,
	// is passed over again after one miss. Retries thus cost one round and not three.
	passOverMemory = 30 * time.Second
	// startSpread is the difference in incarnation, milliseconds at first, within which
	// nodes count as started together. A node that joins later takes no place from those:
	// each new root begins without knowledge.
	startSpread = 5000
)

// lostMember is a member that was lost, and when that was noticed.
type lostMember struct {
	dataCenter string
	at         time.Time
}

// electorate holds what decides who the hubs and the root are.
type electorate struct {
	self       string
	dataCenter string
	view       *gossiper.View
	// addresses holds the peer addresses of the usable members.
	addresses map[string]string
	// lost holds the members that were lost without leaving.
	lost map[string]lostMember
	// silent maps nodes to the time until which they are passed over. Nodes that answer
	// are removed.
	silent map[string]time.Time
}

// update takes a new view.
func (e *electorate) update(v *gossiper.View, now time.Time) {
	if v == nil || v == e.view {
		return
	}
	e.view = v
	e.addresses = make(map[string]string, len(v.Members))
	lost := make(map[string]lostMember)
	for _, m := range v.Members {
		if m.Node == e.self {
			e.dataCenter = m.DataCenter
		}
		switch {
		case m.Usable():
			e.addresses[m.Node] = m.PeerAddress
		case m.Status != gossiper.Left:
			l, ok := e.lost[m.Node]
			if !ok {
				l = lostMember{dataCenter: m.DataCenter, at: now}
			}
			lost[m.Node] = l
		}
	}
	e.lost = lost
}

// hub returns the hub of this node's data centre.
func (e *electorate) hub(now time.Time) string {
	if e.view == nil {
		return e.self
	}
	if m, ok := e.first(e.dataCenter, now); ok {
		return m.Node
	}
	return e.self
}

// root returns the hub with the smallest hash, of those that have started together with the
// oldest hub.
func (e *electorate) root(now time.Time) string {
	if e.view == nil {
		return e.self
	}
	var l []gossiper.Member
	for _, d := range e.view.DataCenters() {
		if m, ok := e.first(d, now); ok {
			l = append(l, m)
		}
	}
	if len(l) == 0 {
		return e.self
	}
	slices.SortFunc(l, func(a, b gossiper.Member) int {
		return cmp.Compare(gossiper.HashNode(a.Node), gossiper.HashNode(b.Node))
	})
	return l[slices.IndexFunc(l, startedWith(l))].Node
}

// first returns the member of a data centre with the smallest hash that is not passed
// over, of those that have started together with the oldest one.
func (e *electorate) first(dataCenter string, now time.Time) (gossiper.Member, bool) {
	l := e.view.DataCenter(dataCenter)
	if len(l) == 0 {
		return gossiper.Member{}, false
	}
	heard := func(m gossiper.Member) bool { return m.Node == e.self || !now.Before(e.silent[m.Node]) }
	old := startedWith(l)
	for _, f := range []func(gossiper.Member) bool{
		func(m gossiper.Member) bool { return heard(m) && old(m) }, heard, old,
	} {
		if i := slices.IndexFunc(l, f); i >= 0 {
			return l[i], true
		}
	}
	return l[0], true
}

// startedWith returns whether a member has started together with the oldest one of list.
// Incarnations are compared as they are told, so that all nodes agree.
func startedWith(list []gossiper.Member) func(gossiper.Member) bool {
	var oldest uint64 = math.MaxUint64
	for _, m := range list {
		oldest = min(oldest, m.Incarnation)
	}
	return func(m gossiper.Member) bool { return m.Incarnation-oldest <= startSpread }
}

// passOver makes others take the place of a node for a while.
func (e *electorate) passOver(node string, now time.Time) {
	if e.silent == nil {
		e.silent = make(map[string]time.Time)
	}
	for n, t := range e.silent {
		if now.Sub(t) > passOverMemory {
			delete(e.silent, n)
		}
	}
	e.silent[node] = now.Add(passOverTime)
}

// patience returns the number of misses after which a node is passed over.
func (e *electorate) patience(node string, now time.Time) int {
	if t, ok := e.silent[node]; ok && now.Sub(t) <= passOverMemory {
		return 1
	}
	return maxMisses
}

// known returns the number of members that are alive or were lost recently, of one data
// centre or, if it is empty, of all.
func (e *electorate) known(dataCenter string, now time.Time) int {
	if e.view == nil {
		return 1
	}
	n := len(e.addresses)
	if dataCenter != "" {
		n = len(e.view.DataCenter(dataCenter))
	}
	for _, l := range e.lost {
		if now.Sub(l.at) < lostRetention && (dataCenter == "" || l.dataCenter == dataCenter) {
			n++
		}
	}
	return max(n, 1)
}
