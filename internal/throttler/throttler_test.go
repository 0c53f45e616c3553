package throttler

import (
	"math/rand/v2"
	"testing"
	"time"
)

var reading = Kind{Service: "catalog", Class: "reading"}

// fleet simulates ten entries that receive 30 requests per second each, and
// targets that serve a fixed number of requests per second.
type fleet struct {
	entries   [10]Throttler
	throttled bool
	random    *rand.Rand
	now       time.Time
	freeSlots float64
}

func (f *fleet) simulate(d time.Duration, perSecond int) (offered, served int) {
	const rate = 300
	for range int(d.Seconds() * rate) {
		f.now = f.now.Add(time.Second / rate)
		// Cap the number of slots that can be idle at the same time.
		f.freeSlots = min(f.freeSlots+float64(perSecond)/rate, 5)
		e := &f.entries[f.random.IntN(len(f.entries))]
		if _, ok := e.Allow(reading, f.now); !ok && f.throttled {
			continue
		}
		offered++
		if f.freeSlots < 1 {
			e.Refuse(reading, 80*time.Millisecond, f.now)
			continue
		}
		f.freeSlots--
		served++
	}
	return offered, served
}

// TestThrottlerReducesRefusals simulates 20 s of overload with and without the
// throttler. Targets must refuse fewer requests and serve about as many.
func TestThrottlerReducesRefusals(t *testing.T) {
	tests := []struct {
		name      string
		perSecond int
		// minReduction is the minimum factor by which refusals must drop.
		minReduction int
	}{
		{"capacity for two thirds", 200, 2},
		{"capacity for one third", 100, 3},
		{"no capacity", 0, 3},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := fleet{throttled: true, random: rand.New(rand.NewPCG(1, 0))}
			n := fleet{random: rand.New(rand.NewPCG(1, 0))}
			offered, served := f.simulate(20*time.Second, c.perSecond)
			unthrottledOffered, unthrottledServed := n.simulate(20*time.Second, c.perSecond)
			t.Logf("%d refused and %d served, without the throttler %d and %d", offered-served, served, unthrottledOffered-unthrottledServed, unthrottledServed)
			if (offered-served)*c.minReduction > unthrottledOffered-unthrottledServed {
				t.Errorf("%d were refused, without the throttler %d", offered-served, unthrottledOffered-unthrottledServed)
			}
			if served < unthrottledServed*95/100 {
				t.Errorf("%d were served, without the throttler %d", served, unthrottledServed)
			}
		})
	}
}

// TestThrottlingEndsAfterOverload simulates 5 s without capacity. Once capacity is
// back, every request must be offered and served after maxPause.
func TestThrottlingEndsAfterOverload(t *testing.T) {
	f := fleet{throttled: true, random: rand.New(rand.NewPCG(1, 0))}
	f.simulate(5*time.Second, 0)
	f.simulate(maxPause, 600)
	if o, n := f.simulate(time.Second, 600); o != n || o != 300 {
		t.Errorf("%d of 300 were offered and %d served", o, n)
	}
}

func TestKindsArePausedSeparately(t *testing.T) {
	var h Throttler
	now := time.Unix(1_800_000_000, 0)
	h.Refuse(reading, time.Second, now)
	if w, ok := h.Allow(reading, now.Add(maxPause/2)); ok || w != maxPause/2 {
		t.Errorf("allowed %v, wait %s", ok, w)
	}
	for _, k := range []Kind{{Service: "catalog", Class: "booking"}, {Service: "ledger", Class: "reading"}, {Service: "catalog", Class: "reading", Returning: true}} {
		if _, ok := h.Allow(k, now); !ok {
			t.Errorf("%v is paused too", k)
		}
	}
}
