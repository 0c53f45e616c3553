package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// BucketCount is the number of buckets into which a table is divided for
	// comparison with peers.
	BucketCount = 64

	deadRetention = time.Hour
	leftRetention = 10 * time.Minute
	// lostHomeRetention is longer than any window of idempotency keys.
	lostHomeRetention = 25 * time.Hour
)

type row struct {
	member  Member
	hash    uint64
	changed time.Time
}

// table holds the records known to a node. It is not safe for concurrent use.
type table struct {
	rows map[string]row
	// nodes holds the keys of rows in the order of their arrival, so that what depends
	// on the order of the members can be repeated.
	nodes   []string
	byHash  map[uint64]string
	buckets [BucketCount]uint64
	version uint64
	// lostHomes maps a service to the nodes that ceased to be a home for its keys, and
	// when they did.
	lostHomes map[string]map[string]time.Time
}

// get returns the record of node.
func (t *table) get(node string) (Member, bool) {
	r, ok := t.rows[node]
	return r.member, ok
}

// merge stores m if it supersedes the known record, and reports whether it did.
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
		t.toggleDigest(r)
		t.recordLostHomes(r.member, m, now)
	}
	n := row{member: m, hash: h, changed: now}
	if !ok {
		t.nodes = append(t.nodes, m.Node)
	}
	t.rows[m.Node] = n
	t.byHash[h] = m.Node
	t.toggleDigest(n)
	t.version++
	return true
}

// recordLostHomes records the services for which a node ceased to be a home between
// two of its records.
func (t *table) recordLostHomes(before, after Member, now time.Time) {
	for _, s := range before.Homes {
		if !before.canBeHomeOf(s) || after.canBeHomeOf(s) {
			continue
		}
		if t.lostHomes == nil {
			t.lostHomes = make(map[string]map[string]time.Time)
		}
		// Views share the map, so it is copied before the change.
		m := maps.Clone(t.lostHomes[s])
		if m == nil {
			m = make(map[string]time.Time)
		}
		m[before.Node] = now
		t.lostHomes[s] = m
	}
}

// toggleDigest adds a row to its bucket's digest, or removes it if already added.
func (t *table) toggleDigest(r row) {
	d := mix(r.hash ^ mix(r.member.Incarnation<<2|uint64(r.member.Condition)))
	t.buckets[r.hash%BucketCount] ^= d
}

// digest returns a digest of the whole table.
func (t *table) digest() uint64 {
	var d uint64
	for i, b := range t.buckets {
		d ^= mix(b + uint64(i))
	}
	return d
}

// differing returns buckets whose digests are not the given ones, in the given order: at
// least one, and more while they hold no more than maxSummaries records together.
func (t *table) differing(digests []uint64, order []int) []uint32 {
	var size [BucketCount]int
	for _, r := range t.rows {
		size[r.hash%BucketCount]++
	}
	var l []uint32
	total := 0
	for _, i := range order {
		if digests[i] == t.buckets[i] || (len(l) > 0 && total+size[i] > maxSummaries) {
			continue
		}
		total += size[i]
		l = append(l, uint32(i))
	}
	return l
}

// inBuckets returns the records of the given buckets.
func (t *table) inBuckets(buckets []uint32) []Member {
	var wanted [BucketCount]bool
	for _, b := range buckets {
		wanted[b%BucketCount] = true
	}
	var l []Member
	for _, n := range t.nodes {
		if r := t.rows[n]; wanted[r.hash%BucketCount] {
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

// purge removes records of dead and left members, and lost homes, after their
// retention time.
func (t *table) purge(now time.Time) {
	t.nodes = slices.DeleteFunc(t.nodes, func(n string) bool {
		r := t.rows[n]
		a := now.Sub(r.changed)
		gone := r.member.Condition == Dead && a > deadRetention
		left := r.member.Status == Left && a > leftRetention
		if gone || left {
			t.toggleDigest(r)
			delete(t.rows, n)
			delete(t.byHash, r.hash)
			t.version++
		}
		return gone || left
	})
	for s, m := range t.lostHomes {
		t.lostHomes[s] = recent(m, now.Add(-lostHomeRetention))
	}
}

// recent returns m without the entries before since. It copies m if it has any.
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
