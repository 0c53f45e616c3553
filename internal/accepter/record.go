package accepter

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

// JSON forms of the stored records.
type (
	stateJSON struct {
		Generation uint64          `json:"generation"`
		Entries    []entryJSON     `json:"entries"`
		Operations []operationJSON `json:"operations,omitempty"`
	}
	entryJSON struct {
		Profile  string `json:"profile"`
		Version  uint64 `json:"version,omitempty"`
		Digest   string `json:"digest,omitempty"`
		Fallback string `json:"fallback,omitempty"`
	}
	operationJSON struct {
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Profile    string    `json:"profile"`
		Version    uint64    `json:"version,omitempty"`
		Digest     string    `json:"digest,omitempty"`
		Fallback   string    `json:"fallback,omitempty"`
		Operator   string    `json:"operator,omitempty"`
		Generation uint64    `json:"generation"`
		AcceptedAt time.Time `json:"accepted_at"`
	}
	catalogJSON struct {
		Profile  string        `json:"profile"`
		Versions []versionJSON `json:"versions"`
	}
	versionJSON struct {
		Number      uint64    `json:"number"`
		Digest      string    `json:"digest"`
		Operation   string    `json:"operation"`
		Operator    string    `json:"operator,omitempty"`
		PublishedAt time.Time `json:"published_at"`
	}
)

// Digest identifies the generation and entries of s. It excludes the history,
// so that nodes that keep a shorter history compute the same digest.
func (s State) Digest() encoder.Digest {
	j := stateToJSON(s)
	j.Operations = nil
	return sha256.Sum256(mustMarshal(j))
}

// EncodeState returns the stored JSON form of s.
func EncodeState(s State) []byte {
	return mustMarshal(stateToJSON(s))
}

// DecodeState parses the stored JSON form of a state.
func DecodeState(data []byte) (State, error) {
	var j stateJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return State{}, fmt.Errorf("accepter: state: %w", err)
	}
	s := State{Generation: j.Generation}
	l := make([]Entry, 0, len(j.Entries))
	for _, e := range j.Entries {
		d, err := parseDigest(e.Digest)
		if err != nil {
			return State{}, fmt.Errorf("accepter: state: entry %s: %w", e.Profile, err)
		}
		l = append(l, Entry{Profile: e.Profile, Version: e.Version, Digest: d, Fallback: e.Fallback})
	}
	for _, o := range j.Operations {
		r, err := operationFromJSON(o)
		if err != nil {
			return State{}, err
		}
		s.Operations = append(s.Operations, r)
	}
	return s.WithEntries(l), nil
}

// EncodeCatalog returns the stored JSON form of c.
func EncodeCatalog(c Catalog) []byte {
	j := catalogJSON{Profile: c.Profile, Versions: make([]versionJSON, 0, len(c.Versions))}
	for _, v := range c.Versions {
		j.Versions = append(j.Versions, versionJSON{
			Number:      v.Number,
			Digest:      v.Digest.String(),
			Operation:   v.Operation,
			Operator:    v.Operator,
			PublishedAt: v.PublishedAt,
		})
	}
	return mustMarshal(j)
}

// DecodeCatalog parses the stored JSON form of a catalog.
func DecodeCatalog(data []byte) (Catalog, error) {
	var j catalogJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return Catalog{}, fmt.Errorf("accepter: catalog: %w", err)
	}
	c := Catalog{Profile: j.Profile}
	for _, v := range j.Versions {
		d, err := encoder.ParseDigest(v.Digest)
		if err != nil {
			return Catalog{}, fmt.Errorf("accepter: catalog: version %d: %w", v.Number, err)
		}
		c.Versions = append(c.Versions, Version{
			Number:      v.Number,
			Digest:      d,
			Operation:   v.Operation,
			Operator:    v.Operator,
			PublishedAt: v.PublishedAt,
		})
	}
	return c, nil
}

func stateToJSON(s State) stateJSON {
	j := stateJSON{Generation: s.Generation, Entries: make([]entryJSON, 0, len(s.Entries))}
	for _, e := range s.Entries {
		j.Entries = append(j.Entries, entryJSON{
			Profile:  e.Profile,
			Version:  e.Version,
			Digest:   formatDigest(e.Digest),
			Fallback: e.Fallback,
		})
	}
	for _, o := range s.Operations {
		j.Operations = append(j.Operations, operationJSON{
			ID:         o.ID,
			Kind:       string(o.Kind),
			Profile:    o.Profile,
			Version:    o.Version,
			Digest:     formatDigest(o.Digest),
			Fallback:   o.Fallback,
			Operator:   o.Operator,
			Generation: o.Generation,
			AcceptedAt: o.AcceptedAt,
		})
	}
	return j
}

func operationFromJSON(j operationJSON) (Operation, error) {
	d, err := parseDigest(j.Digest)
	if err != nil {
		return Operation{}, fmt.Errorf("accepter: state: operation %s: %w", j.ID, err)
	}
	return Operation{
		ID:         j.ID,
		Kind:       Kind(j.Kind),
		Profile:    j.Profile,
		Version:    j.Version,
		Digest:     d,
		Fallback:   j.Fallback,
		Operator:   j.Operator,
		Generation: j.Generation,
		AcceptedAt: j.AcceptedAt,
	}, nil
}

func formatDigest(d encoder.Digest) string {
	if d.IsZero() {
		return ""
	}
	return d.String()
}

func parseDigest(s string) (encoder.Digest, error) {
	if s == "" {
		return encoder.Digest{}, nil
	}
	return encoder.ParseDigest(s)
}

// mustMarshal encodes one of this package's JSON forms, which cannot fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("accepter: %v", err))
	}
	return b
}
