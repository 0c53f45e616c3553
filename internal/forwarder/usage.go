package forwarder

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
)

// SlotUse is what the time of a target's slots was spent on.
type SlotUse string

// The uses.
const (
	// UsedTimely is the time of answers within their objective, and of answers
	// without one.
	UsedTimely SlotUse = "timely"
	// UsedLate is the time of answers after their objective.
	UsedLate SlotUse = "late"
	// UsedFailed is the time of requests that the target failed.
	UsedFailed SlotUse = "failed"
	// UsedAbandoned is the time of requests that were broken off, or that the target
	// rejected.
	UsedAbandoned SlotUse = "abandoned"
)

// slotUsage sums up how long requests have held slots, by use. Its zero value is
// ready to use.
type slotUsage struct {
	mu    sync.Mutex
	times map[SlotUse]time.Duration
}

func (u *slotUsage) add(s SlotUse, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.times == nil {
		u.times = make(map[SlotUse]time.Duration)
	}
	u.times[s] += d
}

// SlotTimes yields how long requests have held slots, by use.
func (g *Gate) SlotTimes(yield func(SlotUse, time.Duration) bool) {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	for s, d := range g.usage.times {
		if !yield(s, d) {
			return
		}
	}
}

// slotUseOf returns the use of a slot whose request ended at now with r. objective is
// zero if the request has none.
func slotUseOf(r gatekeeper.Result, objective, now time.Time) SlotUse {
	switch {
	case r == gatekeeper.Failed:
		return UsedFailed
	case r == gatekeeper.Abandoned:
		return UsedAbandoned
	case !objective.IsZero() && now.After(objective):
		return UsedLate
	}
	return UsedTimely
}

// heldSlot is the slot of a running request.
type heldSlot struct {
	pass      *gatekeeper.Pass
	usage     *slotUsage
	objective time.Time
	since     time.Time
	once      sync.Once
}

// release gives the slot back with the result r, which the gate learns durations
// from, and accounts for its time by the outcome o. Further calls have no effect.
func (s *heldSlot) release(r, o gatekeeper.Result) {
	s.once.Do(func() {
		now := time.Now()
		s.pass.Leave(r)
		s.usage.add(slotUseOf(o, s.objective, now), now.Sub(s.since))
	})
}

// streamResult returns the result of an answer whose body ended with err.
func streamResult(err error) gatekeeper.Result {
	if errors.Is(err, io.EOF) {
		return gatekeeper.Answered
	}
	return gatekeeper.Failed
}
