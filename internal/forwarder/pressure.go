package forwarder

import "sync"

const (
	// pressureWeight is the weight of the newest request: about the last forty.
	pressureWeight = 0.025
	// highPressure is the share of refused requests from which the targets are
	// taken to be overloaded.
	highPressure = 0.05
)

// pressure is the share of requests at this entry that were refused for load
// lately. Its zero value has seen none.
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
