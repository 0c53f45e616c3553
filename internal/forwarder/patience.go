package forwarder

import (
	"sync"
	"time"
)

const (
	// patienceFade is how much of the usual time left a route keeps from one
	// request to the next, so that it follows callers who ask for less.
	patienceFade = 0.999
	// patienceSlack is a difference that the way of a request makes.
	patienceSlack = 20 * time.Millisecond
)

// patience knows how much time the callers of each route usually have left. A
// caller with less has tried before: its objective began to run with its first
// attempt. Its zero value knows nothing.
type patience struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// triedBefore takes in the time that a caller has left and returns how long it is
// taken to have tried before.
func (p *patience) triedBefore(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == nil {
		p.usual = make(map[string]time.Duration)
	}
	u := max(time.Duration(patienceFade*float64(p.usual[route])), left)
	p.usual[route] = u
	if u-left < patienceSlack {
		return 0
	}
	return u - left
}
