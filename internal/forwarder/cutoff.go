package forwarder

import (
	"context"
	"sync"
	"time"
)

// cutoff ends a context at a given time unless it is lifted before. A nil cutoff never does.
type cutoff struct {
	timer *time.Timer

	mu             sync.Mutex
	lifted, passed bool
}

// cutOff returns a context that ends with cause after d unless the cutoff is lifted, and a
// function that ends it at once.
func cutOff(ctx context.Context, d time.Duration, cause error) (context.Context, *cutoff, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &cutoff{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(d, func() {
		if l.pass() {
			cancel(cause)
		}
	})
	return ctx, l, cancel
}

// pass reports whether the context has to end.
func (l *cutoff) pass() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed = !l.lifted
	return l.passed
}

// lift removes the cutoff. It returns false if the context has ended, or is about to.
func (l *cutoff) lift() bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lifted = !l.passed
	l.timer.Stop()
	return l.lifted
}

// accept lifts the cutoff for the rest of an answer of who. It returns an error instead of an
// answer whose rest would be cut.
func (l *cutoff) accept(ctx context.Context, a *answer, who string) (*answer, error) {
	if a.rest == nil || l.lift() {
		return a, nil
	}
	a.discard()
	return nil, classify(ctx, context.Cause(ctx), who)
}
