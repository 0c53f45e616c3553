package gatekeeper

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// admitter is a policy of admission under comparison.
type admitter interface {
	// enter returns what gives a slot back, or false when the request is not run.
	enter(ctx context.Context, k Ticket) (func(), bool)
}

type gated struct{ *Gate }

func (g gated) enter(ctx context.Context, k Ticket) (func(), bool) {
	p, err := g.Enter(ctx, k)
	if err != nil {
		return nil, false
	}
	return func() { p.Leave(Answered) }, true
}

// unbounded is the naive policy: first come, first served, and nobody is refused.
type unbounded struct{ slots chan struct{} }

func (u unbounded) enter(ctx context.Context, _ Ticket) (func(), bool) {
	select {
	case u.slots <- struct{}{}:
		return func() { <-u.slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// outcome counts what callers got.
type outcome struct{ timely, served, heldInVain atomic.Int64 }

// replay sends requests to one target of four slots, half as many again as it
// can run, for 20 s. Each takes about 100 ms, as work draws it, is due after
// 400 ms, and its caller leaves after a second.
func replay(t *testing.T, a admitter, work func() time.Duration) *outcome {
	t.Helper()
	const (
		period    = 100 * time.Millisecond / 6
		requests  = int(20 * time.Second / period)
		objective = 400 * time.Millisecond
		patience  = time.Second
	)
	var o outcome
	for range requests {
		d := work()
		go func() {
			now := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			leave, ok := a.enter(ctx, Ticket{Class: "read", Objective: now.Add(objective), Deadline: now.Add(patience)})
			if !ok {
				if time.Since(now) > objective/8 {
					o.heldInVain.Add(1)
				}
				return
			}
			time.Sleep(d)
			leave()
			switch d := time.Since(now); {
			case d <= objective:
				o.timely.Add(1)
				o.served.Add(1)
			case d <= patience:
				o.served.Add(1)
			}
		}()
		time.Sleep(period)
	}
	time.Sleep(2 * patience)
	return &o
}

const meanWork = 100 * time.Millisecond

func steady() time.Duration { return meanWork }

// scattered draws durations as targets' scatter: log-normal, with a coefficient
// of variation of one half.
func scattered(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 0))
	sigma := math.Sqrt(math.Log(1.25))
	return func() time.Duration {
		return time.Duration(float64(meanWork) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
	}
}

// TestScatteredOverload replays the overload with durations that scatter. Slots
// that go to requests which will probably be late are lost to those that would
// not.
func TestScatteredOverload(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			const slots, capacity = 4, 800
			g := replay(t, gated{warm(slots, 24)}, scattered(seed))
			t.Logf("seed %d: %d timely, %d served, %d held in vain", seed, g.timely.Load(), g.served.Load(), g.heldInVain.Load())
			if g.heldInVain.Load() > capacity/20 {
				t.Errorf("seed %d: the gate held %d requests that it refused later", seed, g.heldInVain.Load())
			}
			if g.timely.Load() < capacity*85/100 {
				t.Errorf("seed %d: the gate answered %d in time and %d at all, of %d that the target can run", seed, g.timely.Load(), g.served.Load(), capacity)
			}
		})
	}
}

// TestLongOverload compares the gate with the naive policy. The target can run
// 800 requests in the time.
func TestLongOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, capacity = 4, 800
		n := replay(t, unbounded{slots: make(chan struct{}, slots)}, steady)
		g := replay(t, gated{warm(slots, 24)}, steady)
		t.Logf("naive: %d timely, %d served, %d held in vain; gate: %d, %d, %d",
			n.timely.Load(), n.served.Load(), n.heldInVain.Load(), g.timely.Load(), g.served.Load(), g.heldInVain.Load())
		if g.timely.Load() < capacity*9/10 {
			t.Errorf("the gate answered %d in time, expected nine tenths of %d", g.timely.Load(), capacity)
		}
		if n.timely.Load() > g.timely.Load()/2 {
			t.Errorf("the naive policy answered %d in time: the replay is no overload", n.timely.Load())
		}
		if g.heldInVain.Load() > capacity/10 {
			t.Errorf("the gate held %d requests that it refused later", g.heldInVain.Load())
		}
	})
}
