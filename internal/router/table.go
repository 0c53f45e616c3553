package router

import (
	"cmp"
	"slices"
	"strings"
)

// Request holds the properties of a request that routes match on.
type Request struct {
	Host   string
	Path   string
	Method string
	// Header returns the first value of a header, empty if it is absent.
	Header func(name string) string
}

// Table indexes routes by host and path prefix. It is immutable; its zero value
// has no routes.
type Table struct {
	hosts map[string]prefixes
	any   prefixes
}

// prefixes maps a path prefix to its routes, the most specific one first.
type prefixes map[string][]Route

// NewTable compiles the routes of p.
func NewTable(p Profile) Table {
	t := Table{hosts: make(map[string]prefixes), any: make(prefixes)}
	for _, r := range p.Routes {
		t.add(r)
	}
	t.any.sort()
	for _, h := range t.hosts {
		h.sort()
	}
	return t
}

func (t Table) add(r Route) {
	k := trimSlash(r.PathPrefix)
	if len(r.Hosts) == 0 {
		t.any[k] = append(t.any[k], r)
		return
	}
	for _, h := range r.Hosts {
		if t.hosts[h] == nil {
			t.hosts[h] = make(prefixes)
		}
		t.hosts[h][k] = append(t.hosts[h][k], r)
	}
}

func (p prefixes) sort() {
	for _, l := range p {
		slices.SortFunc(l, moreSpecific)
	}
}

// moreSpecific orders routes of one host and prefix: more header conditions
// first, then a list of methods before none, then by name.
func moreSpecific(a, b Route) int {
	return cmp.Or(
		cmp.Compare(len(b.Headers), len(a.Headers)),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		strings.Compare(a.Name, b.Name),
	)
}

// Find returns the route for q. Routes for the exact host take precedence over
// routes for every host, and longer path prefixes over shorter ones.
func (t Table) Find(q Request) (Route, bool) {
	h := strings.ToLower(stripPort(q.Host))
	if r, ok := t.hosts[h].find(q); ok {
		return r, true
	}
	return t.any.find(q)
}

func (p prefixes) find(q Request) (Route, bool) {
	if len(p) == 0 {
		return Route{}, false
	}
	for k := trimSlash(q.Path); ; k = parentPath(k) {
		for i := range p[k] {
			if r := &p[k][i]; r.matches(q) {
				return *r, true
			}
		}
		if k == "" {
			return Route{}, false
		}
	}
}

func (r *Route) matches(q Request) bool {
	if r.BelowPrefix && !strings.HasPrefix(q.Path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
		return false
	}
	for _, h := range r.Headers {
		if q.Header == nil || q.Header(h.Name) != h.Value {
			return false
		}
	}
	return true
}

// Choose returns the destination for draw, a random number in [0, 1).
// Destinations with a weight of 0 are never chosen.
func (r Route) Choose(draw float64) (Destination, bool) {
	s := 0
	for _, d := range r.Destinations {
		s += d.Weight
	}
	n := int(draw * float64(s))
	for _, d := range r.Destinations {
		if n < d.Weight {
			return d, true
		}
		n -= d.Weight
	}
	return Destination{}, false
}

func trimSlash(path string) string {
	return strings.TrimRight(path, "/")
}

func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return ""
	}
	return trimSlash(path[:i])
}

func stripPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
