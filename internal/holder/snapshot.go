// Package holder stores a node's configuration as an immutable snapshot that is
// built completely, verified, and replaced by an atomic pointer swap.
package holder

import (
	"fmt"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/authenticator"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Profile is a verified profile with its digest, and its routes and keys compiled.
type Profile struct {
	router.Profile

	Digest encoder.Digest
	Sealed encoder.HashedProfile
	Table  router.Table
	Keys   authenticator.Keys
}

// NewProfile returns the profile in s with its routes and keys compiled.
func NewProfile(s encoder.HashedProfile) *Profile {
	return &Profile{Profile: s.Profile, Digest: s.Digest, Sealed: s, Table: router.NewTable(s.Profile), Keys: authenticator.NewKeys(s.Profile.Workspaces)}
}

// WorkspaceOf returns the workspace of the key with the digest d, or nil.
func (p *Profile) WorkspaceOf(d router.KeyDigest) *router.Workspace {
	return p.Keys.WorkspaceOf(d)
}

// Snapshot is one generation of the whole configuration. It is immutable; the zero
// value has no profiles.
type Snapshot struct {
	State accepter.State
	// StateDigest identifies the generation and its entries.
	StateDigest encoder.Digest

	profiles map[string]*Profile
}

// NewSnapshot builds the snapshot of s with the bodies in base and offered. A body
// that is in neither is an error, so that a snapshot is never partial.
func NewSnapshot(s accepter.State, base *Snapshot, offered []*Profile) (*Snapshot, error) {
	n := &Snapshot{State: s, StateDigest: s.Digest(), profiles: make(map[string]*Profile)}
	for _, e := range s.Entries {
		if err := n.add(e, base, offered); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (s *Snapshot) add(e accepter.Entry, base *Snapshot, offered []*Profile) error {
	if e.Withdrawn() {
		if _, ok := s.State.Serving(e.Profile); !ok {
			return fmt.Errorf("holder: withdrawn profile %s has no fallback in force", e.Profile)
		}
		return nil
	}
	p := findBody(e, base, offered)
	if p == nil {
		return fmt.Errorf("holder: body %s of profile %s is missing", e.Digest.Short(), e.Profile)
	}
	if p.Name != e.Profile {
		return fmt.Errorf("holder: body %s belongs to profile %s, expected %s", e.Digest.Short(), p.Name, e.Profile)
	}
	s.profiles[e.Profile] = p
	return nil
}

func findBody(e accepter.Entry, base *Snapshot, offered []*Profile) *Profile {
	for _, p := range offered {
		if p.Digest == e.Digest {
			return p
		}
	}
	if p := base.Profile(e.Profile); p != nil && p.Digest == e.Digest {
		return p
	}
	return nil
}

// Generation returns the generation, or 0 for a nil snapshot.
func (s *Snapshot) Generation() uint64 {
	if s == nil {
		return 0
	}
	return s.State.Generation
}

// Profile returns the named profile without following fallbacks, or nil.
func (s *Snapshot) Profile(name string) *Profile {
	if s == nil {
		return nil
	}
	return s.profiles[name]
}

// Serving returns the profile that serves name after following the fallbacks of
// withdrawn profiles, or nil.
func (s *Snapshot) Serving(name string) *Profile {
	if s == nil {
		return nil
	}
	e, ok := s.State.Serving(name)
	if !ok {
		return nil
	}
	return s.profiles[e.Profile]
}
