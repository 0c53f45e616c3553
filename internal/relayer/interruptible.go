package relayer

import (
	"context"
	"sync"
)

// interruptible runs a function that another goroutine can interrupt. The zero value is
// ready to use.
type interruptible struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// run runs f with a context that is done when ctx is, or on interrupt.
func (i *interruptible) run(ctx context.Context, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i.set(cancel)
	f(ctx)
	i.set(nil)
}

func (i *interruptible) set(cancel context.CancelFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
}

// interrupt cancels the context of the running function, if there is one.
func (i *interruptible) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}
