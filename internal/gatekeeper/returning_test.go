package gatekeeper

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

// returningLoad describes callers that come back once after a refusal. Their objective
// counts from the first attempt.
type returningLoad struct {
	// load is the arrival rate as a multiple of what the target can run.
	load float64
	// slowdown multiplies all durations, as at a target that has just started.
	slowdown float64
	lasts    time.Duration
}

// outcomes counts callers by what became of their request.
type outcomes struct {
	mu                           sync.Mutex
	onTime, late, unserved, held int
}

func (o *outcomes) add(n *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*n++
}

// play sends l to one target with slots.
func (l returningLoad) play(t *testing.T, slots int, seed uint64) *outcomes {
	t.Helper()
	const (
		mean      = 160 * time.Millisecond
		variation = 0.6
		objective = 400 * time.Millisecond
		patience  = 800 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 0))
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	gate := newWarmGate(slots, 4*slots)
	var o outcomes
	var done sync.WaitGroup
	period := time.Duration(float64(mean) * l.slowdown / float64(slots) / l.load)
	for end := time.Now().Add(l.lasts); time.Now().Before(end); time.Sleep(time.Duration(float64(period) * r.ExpFloat64())) {
		d := time.Duration(l.slowdown * float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
		u := r.Float64()
		done.Go(func() {
			first := time.Now()
			for attempt := range 2 {
				asked := time.Now()
				ctx, cancel := context.WithDeadline(t.Context(), first.Add(patience))
				p, err := gate.Enter(ctx, Ticket{Class: "read", Objective: first.Add(objective), Deadline: first.Add(patience)})
				cancel()
				if err != nil {
					if time.Since(asked) > objective/8 {
						o.add(&o.held)
					}
					if attempt == 0 {
						w, _ := classifier.WaitOf(err)
						w = max(w, 50*time.Millisecond)
						time.Sleep(w + time.Duration(u*float64(w)))
					}
					continue
				}
				time.Sleep(d)
				p.Leave(Answered)
				if time.Since(first) <= objective {
					o.add(&o.onTime)
				} else {
					o.add(&o.late)
				}
				return
			}
			o.add(&o.unserved)
		})
	}
	done.Wait()
	return &o
}

// TestOverloadWithReturningCallers replays overloads at a target whose durations vary.
// At one that has just started and takes twice as long, 90% of the durations do not fit
// in the objective. Requests that can still be in time must go before those that have
// waited too long for that.
func TestOverloadWithReturningCallers(t *testing.T) {
	tests := []struct {
		name string
		load returningLoad
		// onTime is the share of what the target can run that must be in time.
		onTime float64
	}{
		{"nearly full", returningLoad{load: 0.95, slowdown: 1, lasts: 20 * time.Second}, 0.92},
		{"overload", returningLoad{load: 1.3, slowdown: 1, lasts: 20 * time.Second}, 0.90},
		{"overload of a cold target", returningLoad{load: 1.5, slowdown: 2, lasts: 10 * time.Second}, 0.55},
	}
	const slots, seeds = 18, 8
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var sum outcomes
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					o := c.load.play(t, slots, seed)
					sum.onTime += o.onTime
					sum.late += o.late
					sum.unserved += o.unserved
					sum.held += o.held
				})
			}
			n := float64(sum.onTime + sum.late + sum.unserved)
			share := float64(sum.onTime) / n * max(c.load.load, 1)
			t.Logf("of %.0f callers %d on time, %d late, %d unserved; %d held in vain; %.3f of the capacity on time",
				n, sum.onTime, sum.late, sum.unserved, sum.held, share)
			if share < c.onTime {
				t.Errorf("%.3f of what the target can run was on time, expected %.2f", share, c.onTime)
			}
		})
	}
}
