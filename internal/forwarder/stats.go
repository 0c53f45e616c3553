package forwarder

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
)

// Stats counts the requests of an entry. Its zero value is ready to use.
type Stats struct {
	Requests   atomic.Uint64
	Retries    atomic.Uint64
	AnswersCut atomic.Uint64
	NotRun     atomic.Uint64
	MayHaveRun atomic.Uint64

	// Observe is called with the duration of each answered request, if it is set.
	Observe func(time.Duration)
}

func (s *Stats) refused(f Refusal) {
	if f.Verdict == classifier.NotRun {
		s.NotRun.Add(1)
		return
	}
	s.MayHaveRun.Add(1)
}

func (s *Stats) observe(d time.Duration) {
	if s.Observe != nil {
		s.Observe(d)
	}
}

// hasConflictingLength reports whether a request has both a Content-Length and a
// Transfer-Encoding.
func hasConflictingLength(r *http.Request) bool {
	return len(r.TransferEncoding) > 0 && connector.StatedLength(r.Context())
}
