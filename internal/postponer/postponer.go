// Package postponer computes when the caller of a refused request should retry.
//
// Callers that are refused at the same time and given the same delay would retry
// at the same time. Delays are therefore randomized over the expected wait, and
// capped so that the caller can still retry before its deadline.
package postponer

import "time"

const (
	// minWait is the shortest delay; the load is unlikely to change sooner.
	minWait = 50 * time.Millisecond
	// unknownWait is used if no gate reported its expected wait. It is about the
	// time for which a target that shed a call is avoided.
	unknownWait = 150 * time.Millisecond
	// callerTimeDivisor limits the delay to a fraction of the caller's remaining
	// time.
	callerTimeDivisor = 3
	// rejectionSpread is the range of delays after a rejection that waiting does not
	// change.
	rejectionSpread = 40 * time.Millisecond
)

// After returns the delay before a retry. wait is the expected time until a slot
// is free, or zero if unknown; left is the caller's remaining time; random is a
// random number in [0, 1).
func After(wait, left time.Duration, random float64) time.Duration {
	if wait <= 0 {
		wait = unknownWait
	}
	d := max(wait, minWait)
	d += time.Duration(random * float64(d))
	return min(d, max(left/callerTimeDivisor, minWait))
}

// AfterRejection returns the delay before a retry of a request that a target rejected
// although its gate had a slot for it. The next target may well accept it now, so the
// delay only spreads callers. random is a random number in [0, 1).
func AfterRejection(random float64) time.Duration {
	return time.Millisecond + time.Duration(random*float64(rejectionSpread))
}
