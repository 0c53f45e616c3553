package storer

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Purpose says what a call of the store is made for.
type Purpose string

// The purposes.
const (
	// ForJoining finds other nodes.
	ForJoining Purpose = "join"
	// ForFirstConfiguration reads the configuration of a node that has none.
	ForFirstConfiguration Purpose = "first_configuration"
	// ForElection takes a relay's slot.
	ForElection Purpose = "election"
	// ForLease keeps a relay's slot.
	ForLease Purpose = "lease"
	// ForWatch follows the configuration.
	ForWatch Purpose = "watch"
	// ForIntroduction finds the relays of other data centres.
	ForIntroduction Purpose = "introduction"
	// ForOthers is everything else.
	ForOthers Purpose = "other"
)

type purposeKey struct{}

// WithPurpose returns a context whose store calls are counted for p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// Call is a kind of store calls with their purpose.
type Call struct {
	Kind    string
	Purpose Purpose
}

// Counter counts store calls. Its zero value has counted none.
type Counter struct {
	mu     sync.Mutex
	counts map[Call]uint64
}

// Counts returns how often each call was made.
func (c *Counter) Counts() map[Call]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (c *Counter) add(ctx context.Context, kind string) {
	p, ok := ctx.Value(purposeKey{}).(Purpose)
	if !ok {
		p = ForOthers
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[Call]uint64)
	}
	c.counts[Call{Kind: kind, Purpose: p}]++
}

// Count returns s with its calls counted.
func (c *Counter) Count(s Store) Store {
	return counted{store: s, counter: c}
}

type counted struct {
	store   Store
	counter *Counter
}

// Get implements Store.
func (s counted) Get(ctx context.Context, key string) (Value, error) {
	s.counter.add(ctx, "get")
	return s.store.Get(ctx, key)
}

// Put implements Store.
func (s counted) Put(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error) {
	s.counter.add(ctx, "put")
	return s.store.Put(ctx, key, data, revision, lease)
}

// Delete implements Store.
func (s counted) Delete(ctx context.Context, key string, revision uint64) error {
	s.counter.add(ctx, "delete")
	return s.store.Delete(ctx, key, revision)
}

// List implements Store.
func (s counted) List(ctx context.Context, prefix string, f Freshness) ([]Item, error) {
	k := "list"
	if f == Recent {
		k = "list_recent"
	}
	s.counter.add(ctx, k)
	return s.store.List(ctx, prefix, f)
}

// Watch implements Store.
func (s counted) Watch(ctx context.Context, key string, held Value, wait time.Duration) (Value, bool, error) {
	s.counter.add(ctx, "watch")
	return s.store.Watch(ctx, key, held, wait)
}

// Grant implements Store.
func (s counted) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	s.counter.add(ctx, "grant")
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements Store.
func (s counted) KeepAlive(ctx context.Context, lease LeaseID) error {
	s.counter.add(ctx, "renew")
	return s.store.KeepAlive(ctx, lease)
}

// Revoke implements Store.
func (s counted) Revoke(ctx context.Context, lease LeaseID) error {
	s.counter.add(ctx, "revoke")
	return s.store.Revoke(ctx, lease)
}
