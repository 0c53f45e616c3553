package encoder

import (
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

// digestForm is the version of the digest's input format. It is part of the input,
// so that another format never gives the same digest.
const digestForm = "dragonflydoor profile 1"

// HashedProfile is a profile with the digests of its services, routes and workspaces,
// from which its own digest is computed. After a change, only what has changed is
// hashed again. It is immutable.
type HashedProfile struct {
	Profile router.Profile
	Digest  Digest

	// services, routes and workspaces are in the order of the profile's lists.
	services   []Digest
	routes     []Digest
	workspaces []Digest
}

// HashProfile computes the digests of p.
func HashProfile(p router.Profile) HashedProfile {
	s := HashedProfile{
		Profile:  p,
		services: make([]Digest, 0, len(p.Services)),
		routes:   make([]Digest, 0, len(p.Routes)),
	}
	for _, v := range p.Services {
		s.services = append(s.services, digestService(v))
	}
	for _, r := range p.Routes {
		s.routes = append(s.routes, digestRoute(r))
	}
	for _, w := range p.Workspaces {
		s.workspaces = append(s.workspaces, digestWorkspace(w))
	}
	return s.withDigest()
}

func (s HashedProfile) withDigest() HashedProfile {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%q\n%q\n%d %d\n", digestForm, s.Profile.Name, s.Profile.Description, len(s.services), len(s.routes))
	writeDigests(h, s.services)
	writeDigests(h, s.routes)
	// Profiles without workspaces keep the digests that they had before there were any.
	if len(s.workspaces) > 0 {
		_, _ = fmt.Fprintf(h, "\nworkspaces %d\n", len(s.workspaces))
		writeDigests(h, s.workspaces)
	}
	writeClientLimits(h, s.Profile.ClientLimits)
	h.Sum(s.Digest[:0])
	return s
}

func writeDigests(w io.Writer, l []Digest) {
	for i := range l {
		_, _ = w.Write(l[i][:])
	}
}

func digestService(s router.Service) Digest {
	return sha256.Sum256(mustMarshal(serviceToJSON(s)))
}

func digestRoute(r router.Route) Digest {
	return sha256.Sum256(mustMarshal(routeToJSON(r)))
}

// DecodeVerified parses and validates a canonical body. It returns an error if the
// profile's digest is not want.
func DecodeVerified(body []byte, want Digest) (HashedProfile, error) {
	p, err := DecodeProfile(body)
	if err != nil {
		return HashedProfile{}, fmt.Errorf("encoder: body: %w", err)
	}
	return HashProfile(p).requireDigest(want)
}

func (s HashedProfile) requireDigest(want Digest) (HashedProfile, error) {
	if s.Digest != want {
		return HashedProfile{}, fmt.Errorf("encoder: profile has digest %s, expected %s", s.Digest.Short(), want.Short())
	}
	return s, nil
}

// Patch applies an encoded delta and validates the resulting profile. It returns
// an error if the profile's digest is not want.
func (s HashedProfile) Patch(delta []byte, want Digest) (HashedProfile, error) {
	d, err := DecodeDelta(delta)
	if err != nil {
		return HashedProfile{}, fmt.Errorf("encoder: delta: %w", err)
	}
	n, err := s.apply(d).requireDigest(want)
	if err != nil {
		return HashedProfile{}, err
	}
	r := &parser.Report{}
	validator.CheckProfile(n.Profile, r)
	if err := r.Problems().Err(); err != nil {
		return HashedProfile{}, fmt.Errorf("encoder: patched profile: %w", err)
	}
	return n, nil
}

// apply returns s with d applied, without validation.
func (s HashedProfile) apply(d Delta) HashedProfile {
	n := HashedProfile{Profile: s.Profile.WithDescription(d.Description).WithClientLimits(d.ClientLimits)}
	n.Profile.Services, n.services = merge(s.Profile.Services, s.services, d.Services, d.RemovedServices, serviceName, digestService)
	n.Profile.Routes, n.routes = merge(s.Profile.Routes, s.routes, d.Routes, d.RemovedRoutes, routeName, digestRoute)
	n.Profile.Workspaces, n.workspaces = merge(s.Profile.Workspaces, s.workspaces, d.Workspaces, d.RemovedWorkspaces, workspaceName, digestWorkspace)
	return n.withDigest()
}

func serviceName(s router.Service) string { return s.Name }

func routeName(r router.Route) string { return r.Name }

// merge returns the sorted list base with the changed entries replaced or added
// and the removed entries left out, and the digests of its entries.
func merge[T any](base []T, digests []Digest, changed []T, removed []string, name func(T) string, digest func(T) Digest) ([]T, []Digest) {
	drop := make(map[string]bool)
	for _, n := range removed {
		drop[n] = true
	}
	c := slices.Clone(changed)
	slices.SortFunc(c, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	l := make([]T, 0, len(base)+len(c))
	g := make([]Digest, 0, len(base)+len(c))
	add := func(v T, d Digest) {
		l = append(l, v)
		g = append(g, d)
	}
	for i, v := range base {
		for len(c) > 0 && name(c[0]) < name(v) {
			add(c[0], digest(c[0]))
			c = c[1:]
		}
		switch {
		case len(c) > 0 && name(c[0]) == name(v):
			add(c[0], digest(c[0]))
			c = c[1:]
		case !drop[name(v)]:
			add(v, digests[i])
		}
	}
	for _, v := range c {
		add(v, digest(v))
	}
	return l, g
}

// Diff returns the delta from base to target, which must have the same name.
func Diff(base, target HashedProfile) Delta {
	d := Delta{Description: target.Profile.Description, ClientLimits: target.Profile.ClientLimits}
	d.Services, d.RemovedServices = compare(base.Profile.Services, base.services, target.Profile.Services, target.services, serviceName)
	d.Routes, d.RemovedRoutes = compare(base.Profile.Routes, base.routes, target.Profile.Routes, target.routes, routeName)
	d.Workspaces, d.RemovedWorkspaces = compare(base.Profile.Workspaces, base.workspaces, target.Profile.Workspaces, target.workspaces, workspaceName)
	return d
}

// compare returns the entries of target that are new or differ from base, and the
// names of the entries of base that target lacks. Both lists are sorted by name.
func compare[T any](base []T, baseDigests []Digest, target []T, targetDigests []Digest, name func(T) string) (changed []T, removed []string) {
	i := 0
	for j, v := range target {
		for i < len(base) && name(base[i]) < name(v) {
			removed = append(removed, name(base[i]))
			i++
		}
		same := i < len(base) && name(base[i]) == name(v)
		if !same || baseDigests[i] != targetDigests[j] {
			changed = append(changed, v)
		}
		if same {
			i++
		}
	}
	for ; i < len(base); i++ {
		removed = append(removed, name(base[i]))
	}
	return changed, removed
}
