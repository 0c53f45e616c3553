// Package retrier decides whether a failed call may be retried.
package retrier

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// maxCredit limits the retries that a service can accumulate.
	maxCredit    = 20.0
	percentScale = 100.0
	// minReserveCredit is the credit required to reserve a retry.
	minReserveCredit = 2.0
	// fleetBoundShare is the share of the fleet-wide limits that nodes use, so that
	// restarted nodes and requests that ended elsewhere do not exceed the limits.
	fleetBoundShare = 0.85
	// scarcityPeriod is how long credit counts as scarce after a call with no other
	// chance got none. Credit for one more call is earned in less.
	scarcityPeriod = time.Second
)

// Budget limits the retries of each service to a share of its calls, so that
// retries do not multiply the load of a failing service. Its zero value is ready
// to use.
type Budget struct {
	// Percent limits the share for all services; zero applies only the limit of
	// each service.
	Percent int
	// Slack is the number of retries that all nodes together may make beyond the
	// share of a service; zero applies a fixed number per node.
	Slack float64

	mu      sync.Mutex
	credits map[string]float64
	// deniedAt is when a call with no other chance last got no credit, by service.
	deniedAt map[string]time.Time
}

// Chance tells whether a failed call can still be made without a retry of this node.
type Chance uint8

// The chances.
const (
	// CallerRetries means that the caller is at its first attempt. It can make another
	// one, which costs no credit.
	CallerRetries Chance = iota
	// LastChance means that nobody else retries the call: a target makes it for a
	// request that would fail with it, or its caller has already come back.
	LastChance
)

// Deposit credits the service for a first attempt. nodes is the number of nodes
// that share the budget.
func (b *Budget) Deposit(s router.Service, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(s.Name, nodes)
	b.credits[s.Name] = min(b.creditLimit(nodes), c+b.creditPerCall(s))
}

func (b *Budget) creditPerCall(s router.Service) float64 {
	p := float64(s.Retry.BudgetPercent)
	if b.Percent > 0 {
		p = min(p, fleetBoundShare*float64(b.Percent))
	}
	return p / percentScale
}

// creditLimit returns the maximum credit of a service at this node.
func (b *Budget) creditLimit(nodes int) float64 {
	if b.Slack == 0 {
		return maxCredit
	}
	return max(1, b.Slack*fleetBoundShare/float64(max(nodes, 1)))
}

// Withdraw spends the credit for one retry. It returns false if there is none, or if
// the call's caller can retry while credit is scarce.
func (b *Budget) Withdraw(s router.Service, c Chance, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Retry.BudgetPercent == 0 || c == CallerRetries && now.Sub(b.deniedAt[s.Name]) < scarcityPeriod {
		return false
	}
	k := b.credit(s.Name, nodes)
	if k < 1 {
		if c == LastChance {
			b.noteDenied(s.Name, now)
		}
		return false
	}
	b.credits[s.Name] = k - 1
	return true
}

func (b *Budget) noteDenied(service string, now time.Time) {
	if b.deniedAt == nil {
		b.deniedAt = make(map[string]time.Time)
	}
	b.deniedAt[service] = now
}

// Reserve spends the credit for one retry in advance, unless that would leave too
// little for other requests.
func (b *Budget) Reserve(service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(service, nodes)
	if c < minReserveCredit {
		return false
	}
	b.credits[service] = c - 1
	return true
}

// Refund returns a reserved retry that was not needed.
func (b *Budget) Refund(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = min(b.creditLimit(nodes), b.credit(service, nodes)+1)
}

// Spend charges a call that must be made because its request runs again. The
// credit may become negative.
func (b *Budget) Spend(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = b.credit(service, nodes) - 1
}

// credit returns the remaining credit of a service. A new service starts at the
// limit.
func (b *Budget) credit(service string, nodes int) float64 {
	if b.credits == nil {
		b.credits = make(map[string]float64)
	}
	c, ok := b.credits[service]
	if !ok {
		c = b.creditLimit(nodes)
		b.credits[service] = c
	}
	return c
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt, starting at 1.
	Number  int
	Verdict classifier.Verdict
	// Idempotent means that the request can safely run more than once.
	Idempotent bool
	// Replayable means that the complete request body can be sent again.
	Replayable bool
	// Started means that part of the response has been sent to the caller.
	Started bool
}

// Allowed reports whether another attempt is safe. A request that may have run is
// retried only if it is idempotent.
func (a Attempt) Allowed(maxAttempts int) bool {
	if a.Started || !a.Replayable || a.Number >= maxAttempts {
		return false
	}
	return a.Verdict == classifier.NotRun || a.Idempotent
}
