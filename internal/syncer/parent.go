// Package syncer distributes the configuration between nodes: every node pulls
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

// CandidateParents returns the members that self may pull from, the best one first.
//
// The serving members of the data centre are sorted by hash. Relays are the
// roots; the other members are numbered. The parent of member i is a relay for
// the first relays*fanOut numbers, and member (i-relays*fanOut)/fanOut after
// that. A parent that is not a relay always has a smaller hash than its child,
// even if their views of the mesh differ, so that no cycle can form. The first
// choice is followed by random members with a smaller hash, the relays, and a few
// members of other data centres.
func CandidateParents(v *gossiper.View, self gossiper.Member, fanOut int, r *rand.Rand) []gossiper.Member {
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
	if m, ok := preferredParent(roots, inner, fanOut); ok {
		p = append(p, m)
	}
	p = append(p, sample(inner, alternateParents, r)...)
	p = append(p, sample(roots, len(roots), r)...)
	return distinct(append(p, otherDataCenterMembers(v, self, r)...))
}

// preferredParent returns the parent of this node, whose number is len(inner).
func preferredParent(roots, inner []gossiper.Member, fanOut int) (gossiper.Member, bool) {
	i := len(inner)
	if i < len(roots)*fanOut {
		return roots[i%len(roots)], true
	}
	if j := (i - len(roots)*fanOut) / fanOut; j < len(inner) {
		return inner[j], true
	}
	return gossiper.Member{}, false
}

// otherDataCenterMembers returns random members of other data centres, relays first.
func otherDataCenterMembers(v *gossiper.View, self gossiper.Member, r *rand.Rand) []gossiper.Member {
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

// sample returns up to n random members of list, which it does not change.
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
