// Package syncer carries configuration from node to node: every node pulls
// from a parent in a tree of bounded fan-out whose roots are the relays.
package syncer

import (
	"math/rand/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	alternateParents = 3
	foreignParents   = 2
)

// Parents returns the members that node may pull from, the best one first.
//
// The usable members of the data centre stand in hash order. Relays are the
// roots; the others are numbered, and number i hangs below a relay for the
// first relays*fanOut numbers, and below number (i-relays*fanOut)/fanOut after
// that. A parent that is not a relay always has a smaller hash than its child,
// whatever either knows of the mesh, so that no cycle can form. Behind the
// first choice follow random members of smaller hash, the relays, and a few
// members of other data centres.
func Parents(v *gossiper.View, self gossiper.Member, fanOut int, r *rand.Rand) []gossiper.Member {
	var roots, inner []gossiper.Member
	h := gossiper.HashNode(self.Node)
	for _, m := range v.DataCenter(self.DataCenter) {
		switch {
		case m.Node == self.Node || m.Status != gossiper.Serving:
		case m.Relay:
			roots = append(roots, m)
		case gossiper.HashNode(m.Node) < h:
			inner = append(inner, m)
		}
	}
	var p []gossiper.Member
	if m, ok := first(roots, inner, fanOut); ok {
		p = append(p, m)
	}
	p = append(p, sample(inner, alternateParents, r)...)
	p = append(p, sample(roots, len(roots), r)...)
	return distinct(append(p, foreign(v, self, r)...))
}

// first returns the parent of number len(inner), which is this node's.
func first(roots, inner []gossiper.Member, fanOut int) (gossiper.Member, bool) {
	i := len(inner)
	if i < len(roots)*fanOut {
		return roots[i%len(roots)], true
	}
	if j := (i - len(roots)*fanOut) / fanOut; j < len(inner) {
		return inner[j], true
	}
	return gossiper.Member{}, false
}

// foreign draws members of other data centres, relays before others.
func foreign(v *gossiper.View, self gossiper.Member, r *rand.Rand) []gossiper.Member {
	var roots, others []gossiper.Member
	for _, d := range v.DataCenters() {
		if d == self.DataCenter {
			continue
		}
		for _, m := range v.DataCenter(d) {
			if m.Relay {
				roots = append(roots, m)
			} else {
				others = append(others, m)
			}
		}
	}
	return append(sample(roots, foreignParents, r), sample(others, foreignParents, r)...)
}

// sample draws up to n members without changing list.
func sample(list []gossiper.Member, n int, r *rand.Rand) []gossiper.Member {
	var l []gossiper.Member
	for _, i := range r.Perm(len(list)) {
		if len(l) == n {
			break
		}
		l = append(l, list[i])
	}
	return l
}

func distinct(list []gossiper.Member) []gossiper.Member {
	var l []gossiper.Member
	seen := make(map[string]bool)
	for _, m := range list {
		if !seen[m.Node] {
			seen[m.Node] = true
			l = append(l, m)
		}
	}
	return l
}
