// Package orderer holds the types by which operators order roll-outs and read what
// became of them. It decides nothing.
package orderer

import "time"

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Version string
	// Limit is the time within which the roll-out has to end.
	Limit time.Duration
	// Revision is the revision of the order in the store.
	Revision uint64
}

// Phase is the state of a roll-out.
type Phase uint8

// The phases. The last two are final.
const (
	Unknown Phase = iota
	Running
	Completed
	RolledBack
)

var phaseNames = [...]string{"", "running", "completed", "rolled_back"}

// String returns the name used in logs and in the store.
func (p Phase) String() string { return phaseNames[min(p, RolledBack)] }

// ParsePhase is the inverse of String.
func ParsePhase(s string) (Phase, bool) {
	for i, n := range phaseNames {
		if n == s && i > 0 {
			return Phase(i), true
		}
	}
	return Unknown, false
}

// Final reports whether a roll-out has ended.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Status is the state of a roll-out as recorded in the store.
type Status struct {
	Service string
	Version string
	Phase   Phase
	// Revision is the revision of the record; 0 means that there is none.
	Revision uint64
}

// Bounds limit the requests that a bad version may get.
type Bounds struct {
	// Share and Slack bound the exposure: a part of the service's requests since the
	// order, and a number of requests.
	Share float64
	Slack float64
	// Rollback is the time after the 50th bad answer from which on the version may get
	// no request.
	Rollback time.Duration
}

// DefaultBounds are the bounds where the settings name none.
var DefaultBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
