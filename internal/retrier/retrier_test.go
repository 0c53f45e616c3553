package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

func TestAllowed(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Number: 1, Verdict: classifier.NotRun, Replayable: true}, true},
		{"may have run", Attempt{Number: 1, Replayable: true}, false},
		{"may have run, idempotent", Attempt{Number: 1, Idempotent: true, Replayable: true}, true},
		{"body not replayable", Attempt{Number: 1, Verdict: classifier.NotRun}, false},
		{"response started", Attempt{Number: 1, Idempotent: true, Replayable: true, Started: true}, false},
		{"last attempt", Attempt{Number: 3, Verdict: classifier.NotRun, Replayable: true}, false},
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
	now := time.Unix(1_800_000_000, 0)
	n := 0
	for range calls {
		b.Deposit(s, 1)
		for range 3 {
			if b.Withdraw(s, LastChance, 1, now) {
				n++
			}
		}
	}
	if limit := calls*20/100 + maxCredit + 1; float64(n) > limit {
		t.Errorf("%d retries for %d calls, at most %g", n, calls, limit)
	}
	if b.Withdraw(router.Service{Name: "none"}, LastChance, 1, now) {
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

// TestScarceCreditGoesToLastChances replays targets that reject half of what they are
// sent, whatever their load. Half of the calls are made by targets on behalf of others
// and get no second chance; the callers of the rest come back once by themselves.
// More calls must succeed in the end than if all of them compete for the credit.
func TestScarceCreditGoesToLastChances(t *testing.T) {
	const calls = 20_000
	s := router.Service{Name: "ledger", Retry: router.RetryPolicy{BudgetPercent: 20}}
	play := func(chance func(nested, again bool) Chance) (succeeded, retries int) {
		b := Budget{Percent: 20, Slack: 64}
		r := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1_800_000_000, 0)
		try := func(nested, again bool) bool {
			b.Deposit(s, 14)
			for range 3 {
				if r.IntN(2) == 0 {
					return true
				}
				if !b.Withdraw(s, chance(nested, again), 14, now) {
					return false
				}
				retries++
			}
			return false
		}
		for i := range calls {
			now = now.Add(15 * time.Millisecond)
			nested := i%2 == 0
			if try(nested, false) || !nested && try(false, true) {
				succeeded++
			}
		}
		return succeeded, retries
	}
	n, k := play(func(nested, again bool) Chance {
		if nested || again {
			return LastChance
		}
		return CallerRetries
	})
	equal, _ := play(func(bool, bool) Chance { return LastChance })
	t.Logf("%d of %d calls succeed with %d retries, %d if all compete", n, calls, k, equal)
	if n < equal+calls/100 {
		t.Errorf("%d of %d calls succeed, %d if all compete for the credit", n, calls, equal)
	}
}

func TestCreditIsNotScarceWithoutDenials(t *testing.T) {
	b := Budget{Percent: 20, Slack: 64}
	s := router.Service{Name: "ledger", Retry: router.RetryPolicy{BudgetPercent: 20}}
	now := time.Unix(1_800_000_000, 0)
	if !b.Withdraw(s, CallerRetries, 14, now) {
		t.Error("a first attempt got no credit although there is some")
	}
	for b.Withdraw(s, LastChance, 14, now) {
		now = now.Add(time.Millisecond)
	}
	for range 20 {
		b.Deposit(s, 14)
	}
	if b.Withdraw(s, CallerRetries, 14, now.Add(scarcityPeriod/2)) {
		t.Error("a first attempt got credit just after a last chance got none")
	}
	if !b.Withdraw(s, CallerRetries, 14, now.Add(scarcityPeriod)) {
		t.Error("a first attempt got no credit after scarcityPeriod")
	}
}
