package admitter

import (
	"cmp"
	"slices"
)

// floorShare is the share of the overall service that each kind keeps: no kind may be
// served less than a quarter as often as all.
const floorShare = 0.25

// demand is what the requests of one kind need of a scarce resource.
type demand struct {
	key key
	// loss is the expected loss of a rejected request per unit of the resource.
	loss float64
	// work is the amount that all of them ask for.
	work float64
}

// shed distributes the rejection of excess among the demands and returns the share of
// each to reject. The requests of a route with one rank keep
// floorShare of the overall service. Less urgent kinds give way first, and among equally urgent ones those
// that lose least per unit of the resource.
func shed(demands []demand, excess float64) map[key]float64 {
	total := 0.0
	for _, d := range demands {
		total += d.work
	}
	if total <= 0 || excess <= 0 {
		return nil
	}
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.key.rank, a.key.rank), cmp.Compare(a.loss, b.loss))
	})
	floor := floorShare * max(1-excess/total, 0)
	spare := make(map[key]float64)
	for _, d := range demands {
		spare[d.key.group()] += d.work * (1 - floor)
	}
	r := make(map[key]float64)
	for _, d := range demands {
		x := min(excess, d.work, spare[d.key.group()])
		if x <= 0 {
			continue
		}
		r[d.key] = x / d.work
		excess -= x
		spare[d.key.group()] -= x
	}
	return r
}

// group returns the key of all requests with the route and rank of k.
func (k key) group() key { return key{route: k.route, rank: k.rank} }

// fairShare distributes the rejection of a share of the requests among workspaces by
// their demand per weight: those above the fair level give way first. It returns the
// share to reject of the demand of workspace w.
func fairShare(demands map[string]float64, w string, share float64) float64 {
	if len(demands) < 2 || demands[w] <= 0 {
		return share
	}
	total := 0.0
	l := make([]float64, 0, len(demands))
	for _, d := range demands {
		total += d
		l = append(l, d)
	}
	slices.Sort(l)
	room := (1 - share) * total
	level := l[len(l)-1]
	for i, d := range l {
		n := float64(len(l) - i)
		if d*n >= room {
			level = room / n
			break
		}
		room -= d
	}
	return min(max(1-level/demands[w], 0), 1-floorShare*(1-share))
}
