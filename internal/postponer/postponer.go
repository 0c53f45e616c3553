// Package postponer decides when the caller of a refused request is to come
// back.
//
// It answers crowds: callers that are refused in the same moment and told the
// same time come back in the same moment. They are spread over the time that
// it takes until there is room, and never told to come later than they can.
package postponer

import "time"

const (
	// least keeps a caller from coming back before anything can have changed.
	least = 50 * time.Millisecond
	// unknownWait is used where no gate told how long its queue is: about the
	// time for which a target that has shed a call is left alone.
	unknownWait = 150 * time.Millisecond
	// callerShare is the part of a caller's time left that it is willing to wait.
	callerShare = 3
)

// After returns how long a caller should wait: wait is when there will be room,
// zero when that is not known; left is the caller's time left; draw is a random
// number in [0, 1).
func After(wait, left time.Duration, draw float64) time.Duration {
	if wait <= 0 {
		wait = unknownWait
	}
	d := max(wait, least)
	d += time.Duration(draw * float64(d))
	return min(d, max(left/callerShare, least))
}
