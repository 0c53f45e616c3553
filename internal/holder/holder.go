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
	// maxRecent is the number of snapshots kept as bases for deltas.
	maxRecent = 8
	// maxApplied is the number of applied generations kept for the state dump.
	maxApplied = 64
)

// Outcome is the result of offering a state.
type Outcome uint8

// The outcomes of an offer.
const (
	// Applied means that the offered state is now in force on this node.
	Applied Outcome = iota + 1
	// Unchanged means that the same state was already in force.
	Unchanged
	// Stale means that a higher generation is in force.
	Stale
	// Forked means that the same generation is in force with different content.
	Forked
	// Rejected means that the state was incomplete or inconsistent.
	Rejected
)

var outcomeNames = [...]string{"", "applied", "held", "stale", "forked", "rejected"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// AppliedGeneration is an entry in the history of applied generations.
type AppliedGeneration struct {
	Generation uint64
	Digest     encoder.Digest
	At         time.Time
}

// Holder stores the snapshot in force. The zero value has no snapshot.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	recent  []*Snapshot
	applied []AppliedGeneration
	refused map[Outcome]uint64
	changed chan struct{}
}

// Current returns the snapshot in force, or nil if none has been applied.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// Offer applies s with the offered bodies, unless s is older than, equal to or in
// conflict with the state in force, or a body is missing. The error is set if the
// outcome is Rejected.
func (h *Holder) Offer(s accepter.State, bodies []*Profile) (Outcome, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.current.Load()
	if o := compare(s, c); o != Applied {
		h.countRefused(o)
		return o, nil
	}
	n, err := NewSnapshot(s, c, bodies)
	if err != nil {
		h.countRefused(Rejected)
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
	return Unchanged
}

func (h *Holder) countRefused(o Outcome) {
	if h.refused == nil {
		h.refused = make(map[Outcome]uint64)
	}
	h.refused[o]++
}

func (h *Holder) swap(n *Snapshot) {
	h.current.Store(n)
	h.recent = lastN(append(h.recent, n), maxRecent)
	a := AppliedGeneration{Generation: n.Generation(), Digest: n.StateDigest, At: time.Now()}
	h.applied = lastN(append(h.applied, a), maxApplied)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Recent returns the matching snapshot among the last ones in force, or nil.
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

// Wait blocks until the generation in force is above the given one or ctx is done,
// and returns the snapshot then in force.
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

// AppliedGenerations returns the latest applied generations, oldest first.
func (h *Holder) AppliedGenerations() []AppliedGeneration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]AppliedGeneration(nil), h.applied...)
}

// Refused returns the number of offers that were refused with outcome o.
func (h *Holder) Refused(o Outcome) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused[o]
}

func lastN[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return append([]T(nil), list[len(list)-n:]...)
}
