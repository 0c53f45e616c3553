package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

const (
	// recentLength is the number of snapshots kept as bases of deltas.
	recentLength = 8
	// appliedLength is the number of applications kept for the state dump.
	appliedLength = 64
)

// Outcome says what became of an offered state.
type Outcome uint8

// The outcomes of an offer.
const (
	// Applied means that the offered state is now in force here.
	Applied Outcome = iota + 1
	// Held means that the same state was in force already.
	Held
	// Stale means that a higher generation is in force here.
	Stale
	// Forked means that the same generation is in force with other content.
	Forked
	// Rejected means that the state was incomplete or inconsistent.
	Rejected
)

var outcomeNames = [...]string{"", "applied", "held", "stale", "forked", "rejected"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Application is one entry in the record of applied generations.
type Application struct {
	Generation uint64
	Digest     encoder.Digest
	At         time.Time
}

// Holder keeps the snapshot in force. Its zero value holds nothing.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	recent  []*Snapshot
	applied []Application
	refused map[Outcome]uint64
	changed chan struct{}
}

// Current returns the snapshot in force, nil before the first.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// Offer applies s with the offered bodies, unless it is older than, equal to
// or in conflict with what is held, or not whole. The error goes with
// Rejected.
func (h *Holder) Offer(s accepter.State, bodies []*Profile) (Outcome, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.current.Load()
	if o := compare(s, c); o != Applied {
		h.refuse(o)
		return o, nil
	}
	n, err := NewSnapshot(s, c, bodies)
	if err != nil {
		h.refuse(Rejected)
		return Rejected, err
	}
	h.swap(n)
	return Applied, nil
}

func compare(s accepter.State, c *Snapshot) Outcome {
	if s.Generation < c.Generation() {
		return Stale
	}
	if s.Generation > c.Generation() {
		return Applied
	}
	if c != nil && s.Digest() != c.StateDigest {
		return Forked
	}
	return Held
}

func (h *Holder) refuse(o Outcome) {
	if h.refused == nil {
		h.refused = make(map[Outcome]uint64)
	}
	h.refused[o]++
}

func (h *Holder) swap(n *Snapshot) {
	h.current.Store(n)
	h.recent = last(append(h.recent, n), recentLength)
	a := Application{Generation: n.Generation(), Digest: n.StateDigest, At: time.Now()}
	h.applied = last(append(h.applied, a), appliedLength)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Recent returns a snapshot that was in force here lately, or nil.
func (h *Holder) Recent(generation uint64, digest encoder.Digest) *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.recent {
		if s.Generation() == generation && s.StateDigest == digest {
			return s
		}
	}
	return nil
}

// Wait returns the snapshot in force once its generation is above the given
// one, or as it is when ctx is done.
func (h *Holder) Wait(ctx context.Context, generation uint64) *Snapshot {
	for {
		c, changed := h.observe()
		if c.Generation() > generation {
			return c
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return h.Current()
		}
	}
}

func (h *Holder) observe() (*Snapshot, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.current.Load(), h.changed
}

// Applications returns the latest applications, oldest first.
func (h *Holder) Applications() []Application {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Application(nil), h.applied...)
}

// Refused returns how many offers ended with o.
func (h *Holder) Refused(o Outcome) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused[o]
}

func last[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return append([]T(nil), list[len(list)-n:]...)
}
