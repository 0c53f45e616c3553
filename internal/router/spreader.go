package router

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// WeightedBalancer distributes the requests of each route between its destinations by
// smooth weighted round robin. Unlike random choice, this keeps the shares close
// to the weights over short periods too. Its zero value is ready to use.
type WeightedBalancer struct {
	mu     sync.Mutex
	routes map[string]*routeBalance
}

// routeBalance tracks how many requests each destination is behind its share.
type routeBalance struct {
	destinations []Destination
	behind       []float64
}

// Choose returns the destination that is furthest behind its share. Destinations
// with a weight of 0 are never chosen.
func (s *WeightedBalancer) Choose(r Route) (Destination, bool) {
	if len(r.Destinations) == 1 {
		return r.Destinations[0], r.Destinations[0].Weight > 0
	}
	sum := 0
	for _, d := range r.Destinations {
		sum += d.Weight
	}
	if sum == 0 {
		return Destination{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.balance(r)
	best := -1
	for i, d := range p.destinations {
		p.behind[i] += float64(d.Weight) / float64(sum)
		if d.Weight > 0 && (best < 0 || p.behind[i] > p.behind[best]) {
			best = i
		}
	}
	p.behind[best]--
	return p.destinations[best], true
}

func (s *WeightedBalancer) balance(r Route) *routeBalance {
	p, ok := s.routes[r.Name]
	if ok && slices.Equal(p.destinations, r.Destinations) {
		return p
	}
	if s.routes == nil {
		s.routes = make(map[string]*routeBalance)
	}
	p = &routeBalance{destinations: r.Destinations, behind: make([]float64, len(r.Destinations))}
	// Nodes that start together must not all choose the same destination first.
	for i := range p.behind {
		p.behind[i] = rand.Float64()
	}
	s.routes[r.Name] = p
	return p
}
