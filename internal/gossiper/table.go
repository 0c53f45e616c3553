package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// BucketCount is the number of parts of a table that peers compare.
	BucketCount = 64

	deadRetention = time.Hour
	leftRetention = 10 * time.Minute
	// lostRetention is longer than any window of idempotency keys.
	lostRetention = 25 * time.Hour
)

type row struct {
	member  Member
	hash    uint64
	changed time.Time
}

// table holds the records that a node knows. It does no locking.
type table struct {
	rows    map[string]row
	byHash  map[uint64]string
	buckets [BucketCount]uint64
	version uint64
	// lost notes when nodes ceased to be home to a service's keys.
	lost map[string]map[string]time.Time
}

// get returns the record of node.
func (t *table) get(node string) (Member, bool) {
	r, ok := t.rows[node]
	return r.member, ok
}

// merge takes m in if it supersedes what is known, and reports whether it did.
func (t *table) merge(m Member, now time.Time) bool {
	r, ok := t.rows[m.Node]
	if ok && !m.supersedes(r.member) {
		return false
	}
	if t.rows == nil {
		t.rows = make(map[string]row)
		t.byHash = make(map[uint64]string)
	}
	h := HashNode(m.Node)
	if ok {
		t.toggle(r)
		t.noteLosses(r.member, m, now)
	}
	n := row{member: m, hash: h, changed: now}
	t.rows[m.Node] = n
	t.byHash[h] = m.Node
	t.toggle(n)
	t.version++
	return true
}

// noteLosses compares two records of one node.
func (t *table) noteLosses(before, after Member, now time.Time) {
	for _, s := range before.Homes {
		if !before.homeOf(s) || after.homeOf(s) {
			continue
		}
		if t.lost == nil {
			t.lost = make(map[string]map[string]time.Time)
		}
		// The map is copied, because views share it.
		m := maps.Clone(t.lost[s])
		if m == nil {
			m = make(map[string]time.Time)
		}
		m[before.Node] = now
		t.lost[s] = m
	}
}

// toggle adds a row to its bucket's digest, or takes it out again.
func (t *table) toggle(r row) {
	d := mix(r.hash ^ mix(r.member.Incarnation<<2|uint64(r.member.Condition)))
	t.buckets[r.hash%BucketCount] ^= d
}

// digest identifies the whole table.
func (t *table) digest() uint64 {
	var d uint64
	for i, b := range t.buckets {
		d ^= mix(b + uint64(i))
	}
	return d
}

// inBuckets returns the records of the given buckets.
func (t *table) inBuckets(buckets []uint32) []Member {
	var wanted [BucketCount]bool
	for _, b := range buckets {
		wanted[b%BucketCount] = true
	}
	var l []Member
	for _, r := range t.rows {
		if wanted[r.hash%BucketCount] {
			l = append(l, r.member)
		}
	}
	return l
}

// members returns every record, sorted by node.
func (t *table) members() []Member {
	l := make([]Member, 0, len(t.rows))
	for _, r := range t.rows {
		l = append(l, r.member)
	}
	slices.SortFunc(l, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return l
}

// forget drops records of members that have been gone for long.
func (t *table) forget(now time.Time) {
	for n, r := range t.rows {
		a := now.Sub(r.changed)
		gone := r.member.Condition == Dead && a > deadRetention
		left := r.member.Status == Left && a > leftRetention
		if gone || left {
			t.toggle(r)
			delete(t.rows, n)
			delete(t.byHash, r.hash)
			t.version++
		}
	}
	for s, m := range t.lost {
		t.lost[s] = recent(m, now.Add(-lostRetention))
	}
}

// recent returns m itself, or a copy without what is older than since.
func recent(m map[string]time.Time, since time.Time) map[string]time.Time {
	old := func(_ string, t time.Time) bool { return t.Before(since) }
	for n, t := range m {
		if old(n, t) {
			c := maps.Clone(m)
			maps.DeleteFunc(c, old)
			return c
		}
	}
	return m
}
