package holder

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

func body(name string, n int) *Profile {
	p := router.Profile{Name: name, Description: fmt.Sprint(n)}
	return NewProfile(encoder.HashProfile(p))
}

// offer is a state with the bodies that are offered with it.
type offer struct {
	state  accepter.State
	bodies []*Profile
}

func newOffer(generation uint64, content int, complete bool) offer {
	a, b := body("a", content), body("b", content+1)
	s := accepter.State{Generation: generation}.WithEntries([]accepter.Entry{
		{Profile: "a", Version: 1, Digest: a.Digest},
		{Profile: "b", Version: 1, Digest: b.Digest},
	})
	if !complete {
		return offer{state: s, bodies: []*Profile{a}}
	}
	return offer{state: s, bodies: []*Profile{a, b}}
}

// TestOffersOutOfOrderNeverGoBack checks that the generation in force never decreases
// and never changes its content, whatever the order of offers. Some are offered
// twice, some have other content for the same generation, and some lack a body.
func TestOffersOutOfOrderNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			before := h.Current()
			o := newOffer(
				uint64(rapid.IntRange(1, 6).Draw(t, "generation")),
				rapid.IntRange(0, 2).Draw(t, "content"),
				rapid.Bool().Draw(t, "whole"),
			)
			r, _ := h.Offer(o.state, o.bodies)
			after := h.Current()
			if after.Generation() < before.Generation() {
				t.Fatalf("the generation went back from %d to %d", before.Generation(), after.Generation())
			}
			if r != Applied && after != before {
				t.Fatalf("the outcome is %s, but the snapshot changed", r)
			}
			if after.Generation() == before.Generation() && after != before {
				t.Fatal("one generation had two different contents")
			}
			checkComplete(t, after)
		}
	})
}

// checkComplete fails the test if an entry of the state has no body.
func checkComplete(t *rapid.T, s *Snapshot) {
	if s == nil {
		return
	}
	for _, e := range s.State.Entries {
		if p := s.Profile(e.Profile); p == nil || p.Digest != e.Digest {
			t.Fatalf("profile %s is in force without its body", e.Profile)
		}
	}
}

func TestOfferOutcomes(t *testing.T) {
	tests := []struct {
		name  string
		offer offer
		want  Outcome
	}{
		{"the same state again", newOffer(3, 0, true), Unchanged},
		{"older", newOffer(2, 0, true), Stale},
		{"same generation, other content", newOffer(3, 1, true), Forked},
		{"newer without a body", newOffer(4, 1, false), Rejected},
		{"newer", newOffer(4, 1, true), Applied},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var h Holder
			o := newOffer(3, 0, true)
			if r, err := h.Offer(o.state, o.bodies); r != Applied || err != nil {
				t.Fatal(r, err)
			}
			r, err := h.Offer(c.offer.state, c.offer.bodies)
			if r != c.want || (err != nil) != (c.want == Rejected) {
				t.Errorf("got %s, %v; want %s", r, err, c.want)
			}
		})
	}
}

func TestWaitReturnsNewerGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Holder
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		got := make(chan uint64, 1)
		go func() { got <- h.Wait(ctx, 3).Generation() }()
		for g := range uint64(5) {
			o := newOffer(g, 0, true)
			_, _ = h.Offer(o.state, o.bodies)
			synctest.Wait()
		}
		if g := <-got; g != 4 {
			t.Errorf("got generation %d, want 4", g)
		}
	})
}
