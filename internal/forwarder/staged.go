package forwarder

import (
	"context"
	"net/http"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/stager"
)

// maxChoices limits how often a target is chosen because another request has just used
// the last grant for a new version.
const maxChoices = 4

// begin chooses the next gate to ask and records the attempt at its target if the target's
// version is on trial.
func (o *offers) begin() (p gossiper.Endpoint, immediate bool, t *stager.Attempt, ok bool) {
	for range maxChoices {
		if p, immediate, ok = o.next(); !ok {
			return p, false, nil, false
		}
		if t, ok = o.entry.stager.Begin(p, o.job.route.Name, o.job.sends > 0); ok {
			return p, immediate, t, true
		}
		o.withdraw(immediate)
	}
	return gossiper.Endpoint{}, false, nil, false
}

// stagedOutcome returns what an attempt says of the version of its target.
func stagedOutcome(ctx context.Context, a *answer, err error) stager.Outcome {
	switch {
	case err == nil && a.status < http.StatusInternalServerError:
		return stager.Answered
	case err == nil && a.calleeOverloaded:
		return stager.Void
	case err == nil:
		return stager.Failed
	case notSent(err):
		return stager.Unsent
	case classifier.Is(err, errRejected), classifier.Is(err, errQuarantined):
		return stager.Void
	case classifier.Is(err, classifier.TimedOut), classifier.Is(err, errOverdue):
		return stager.Late
	case ctx.Err() != nil:
		return stager.Void
	}
	return stager.Failed
}
