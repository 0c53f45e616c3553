package accepter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

// applyRandomOperations applies n random operations to s.
func applyRandomOperations(t *rapid.T, s State, n int, label string) State {
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

// TestMergeKeepsOperationsOfBothBranches guards against losing accepted
// operations when a history forks. That happens when the store is rolled back
// to older data and then accepts other operations.
func TestMergeKeepsOperationsOfBothBranches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := applyRandomOperations(t, State{}, rapid.IntRange(0, 5).Draw(t, "base"), "base")
		held := applyRandomOperations(t, base, rapid.IntRange(1, 5).Draw(t, "held"), "held")
		stored := applyRandomOperations(t, base, rapid.IntRange(0, 8).Draw(t, "stored"), "stored")
		if stored.CanSucceed(held) {
			t.Fatal("a forked history was reported as a successor")
		}
		m := Merge(held, stored)
		for _, o := range append(held.Operations, stored.Operations...) {
			if _, ok := m.Operation(o.ID); !ok {
				t.Fatalf("operation %s is missing after the merge", o.ID)
			}
		}
		if len(stored.Operations) > len(base.Operations) && (m.Generation <= held.Generation || m.Generation <= stored.Generation) {
			t.Fatalf("generation %d is not above %d and %d", m.Generation, held.Generation, stored.Generation)
		}
		if !m.CanSucceed(held) {
			t.Fatal("nodes of the held branch would refuse the merged state")
		}
		if len(stored.Operations) > len(base.Operations) && !m.CanSucceed(stored) {
			t.Fatal("nodes of the stored branch would refuse the merged state")
		}
		for _, e := range held.Entries {
			if _, ok := m.Entry(e.Profile); !ok {
				t.Fatalf("profile %s is missing after the merge", e.Profile)
			}
		}
	})
}

func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := applyRandomOperations(t, State{}, rapid.IntRange(0, HistoryLength+8).Draw(t, "operations"), "op")
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
		wantErr  bool
	}{
		{"fallback in force", "a", "b", false},
		{"profile not in force", "c", "b", true},
		{"fallback not in force", "a", "c", true},
		{"fallback to itself", "a", "a", true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			u, err := s.Change(Operation{ID: "w", Kind: Withdraw, Profile: c.profile, Fallback: c.fallback})
			if (err != nil) != c.wantErr {
				t.Fatalf("got %v", err)
			}
			if c.wantErr {
				return
			}
			if e, ok := u.Serving(c.profile); !ok || e.Profile != c.fallback {
				t.Errorf("%s is served by %q", c.profile, e.Profile)
			}
			if _, err := u.Change(Operation{ID: "x", Kind: Withdraw, Profile: c.fallback, Fallback: c.profile}); err == nil {
				t.Error("two profiles could be withdrawn with each other as the fallback")
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
			t.Errorf("a decoded state changes when it is encoded and decoded again: %v", err)
		}
	})
}
