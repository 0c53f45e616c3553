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
)

// Budget bounds the retries of each service to a share of its calls, so that
// a failing service is not given a multiple of its load. Its zero value is
// ready to use.
type Budget struct {
	mu      sync.Mutex
	credits map[string]float64
}

// Deposit notes a first attempt.
func (b *Budget) Deposit(s router.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(s.Name)
	b.credits[s.Name] = min(maxCredit, c+float64(s.Retry.BudgetPercent)/percent)
}

// Withdraw spends a retry, if there is one.
func (b *Budget) Withdraw(s router.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(s.Name)
	if c < 1 || s.Retry.BudgetPercent == 0 {
		return false
	}
	b.credits[s.Name] = c - 1
	return true
}

// credit returns what is left; a service that is new here starts full.
func (b *Budget) credit(service string) float64 {
	if b.credits == nil {
		b.credits = make(map[string]float64)
	}
	c, ok := b.credits[service]
	if !ok {
		c = maxCredit
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
func (a Attempt) Allowed(p router.RetryPolicy) bool {
	if a.Started || !a.Replayable || a.Number >= p.MaxAttempts {
		return false
	}
	return a.Verdict == judge.NotRun || a.Idempotent
}

// SafeMethod reports whether a method is safe by RFC 9110, section 9.2.1, so
// that repeating it never changes anything. PUT and DELETE are idempotent but
// not safe: a late first attempt could undo a later request of the caller.
func SafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}
