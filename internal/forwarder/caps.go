package forwarder

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

// errOverCap reports that the request's workspace has used up its cap.
var errOverCap = classifier.Unavailable.NewSubtype("over_cap")

// Caps decides how many requests of a workspace may reach targets, over all nodes
// together.
type Caps interface {
	// Admit reports whether a request of a workspace may be sent, and if not, when its
	// turn comes.
	Admit(workspace string) (wait time.Duration, ok bool)
	// GiveBack takes back the admission of a request that has reached no target.
	GiveBack(workspace string)
	// Repeat counts another arrival of an admitted request at a target.
	Repeat(workspace string)
}

// serveWithinCap serves a request unless its workspace has used up its cap. Nothing has
// been sent by then.
func (e *Entry) serveWithinCap(j *job) (*answer, error) {
	if e.caps == nil || j.workspace == nil {
		return e.serve(j)
	}
	if w, ok := e.caps.Admit(j.workspace.Name); !ok {
		err := classifier.Error(errOverCap, classifier.NotRun, "workspace %q has used up its cap", j.workspace.Name)
		return nil, classifier.WithWait(err, w)
	}
	a, err := e.serve(j)
	if !j.arrivedAtTarget(a, err) {
		e.caps.GiveBack(j.workspace.Name)
	}
	return a, err
}

// arrivedAtTarget reports whether the request, which was answered by a or failed with err,
// has reached a target. If that is not known, it has.
func (j *job) arrivedAtTarget(a *answer, err error) bool {
	switch {
	case j.sends > 0:
		return true
	case err != nil:
		return !notSent(err)
	}
	// Only the home of a key answers without a send, and replays reach no target.
	return a.header.Get(ReplayedHeader) == ""
}

// countRepeats counts the arrivals at targets beyond the first one, at the node that made
// the attempts.
func (e *Entry) countRepeats(j *job) {
	if e.caps == nil || j.workspace == nil {
		return
	}
	for range j.sends - 1 {
		e.caps.Repeat(j.workspace.Name)
	}
}
