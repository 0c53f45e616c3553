package storer

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Purpose is the reason for a store call. Calls are counted by purpose.
type Purpose string

const (
	// ForJoining marks calls that find other nodes to join.
	ForJoining Purpose = "join"
	// ForFirstConfiguration marks calls that read the configuration for a node
	// that has none.
	ForFirstConfiguration Purpose = "first_configuration"
	// ForElection marks calls that acquire a relay slot.
	ForElection Purpose = "election"
	// ForLease marks calls that keep a relay slot.
	ForLease Purpose = "lease"
	// ForWatch marks calls that watch the configuration.
	ForWatch Purpose = "watch"
	// ForConfirmation marks calls that read the configuration because no other node
	// has confirmed it.
	ForConfirmation Purpose = "confirmation"
	// ForDepartures marks calls that keep the record of departed targets.
	ForDepartures Purpose = "departures"
	// ForIntroduction marks calls that find the relays of other data centres.
	ForIntroduction Purpose = "introduction"
	// ForRollouts marks calls that read the orders of roll-outs and write their states.
	ForRollouts Purpose = "rollouts"
	// ForOther marks all other calls, and those whose context has no purpose.
	ForOther Purpose = "other"
)

type purposeKey struct{}

// WithPurpose returns a context whose store calls are counted under p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// Call identifies store calls of one kind and purpose.
type Call struct {
	Kind    string
	Purpose Purpose
}

// Counter counts store calls by kind and purpose. Its zero value is ready to
// use.
type Counter struct {
	mu     sync.Mutex
	counts map[Call]uint64
}

// Counts returns a copy of the number of calls by kind and purpose.
func (c *Counter) Counts() map[Call]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (c *Counter) increment(ctx context.Context, kind string) {
	p, ok := ctx.Value(purposeKey{}).(Purpose)
	if !ok {
		p = ForOther
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[Call]uint64)
	}
	c.counts[Call{Kind: kind, Purpose: p}]++
}

// Count wraps s so that c counts its calls.
func (c *Counter) Count(s Store) Store {
	return countingStore{store: s, counter: c}
}

type countingStore struct {
	store   Store
	counter *Counter
}

// Get implements Store.
func (s countingStore) Get(ctx context.Context, key string) (Value, error) {
	s.counter.increment(ctx, "get")
	return s.store.Get(ctx, key)
}

// Put implements Store.
func (s countingStore) Put(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error) {
	s.counter.increment(ctx, "put")
	return s.store.Put(ctx, key, data, revision, lease)
}

// Delete implements Store.
func (s countingStore) Delete(ctx context.Context, key string, revision uint64) error {
	s.counter.increment(ctx, "delete")
	return s.store.Delete(ctx, key, revision)
}

// List implements Store.
func (s countingStore) List(ctx context.Context, prefix string, f Freshness) ([]Item, error) {
	k := "list"
	if f == Recent {
		k = "list_recent"
	}
	s.counter.increment(ctx, k)
	return s.store.List(ctx, prefix, f)
}

// Watch implements Store.
func (s countingStore) Watch(ctx context.Context, key string, held Value, wait time.Duration) (Value, bool, error) {
	s.counter.increment(ctx, "watch")
	return s.store.Watch(ctx, key, held, wait)
}

// Grant implements Store.
func (s countingStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	s.counter.increment(ctx, "grant")
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements Store.
func (s countingStore) KeepAlive(ctx context.Context, lease LeaseID) error {
	s.counter.increment(ctx, "renew")
	return s.store.KeepAlive(ctx, lease)
}

// Revoke implements Store.
func (s countingStore) Revoke(ctx context.Context, lease LeaseID) error {
	s.counter.increment(ctx, "revoke")
	return s.store.Revoke(ctx, lease)
}
