package router

import (
	"bytes"
	"slices"
	"strings"
)

// rankSpan is the number of route priorities within one priority of a workspace.
const rankSpan = 1 << 10

// KeyDigest is the SHA-256 of an API key. Profiles hold no keys.
type KeyDigest [32]byte

// Workspace is a customer whose requests carry one of its API keys.
type Workspace struct {
	Name string
	// KeyDigests lists the digests of the keys in force.
	KeyDigests []KeyDigest
	// Priority ranks workspaces; 0 is the highest priority. It takes precedence over
	// the priority of routes.
	Priority int
	// Rate limits the requests per second of all nodes together, beyond bursts of Burst;
	// zero means no limit.
	Rate  float64
	Burst float64
}

// Rank returns the priority of a request by those of its workspace and its route; 0 is
// the highest.
func Rank(workspace, route int) int {
	return workspace*rankSpan + min(route, rankSpan-1)
}

// Workspace returns the named workspace.
func (p Profile) Workspace(name string) (Workspace, bool) {
	i, ok := slices.BinarySearchFunc(p.Workspaces, name, compareWorkspace)
	if !ok {
		return Workspace{}, false
	}
	return p.Workspaces[i], true
}

// WithWorkspace returns the profile with w added or replaced.
func (p Profile) WithWorkspace(w Workspace) Profile {
	i, ok := slices.BinarySearchFunc(p.Workspaces, w.Name, compareWorkspace)
	p.Workspaces = put(p.Workspaces, i, ok, w.sorted())
	return p
}

// WithoutWorkspace returns the profile without the named workspace.
func (p Profile) WithoutWorkspace(name string) Profile {
	i, ok := slices.BinarySearchFunc(p.Workspaces, name, compareWorkspace)
	p.Workspaces = remove(p.Workspaces, i, ok)
	return p
}

// sorted returns the workspace with its keys in order.
func (w Workspace) sorted() Workspace {
	w.KeyDigests = slices.Clone(w.KeyDigests)
	slices.SortFunc(w.KeyDigests, func(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	return w
}

func sortWorkspaces(list []Workspace) []Workspace {
	l := slices.Clone(list)
	for i := range l {
		l[i] = l[i].sorted()
	}
	slices.SortFunc(l, func(a, b Workspace) int { return strings.Compare(a.Name, b.Name) })
	return l
}

func compareWorkspace(w Workspace, name string) int {
	return strings.Compare(w.Name, name)
}
