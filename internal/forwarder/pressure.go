package forwarder

import "sync"

const (
	// pressureWeight is the weight of the newest request in the moving average, which
	// covers about the last 40 requests.
	pressureWeight = 0.025
	// highPressure is the share of refused requests above which the targets are
	// considered overloaded.
	highPressure = 0.05
)

// pressure is a moving average of the share of requests at this entry that were
// refused because of overload. Its zero value is ready to use.
type pressure struct {
	mu    sync.Mutex
	share float64
}

func (p *pressure) note(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := 0.0
	if refused {
		v = 1
	}
	p.share += pressureWeight * (v - p.share)
}

func (p *pressure) high() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share > highPressure
}
