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

// admissionPolicy is an admission policy under comparison.
type admissionPolicy interface {
	// enter returns a function that releases the slot, or false if the request
	// is not run.
	enter(ctx context.Context, k Ticket) (func(), bool)
}

type gatePolicy struct{ *Gate }

func (g gatePolicy) enter(ctx context.Context, k Ticket) (func(), bool) {
	p, err := g.Enter(ctx, k)
	if err != nil {
		return nil, false
	}
	return func() { p.Leave(Answered) }, true
}

// fifoPolicy serves requests in order of arrival and refuses none.
type fifoPolicy struct{ slots chan struct{} }

func (u fifoPolicy) enter(ctx context.Context, _ Ticket) (func(), bool) {
	select {
	case u.slots <- struct{}{}:
		return func() { <-u.slots }, true
	case <-ctx.Done():
		return nil, false
	}
}

// callCounts counts the results seen by callers.
type callCounts struct{ onTime, served, refusedLate atomic.Int64 }

// simulateOverload sends 1.5 times the requests that one target with four slots
// can run, for 20 s. Each takes about 100 ms, as drawn by nextDuration, has an
// objective of 400 ms, and its caller gives up after 1 s.
func simulateOverload(t *testing.T, a admissionPolicy, nextDuration func() time.Duration) *callCounts {
	t.Helper()
	const (
		period        = 100 * time.Millisecond / 6
		requests      = int(20 * time.Second / period)
		objective     = 400 * time.Millisecond
		callerTimeout = time.Second
	)
	var o callCounts
	for range requests {
		d := nextDuration()
		go func() {
			now := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			leave, ok := a.enter(ctx, Ticket{Class: "read", Objective: now.Add(objective), Deadline: now.Add(callerTimeout)})
			if !ok {
				if time.Since(now) > objective/8 {
					o.refusedLate.Add(1)
				}
				return
			}
			time.Sleep(d)
			leave()
			switch d := time.Since(now); {
			case d <= objective:
				o.onTime.Add(1)
				o.served.Add(1)
			case d <= callerTimeout:
				o.served.Add(1)
			}
		}()
		time.Sleep(period)
	}
	time.Sleep(2 * callerTimeout)
	return &o
}

const meanDuration = 100 * time.Millisecond

func constantDuration() time.Duration { return meanDuration }

// lognormalDuration draws log-normal durations with a coefficient of variation
// of 0.5, like those of real targets.
func lognormalDuration(seed uint64) func() time.Duration {
	r := rand.New(rand.NewPCG(seed, 0))
	sigma := math.Sqrt(math.Log(1.25))
	return func() time.Duration {
		return time.Duration(float64(meanDuration) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
	}
}

// TestOverloadWithVariableDurations simulates overload with durations that
// vary. Slots given to requests that will probably be late are lost to requests
// that would be on time.
func TestOverloadWithVariableDurations(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			const slots, capacity = 4, 800
			g := simulateOverload(t, gatePolicy{newWarmGate(slots, 24)}, lognormalDuration(seed))
			t.Logf("seed %d: %d on time, %d served, %d refused late", seed, g.onTime.Load(), g.served.Load(), g.refusedLate.Load())
			if g.refusedLate.Load() > capacity/20 {
				t.Errorf("seed %d: the gate queued %d requests that it refused later", seed, g.refusedLate.Load())
			}
			if g.onTime.Load() < capacity*85/100 {
				t.Errorf("seed %d: %d answered on time and %d in total, of %d that the target can run", seed, g.onTime.Load(), g.served.Load(), capacity)
			}
		})
	}
}

// TestOverloadComparedWithFIFO compares the gate with fifoPolicy. The target
// can run 800 requests in the simulated time.
func TestOverloadComparedWithFIFO(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, capacity = 4, 800
		n := simulateOverload(t, fifoPolicy{slots: make(chan struct{}, slots)}, constantDuration)
		g := simulateOverload(t, gatePolicy{newWarmGate(slots, 24)}, constantDuration)
		t.Logf("FIFO: %d on time, %d served, %d refused late; gate: %d, %d, %d",
			n.onTime.Load(), n.served.Load(), n.refusedLate.Load(), g.onTime.Load(), g.served.Load(), g.refusedLate.Load())
		if g.onTime.Load() < capacity*9/10 {
			t.Errorf("the gate answered %d on time, want at least nine tenths of %d", g.onTime.Load(), capacity)
		}
		if n.onTime.Load() > g.onTime.Load()/2 {
			t.Errorf("the FIFO policy answered %d on time: the simulation is not an overload", n.onTime.Load())
		}
		if g.refusedLate.Load() > capacity/10 {
			t.Errorf("the gate queued %d requests that it refused later", g.refusedLate.Load())
		}
	})
}
