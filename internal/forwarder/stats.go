package forwarder

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/receiver"
)

// heldDivisor sets which part of its objective a request may wait for a refusal.
const heldDivisor = 8

// Stats counts the requests of an entry. Its zero value is ready to use.
type Stats struct {
	Requests   atomic.Uint64
	Retries    atomic.Uint64
	AnswersCut atomic.Uint64
	NotRun     atomic.Uint64
	MayHaveRun atomic.Uint64
	// HeldInVain counts refused requests that have not run although they were held for
	// more than a heldDivisor-th of their objective.
	HeldInVain atomic.Uint64
	// Unauthenticated and Unconfirmed count refused requests by these reasons, the latter
	// with those whose parent is unknown.
	Unauthenticated atomic.Uint64
	Unconfirmed     atomic.Uint64

	// Observe is called with the duration of each answered request, if it is set.
	Observe func(time.Duration)
}

// refused counts a refusal after a wait. objective is zero if the route has none.
func (s *Stats) refused(f Refusal, wait, objective time.Duration) {
	if f.Verdict != classifier.NotRun {
		s.MayHaveRun.Add(1)
		return
	}
	s.NotRun.Add(1)
	switch f.Reason {
	case Unauthenticated:
		s.Unauthenticated.Add(1)
	case Unconfirmed, ParentUnknown:
		s.Unconfirmed.Add(1)
	default:
	}
	if objective > 0 && wait > objective/heldDivisor {
		s.HeldInVain.Add(1)
	}
}

func (s *Stats) observe(d time.Duration) {
	if s.Observe != nil {
		s.Observe(d)
	}
}

// hasConflictingLength reports whether a request has both a Content-Length and a
// Transfer-Encoding.
func hasConflictingLength(r *http.Request) bool {
	return len(r.TransferEncoding) > 0 && receiver.StatedLength(r.Context())
}
