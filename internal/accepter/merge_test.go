package accepter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

// grow applies n drawn operations to s.
func grow(t *rapid.T, s State, n int, label string) State {
	for range n {
		s = s.WithOperation(Operation{
			ID:      fmt.Sprintf("%s-%d-%d", label, s.Generation, rapid.Uint64().Draw(t, "id")),
			Kind:    Promote,
			Profile: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "profile"),
			Version: rapid.Uint64Range(1, 9).Draw(t, "version"),
			Digest:  encoder.Digest{byte(s.Generation), byte(len(label))},
		})
	}
	return s
}

// TestMergeKeepsWhatBothSidesAccepted forks a history, as a store does that
// goes back to older data, and merges the branches.
func TestMergeKeepsWhatBothSidesAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := grow(t, State{}, rapid.IntRange(0, 5).Draw(t, "base"), "base")
		held := grow(t, base, rapid.IntRange(1, 5).Draw(t, "held"), "held")
		stored := grow(t, base, rapid.IntRange(0, 8).Draw(t, "stored"), "stored")
		if stored.Follows(held) {
			t.Fatal("a forked history was taken for a later one")
		}
		m := Merge(held, stored)
		for _, o := range append(held.Operations, stored.Operations...) {
			if _, ok := m.Operation(o.ID); !ok {
				t.Fatalf("operation %s is lost", o.ID)
			}
		}
		if len(stored.Operations) > len(base.Operations) && (m.Generation <= held.Generation || m.Generation <= stored.Generation) {
			t.Fatalf("generation %d is not above %d and %d", m.Generation, held.Generation, stored.Generation)
		}
		if !m.Follows(held) {
			t.Fatal("nodes of the held branch would refuse the merged state")
		}
		if len(stored.Operations) > len(base.Operations) && !m.Follows(stored) {
			t.Fatal("nodes of the stored branch would refuse the merged state")
		}
		for _, e := range held.Entries {
			if _, ok := m.Entry(e.Profile); !ok {
				t.Fatalf("profile %s is lost", e.Profile)
			}
		}
	})
}

func TestStateSurvivesItsRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := grow(t, State{}, rapid.IntRange(0, HistoryLength+8).Draw(t, "operations"), "op")
		d, err := DecodeState(EncodeState(s))
		if err != nil || d.Digest() != s.Digest() || len(d.Operations) != len(s.Operations) {
			t.Fatalf("got %+v, %v; want %+v", d, err, s)
		}
	})
}

func TestWithdraw(t *testing.T) {
	s := State{}
	for _, p := range []string{"a", "b"} {
		s, _ = s.Change(Operation{ID: p, Kind: Promote, Profile: p, Version: 1, Digest: encoder.Digest{1}})
	}
	tests := []struct {
		name     string
		profile  string
		fallback string
		refused  bool
	}{
		{"in favour of another", "a", "b", false},
		{"not in force", "c", "b", true},
		{"in favour of nothing", "a", "c", true},
		{"in favour of itself", "a", "a", true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			u, err := s.Change(Operation{ID: "w", Kind: Withdraw, Profile: c.profile, Fallback: c.fallback})
			if (err != nil) != c.refused {
				t.Fatalf("got %v", err)
			}
			if c.refused {
				return
			}
			if e, ok := u.Serving(c.profile); !ok || e.Profile != c.fallback {
				t.Errorf("%s is served by %q", c.profile, e.Profile)
			}
			if _, err := u.Change(Operation{ID: "x", Kind: Withdraw, Profile: c.fallback, Fallback: c.profile}); err == nil {
				t.Error("both profiles were withdrawn in favour of each other")
			}
		})
	}
}

func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"generation":1,"entries":[{"profile":"a","digest":"00"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		if d, err := DecodeState(EncodeState(s)); err != nil || d.Digest() != s.Digest() {
			t.Errorf("a state does not survive its record: %v", err)
		}
	})
}
