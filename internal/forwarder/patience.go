package forwarder

import (
	"sync"
	"time"
)

const (
	// usualTimeoutDecay is the factor applied to a route's usual timeout at each
	// request, so that the value follows callers that change to shorter timeouts.
	usualTimeoutDecay = 0.999
	// timeoutTolerance is the variation due to the transport of a request.
	timeoutTolerance = 20 * time.Millisecond
)

// callerTimeouts tracks the usual remaining time of callers on each route. A caller with
// less is assumed to have made earlier attempts: its objective counts from its first
// attempt. Its zero value is empty.
type callerTimeouts struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// triedBefore records the time that a caller has left and returns the estimated time
// that it has spent on earlier attempts.
func (c *callerTimeouts) triedBefore(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usual == nil {
		c.usual = make(map[string]time.Duration)
	}
	u := max(time.Duration(usualTimeoutDecay*float64(c.usual[route])), left)
	c.usual[route] = u
	if u-left < timeoutTolerance {
		return 0
	}
	return u - left
}
