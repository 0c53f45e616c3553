// Package grouper starts goroutines in groups that can be waited for.
package grouper

import (
	"context"
	"sync"

	"github.com/alitto/pond/v2"
)

// Group runs long-lived loops and short tasks on an unbounded pool. Its zero
// value is ready to use.
type Group struct {
	once sync.Once
	pool pond.Pool
}

func (g *Group) start() {
	// A loop that panics must not end unseen: the rest of the process would go on
	// without it.
	g.once.Do(func() { g.pool = pond.NewPool(0, pond.WithoutPanicRecovery()) })
}

// Go runs f in the group.
func (g *Group) Go(f func()) {
	g.start()
	g.pool.Submit(f)
}

// Loop runs f in the group with a context until f returns.
func (g *Group) Loop(ctx context.Context, f func(ctx context.Context)) {
	g.Go(func() { f(ctx) })
}

// Wait returns once every function has returned. Nothing may be started after.
func (g *Group) Wait() {
	g.start()
	g.pool.StopAndWait()
}
