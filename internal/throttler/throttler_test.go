package throttler

import (
	"math/rand/v2"
	"testing"
	"time"
)

var reading = Kind{Service: "catalog", Class: "reading"}

// fleet is ten entries with callers who make 30 requests a second at each, and
// targets that take perSecond of them, evenly.
type fleet struct {
	entries   [10]Throttler
	throttles bool
	random    *rand.Rand
	now       time.Time
	room      float64
}

func (f *fleet) replay(d time.Duration, perSecond int) (offered, taken int) {
	const rate = 300
	for range int(d.Seconds() * rate) {
		f.now = f.now.Add(time.Second / rate)
		// A few slots may be idle at once.
		f.room = min(f.room+float64(perSecond)/rate, 5)
		e := &f.entries[f.random.IntN(len(f.entries))]
		if _, ok := e.Allow(reading, f.now); !ok && f.throttles {
			continue
		}
		offered++
		if f.room < 1 {
			e.Refuse(reading, 80*time.Millisecond, f.now)
			continue
		}
		f.room--
		taken++
	}
	return offered, taken
}

// TestRefusalsAreFewer replays overloads of 20 s and compares what targets
// refuse with and without the throttler. They serve as much.
func TestRefusalsAreFewer(t *testing.T) {
	tests := []struct {
		name      string
		perSecond int
		// fewer is the least factor between the refusals.
		fewer int
	}{
		{"room for two in three", 200, 2},
		{"room for one in three", 100, 3},
		{"no room", 0, 3},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := fleet{throttles: true, random: rand.New(rand.NewPCG(1, 0))}
			n := fleet{random: rand.New(rand.NewPCG(1, 0))}
			offered, taken := f.replay(20*time.Second, c.perSecond)
			naive, served := n.replay(20*time.Second, c.perSecond)
			t.Logf("%d refused and %d taken, without the throttler %d and %d", offered-taken, taken, naive-served, served)
			if (offered-taken)*c.fewer > naive-served {
				t.Errorf("%d are refused, without the throttler %d", offered-taken, naive-served)
			}
			if taken < served*95/100 {
				t.Errorf("%d are taken, without the throttler %d", taken, served)
			}
		})
	}
}

// TestThrottlingEndsWithTheOverload gives room again after 5 s without any.
func TestThrottlingEndsWithTheOverload(t *testing.T) {
	f := fleet{throttles: true, random: rand.New(rand.NewPCG(1, 0))}
	f.replay(5*time.Second, 0)
	f.replay(maxPause, 600)
	if o, n := f.replay(time.Second, 600); o != n || o != 300 {
		t.Errorf("%d of 300 are offered and %d taken", o, n)
	}
}

func TestKindsArePausedApart(t *testing.T) {
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
