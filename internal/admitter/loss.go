package admitter

import "time"

const (
	// lateWorth is the worth of a response after the objective, relative to one within it.
	lateWorth = 1.0 / 3
	// returnChance is the assumed chance that a caller whose request is rejected comes
	// back in time and is served.
	returnChance = 0.5
	// minLoss keeps the order of requests that lose nothing by being rejected.
	minLoss = 0.01
)

// Claim describes what a request is worth to its caller.
type Claim struct {
	// Objective is the time left until a response loses part of its worth; zero or less
	// means that it has passed. NoObjective means that there is none.
	Objective   time.Duration
	NoObjective bool
	// Left is the time left until the deadline.
	Left time.Duration
	// Returning means that the caller has been rejected before. It hardly comes back
	// once more.
	Returning bool
}

// worth returns the worth of a response after d.
func (c Claim) worth(d time.Duration) float64 {
	switch {
	case d > c.Left:
		return 0
	case c.NoObjective || d <= c.Objective:
		return 1
	}
	return lateWorth
}

// Loss returns what the caller is expected to lose if the request is rejected now and not
// served: the worth of a response after work, less what remains if the caller comes back
// after wait.
func (c Claim) Loss(work, wait time.Duration) float64 {
	l := c.worth(work)
	if !c.Returning {
		l -= returnChance * c.worth(wait+work)
	}
	return max(l, minLoss)
}
