package retrier

import (
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

func TestAllowed(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Number: 1, Verdict: judge.NotRun, Replayable: true}, true},
		{"may have run", Attempt{Number: 1, Replayable: true}, false},
		{"may have run, idempotent", Attempt{Number: 1, Idempotent: true, Replayable: true}, true},
		{"body not replayable", Attempt{Number: 1, Verdict: judge.NotRun}, false},
		{"response started", Attempt{Number: 1, Idempotent: true, Replayable: true, Started: true}, false},
		{"last attempt", Attempt{Number: 3, Verdict: judge.NotRun, Replayable: true}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if g := c.attempt.Allowed(3); g != c.want {
				t.Errorf("got %v", g)
			}
		})
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	s := router.Service{Name: "fihris", Retry: router.RetryPolicy{BudgetPercent: 20}}
	const calls = 1000
	n := 0
	for range calls {
		b.Deposit(s, 1)
		for range 3 {
			if b.Withdraw(s, 1) {
				n++
			}
		}
	}
	if limit := calls*20/100 + maxCredit + 1; float64(n) > limit {
		t.Errorf("%d retries for %d calls, at most %g", n, calls, limit)
	}
	if b.Withdraw(router.Service{Name: "none"}, 1) {
		t.Error("a service without a budget was retried")
	}
}

func TestReservedRetriesCanBeRefunded(t *testing.T) {
	b := Budget{Percent: 20, Slack: 40}
	s := router.Service{Name: "fihris", Retry: router.RetryPolicy{BudgetPercent: 20}}
	const nodes = 10
	n := 0
	for b.Reserve(s.Name, nodes) {
		n++
	}
	if n == 0 || float64(n) > 40*fleetBoundShare/nodes {
		t.Fatalf("%d retries reserved", n)
	}
	if b.Reserve(s.Name, nodes) {
		t.Error("a reservation succeeded below minReserveCredit")
	}
	for range 2 * n {
		b.Refund(s.Name, nodes)
	}
	if c := b.credit(s.Name, nodes); c > b.creditLimit(nodes) {
		t.Errorf("credit after refunds is %g, limit %g", c, b.creditLimit(nodes))
	}
}
