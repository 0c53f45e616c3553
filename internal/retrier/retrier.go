// Package retrier decides whether a failed call is made again.
package retrier

import (
	"sync"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// maxCredit bounds the retries that may be saved up for a service.
	maxCredit = 20.0
	percent   = 100.0
	// spare is the credit from which a retry may be reserved.
	spare = 2.0
	// ownPart is the part of the fleet's bounds that is spent here, so that
	// restarted nodes and requests that ended elsewhere do not exceed them.
	ownPart = 0.85
)

// Budget bounds the retries of each service to a share of its calls, so that
// a failing service is not given a multiple of its load. Its zero value is
// ready to use.
type Budget struct {
	// Percent bounds the share of every service; zero leaves it to the service.
	Percent int
	// Slack is the number of retries that all nodes together may make beyond
	// the share of a service; zero stands for a fixed number for each node.
	Slack float64

	mu      sync.Mutex
	credits map[string]float64
}

// Deposit notes a first attempt at one of nodes nodes.
func (b *Budget) Deposit(s router.Service, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(s.Name, nodes)
	b.credits[s.Name] = min(b.limit(nodes), c+b.share(s))
}

func (b *Budget) share(s router.Service) float64 {
	p := float64(s.Retry.BudgetPercent)
	if b.Percent > 0 {
		p = min(p, ownPart*float64(b.Percent))
	}
	return p / percent
}

// limit is the credit of a node after a calm time.
func (b *Budget) limit(nodes int) float64 {
	if b.Slack == 0 {
		return maxCredit
	}
	return max(1, b.Slack*ownPart/float64(max(nodes, 1)))
}

// Withdraw spends a retry, if there is one.
func (b *Budget) Withdraw(s router.Service, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(s.Name, nodes)
	if c < 1 || s.Retry.BudgetPercent == 0 {
		return false
	}
	b.credits[s.Name] = c - 1
	return true
}

// Reserve spends a retry ahead, if that leaves some for other requests.
func (b *Budget) Reserve(service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(service, nodes)
	if c < spare {
		return false
	}
	b.credits[service] = c - 1
	return true
}

// Refund takes back a retry that was reserved and is not needed.
func (b *Budget) Refund(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = min(b.limit(nodes), b.credit(service, nodes)+1)
}

// Spend notes a call that had to be made again for a request that runs again.
// It may leave the service in debt.
func (b *Budget) Spend(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[service] = b.credit(service, nodes) - 1
}

// credit returns what is left; a service that is new here starts full.
func (b *Budget) credit(service string, nodes int) float64 {
	if b.credits == nil {
		b.credits = make(map[string]float64)
	}
	c, ok := b.credits[service]
	if !ok {
		c = b.limit(nodes)
		b.credits[service] = c
	}
	return c
}

// Attempt describes an attempt that has failed.
type Attempt struct {
	// Number counts from 1.
	Number  int
	Verdict judge.Verdict
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Replayable says that the whole body can be sent again.
	Replayable bool
	// Started says that a part of the answer has been passed on.
	Started bool
}

// Allowed reports whether another attempt is safe. A request that may have
// run is made again only if it is idempotent.
func (a Attempt) Allowed(maxAttempts int) bool {
	if a.Started || !a.Replayable || a.Number >= maxAttempts {
		return false
	}
	return a.Verdict == judge.NotRun || a.Idempotent
}
