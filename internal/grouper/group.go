// Package grouper runs goroutines in groups that can be waited for.
package grouper

import (
	"context"
	"sync"

	"github.com/alitto/pond/v2"
)

// Group runs long-lived loops and short tasks on an unbounded pool. The zero
// value is ready to use.
type Group struct {
	once sync.Once
	pool pond.Pool
}

func (g *Group) start() {
	// A panic must terminate the process. If the pool recovered it, the process
	// would continue without the loop.
	g.once.Do(func() { g.pool = pond.NewPool(0, pond.WithoutPanicRecovery()) })
}

// Go runs f in the group.
func (g *Group) Go(f func()) {
	g.start()
	g.pool.Submit(f)
}

// Loop runs f with ctx in the group.
func (g *Group) Loop(ctx context.Context, f func(ctx context.Context)) {
	g.Go(func() { f(ctx) })
}

// Wait blocks until every function has returned. No function may be started
// afterwards.
func (g *Group) Wait() {
	g.start()
	g.pool.StopAndWait()
}
