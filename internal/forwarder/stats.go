package forwarder

import (
	"sync/atomic"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

// Stats counts requests at an entry. Its zero value is ready to use.
type Stats struct {
	Requests   atomic.Uint64
	Retries    atomic.Uint64
	Cut        atomic.Uint64
	NotRun     atomic.Uint64
	MayHaveRun atomic.Uint64
}

func (s *Stats) refused(v judge.Verdict) {
	if v == judge.NotRun {
		s.NotRun.Add(1)
		return
	}
	s.MayHaveRun.Add(1)
}
