package gatekeeper

import "time"

const (
	// achievableShare is the share of its usual objective that a request must have
	// left to go before others, where the 90th percentile of durations is longer.
	achievableShare = 0.6
	// objectiveDecay is the factor applied to a class's usual objective at each
	// request, so that it follows a configuration with shorter ones.
	objectiveDecay = 0.999
)

// usualObjectives holds how much of its objective a request of a class has left when
// it arrives, unless its caller has been refused before. The zero value is empty.
type usualObjectives map[string]time.Duration

func (u *usualObjectives) record(class string, left time.Duration) {
	if *u == nil {
		*u = make(usualObjectives)
	}
	(*u)[class] = max(time.Duration(objectiveDecay*float64((*u)[class])), left)
}
