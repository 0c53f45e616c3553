package encoder

import (
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Delta is the difference between two versions of a profile.
type Delta struct {
	// Description is the new description.
	Description       string
	Services          []router.Service
	Routes            []router.Route
	RemovedServices   []string
	RemovedRoutes     []string
	Workspaces        []router.Workspace
	RemovedWorkspaces []string
	// ClientLimits are the new limits for callers.
	ClientLimits router.ClientLimits
}

// Len returns the number of entries that the delta touches.
func (d Delta) Len() int {
	return len(d.Services) + len(d.Routes) + len(d.RemovedServices) + len(d.RemovedRoutes) +
		len(d.Workspaces) + len(d.RemovedWorkspaces)
}

type deltaJSON struct {
	Description       string            `json:"description,omitempty"`
	Services          []serviceJSON     `json:"services,omitempty"`
	Routes            []routeJSON       `json:"routes,omitempty"`
	RemovedServices   []string          `json:"removed_services,omitempty"`
	RemovedRoutes     []string          `json:"removed_routes,omitempty"`
	Workspaces        []workspaceJSON   `json:"workspaces,omitempty"`
	RemovedWorkspaces []string          `json:"removed_workspaces,omitempty"`
	ClientLimits      *clientLimitsJSON `json:"client_limits,omitempty"`
}

// EncodeDelta returns the JSON form of d.
func EncodeDelta(d Delta) []byte {
	j := deltaJSON{
		Description:       d.Description,
		RemovedServices:   d.RemovedServices,
		RemovedRoutes:     d.RemovedRoutes,
		RemovedWorkspaces: d.RemovedWorkspaces,
		ClientLimits:      clientLimitsToJSON(d.ClientLimits),
	}
	for _, s := range d.Services {
		j.Services = append(j.Services, serviceToJSON(s))
	}
	for _, t := range d.Routes {
		j.Routes = append(j.Routes, routeToJSON(t))
	}
	for _, w := range d.Workspaces {
		j.Workspaces = append(j.Workspaces, workspaceToJSON(w))
	}
	return mustMarshal(j)
}

// DecodeDelta parses a delta and checks the types and ranges of its fields. The
// references between them are checked once the delta has been applied.
func DecodeDelta(data []byte) (Delta, error) {
	o, r := parser.Document(data)
	d := Delta{
		Description:       o.Text("description"),
		RemovedServices:   o.Texts("removed_services", "a service name", nil),
		RemovedRoutes:     o.Texts("removed_routes", "a route name", nil),
		RemovedWorkspaces: o.Texts("removed_workspaces", "a workspace name", nil),
		ClientLimits:      clientLimitsFromObject(o),
	}
	for _, s := range o.Objects("services") {
		d.Services = append(d.Services, serviceFromObject(s))
	}
	for _, t := range o.Objects("routes") {
		d.Routes = append(d.Routes, routeFromObject(t))
	}
	for _, w := range o.Objects("workspaces") {
		d.Workspaces = append(d.Workspaces, workspaceFromObject(w))
	}
	o.Close()
	return d, r.Problems().Err()
}
