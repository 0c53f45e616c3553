package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Endpoint is a target with the member that acts as its gate.
type Endpoint struct {
	Target

	Node        string
	PeerAddress string
	DataCenter  string
	Incarnation uint64
}

// View is an immutable snapshot of the mesh as known to one node.
type View struct {
	// Members is sorted by node.
	Members []Member
	// Version is the version of the table; it increases with every change.
	Version uint64

	services    map[string][]Endpoint
	dataCenters map[string][]Member
	homes       map[string][]Member
	lostHomes   map[string]map[string]time.Time
}

func newView(t *table) *View {
	v := &View{
		Members:     t.members(),
		Version:     t.version,
		services:    make(map[string][]Endpoint),
		dataCenters: make(map[string][]Member),
		homes:       make(map[string][]Member),
		lostHomes:   maps.Clone(t.lostHomes),
	}
	for _, m := range v.Members {
		if m.Usable() {
			v.add(m)
		}
	}
	for _, l := range v.dataCenters {
		slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(t.rows[a.Node].hash, t.rows[b.Node].hash) })
	}
	return v
}

func (v *View) add(m Member) {
	v.dataCenters[m.DataCenter] = append(v.dataCenters[m.DataCenter], m)
	if m.Status != Serving {
		return
	}
	for _, s := range m.Homes {
		v.homes[s] = append(v.homes[s], m)
	}
	for _, t := range m.Targets {
		if t.Draining {
			continue
		}
		v.services[t.Service] = append(v.services[t.Service], Endpoint{
			Target:      t,
			Node:        m.Node,
			PeerAddress: m.PeerAddress,
			DataCenter:  m.DataCenter,
			Incarnation: m.Incarnation,
		})
	}
}

// Service returns the targets of a service that accept new requests.
func (v *View) Service(name string) []Endpoint {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// Services returns the names of the services with targets that accept new requests.
func (v *View) Services() []string {
	if v == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(v.services))
}

// Homes returns the nodes that can be the home of keys of a service.
func (v *View) Homes(service string) []Member {
	if v == nil {
		return nil
	}
	return v.homes[service]
}

// LostHomes returns the nodes that ceased to be a home for keys of a service, with
// the time at which they did.
func (v *View) LostHomes(service string) map[string]time.Time {
	return v.lostHomes[service]
}

// DataCenter returns the usable members of a data centre in hash order.
func (v *View) DataCenter(name string) []Member {
	if v == nil {
		return nil
	}
	return v.dataCenters[name]
}

// DataCenters returns the names of the data centres with usable members.
func (v *View) DataCenters() []string {
	l := make([]string, 0, len(v.dataCenters))
	for n := range v.dataCenters {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// Usable returns the number of usable members.
func (v *View) Usable() int {
	n := 0
	for _, l := range v.dataCenters {
		n += len(l)
	}
	return n
}

// NewView returns a view of the given members.
func NewView(members []Member) *View {
	var t table
	for _, m := range members {
		t.merge(m, time.Time{})
	}
	return newView(&t)
}
