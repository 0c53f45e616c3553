package forwarder

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// TestSlotTimesByUse holds slots for as long as the requests of each use take.
func TestSlotTimesByUse(t *testing.T) {
	const objective = 100 * time.Millisecond
	tests := []struct {
		name      string
		objective time.Duration
		took      time.Duration
		result    gatekeeper.Result
		want      SlotUse
	}{
		{"in time", objective, objective, gatekeeper.Answered, UsedTimely},
		{"late", objective, 2 * objective, gatekeeper.Answered, UsedLate},
		{"no objective", 0, 2 * objective, gatekeeper.Answered, UsedTimely},
		{"failed by the target", objective, 2 * objective, gatekeeper.Failed, UsedFailed},
		{"the caller left", objective, 2 * objective, gatekeeper.Abandoned, UsedAbandoned},
		{"whole stream", objective, objective, streamResult(io.EOF), UsedTimely},
		{"broken stream", objective, objective, streamResult(io.ErrUnexpectedEOF), UsedFailed},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g Gate
				k := gatekeeper.New(router.Limits{Slots: 1, Queue: 1}, time.Time{})
				q := gatekeeper.Ticket{Deadline: time.Now().Add(time.Second)}
				if c.objective > 0 {
					q.Objective = time.Now().Add(c.objective)
				}
				p, err := k.Enter(t.Context(), q)
				if err != nil {
					t.Fatal(err)
				}
				s := &heldSlot{pass: p, usage: &g.usage, objective: q.Objective, since: time.Now()}
				time.Sleep(c.took)
				s.release(c.result, c.result)
				s.release(gatekeeper.Abandoned, gatekeeper.Abandoned)
				n := 0
				for u, d := range g.SlotTimes {
					n++
					if u != c.want || d != c.took {
						t.Errorf("%s for %s, expected %s for %s", d, u, c.took, c.want)
					}
				}
				if n != 1 || k.Running() != 0 {
					t.Errorf("%d uses and %d running, expected 1 and 0", n, k.Running())
				}
			})
		})
	}
}

// TestRefusalsAfterAWaitAreCounted counts only refusals of requests that have not run and
// were held for more than an eighth of their objective.
func TestRefusalsAfterAWaitAreCounted(t *testing.T) {
	const objective = 400 * time.Millisecond
	tests := []struct {
		name            string
		verdict         classifier.Verdict
		wait, objective time.Duration
		want            uint64
	}{
		{"at once", classifier.NotRun, time.Millisecond, objective, 0},
		{"after an eighth", classifier.NotRun, objective/heldDivisor + 1, objective, 1},
		{"without an objective", classifier.NotRun, time.Second, 0, 0},
		{"may have run", classifier.MayHaveRun, time.Second, objective, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var s Stats
			s.refused(Refusal{Verdict: c.verdict}, c.wait, c.objective)
			if n := s.HeldInVain.Load(); n != c.want {
				t.Errorf("%d counted, expected %d", n, c.want)
			}
		})
	}
}
