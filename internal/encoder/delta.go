package encoder

import (
	"fmt"
	"reflect"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Delta is the difference between two versions of a profile.
type Delta struct {
	// Description is the new description.
	Description     string
	Services        []router.Service
	Routes          []router.Route
	RemovedServices []string
	RemovedRoutes   []string
}

type deltaJSON struct {
	Description     string        `json:"description,omitempty"`
	Services        []serviceJSON `json:"services,omitempty"`
	Routes          []routeJSON   `json:"routes,omitempty"`
	RemovedServices []string      `json:"removed_services,omitempty"`
	RemovedRoutes   []string      `json:"removed_routes,omitempty"`
}

// Diff returns what turns base into target, which have the same name.
func Diff(base, target router.Profile) Delta {
	d := Delta{Description: target.Description}
	for _, s := range target.Services {
		if o, ok := base.Service(s.Name); !ok || o != s {
			d.Services = append(d.Services, s)
		}
	}
	for _, t := range target.Routes {
		if o, ok := base.Route(t.Name); !ok || !reflect.DeepEqual(o, t) {
			d.Routes = append(d.Routes, t)
		}
	}
	for _, s := range base.Services {
		if _, ok := target.Service(s.Name); !ok {
			d.RemovedServices = append(d.RemovedServices, s.Name)
		}
	}
	for _, t := range base.Routes {
		if _, ok := target.Route(t.Name); !ok {
			d.RemovedRoutes = append(d.RemovedRoutes, t.Name)
		}
	}
	return d
}

// Apply returns base changed by d. The result is not checked.
func Apply(base router.Profile, d Delta) router.Profile {
	p := base.WithDescription(d.Description)
	for _, n := range d.RemovedRoutes {
		p = p.WithoutRoute(n)
	}
	for _, n := range d.RemovedServices {
		p = p.WithoutService(n)
	}
	for _, s := range d.Services {
		p = p.WithService(s)
	}
	for _, t := range d.Routes {
		p = p.WithRoute(t)
	}
	return p
}

// EncodeDelta returns the JSON form of d.
func EncodeDelta(d Delta) []byte {
	j := deltaJSON{
		Description:     d.Description,
		RemovedServices: d.RemovedServices,
		RemovedRoutes:   d.RemovedRoutes,
	}
	for _, s := range d.Services {
		j.Services = append(j.Services, writeService(s))
	}
	for _, t := range d.Routes {
		j.Routes = append(j.Routes, writeRoute(t))
	}
	return mustMarshal(j)
}

// DecodeDelta reads a delta. Its parts are checked for type and range; what
// they refer to is checked once the delta has been applied.
func DecodeDelta(data []byte) (Delta, error) {
	o, r := parser.Document(data)
	d := Delta{
		Description:     o.Text("description"),
		RemovedServices: o.Texts("removed_services", "a service name", nil),
		RemovedRoutes:   o.Texts("removed_routes", "a route name", nil),
	}
	for _, s := range o.Objects("services") {
		d.Services = append(d.Services, readService(s))
	}
	for _, t := range o.Objects("routes") {
		d.Routes = append(d.Routes, readRoute(t))
	}
	o.Close()
	return d, r.Problems().Err()
}

// Patch applies an encoded delta to base and returns the checked profile,
// provided that its digest is want.
func Patch(base router.Profile, delta []byte, want Digest) (router.Profile, error) {
	d, err := DecodeDelta(delta)
	if err != nil {
		return router.Profile{}, fmt.Errorf("encoder: delta: %w", err)
	}
	return Verify(EncodeProfile(Apply(base, d)), want)
}

// Verify reads a canonical body and returns the checked profile, provided
// that its digest is want.
func Verify(body []byte, want Digest) (router.Profile, error) {
	if g := DigestOf(body); g != want {
		return router.Profile{}, fmt.Errorf("encoder: body has digest %s, expected %s", g.Short(), want.Short())
	}
	p, err := DecodeProfile(body)
	if err != nil {
		return router.Profile{}, fmt.Errorf("encoder: body: %w", err)
	}
	return p, nil
}
