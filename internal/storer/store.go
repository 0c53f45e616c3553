// Package storer is the one interface through which the platform's key-value
// service is met, and the keys of the product's own records in it.
package storer

import (
	"context"
	"time"
)

// MaxValueBytes bounds a value of the store.
const MaxValueBytes = 1 << 20

// Value is what a key holds.
type Value struct {
	Data []byte
	// Revision changes with every write of the key; it is 0 for a key that
	// does not exist.
	Revision uint64
	// AsOf is the revision of the whole store when the value was read. A watch
	// that goes on from it misses nothing.
	AsOf uint64
}

// Item is a key with its value.
type Item struct {
	Key   string
	Value Value
}

// LeaseID identifies a lease. The zero value stands for no lease.
type LeaseID uint64

// Freshness says how current an answer must be.
type Freshness uint8

const (
	// Current answers hold what was written before the question.
	Current Freshness = iota
	// Recent answers may be some seconds old. They cost the service a tenth.
	Recent
)

// Store is a small key-value service with compare-and-swap, leases and
// waiting watches.
//
// Errors carry a verdict. They are judge.NotFound for a missing key,
// judge.Conflict for a failed comparison, judge.Overloaded when the service
// refuses for its rates, and otherwise judge.Unavailable.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes a key if its revision is still the given one; revision 0
	// stands for a key that does not exist. The key goes with its lease.
	Put(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error)
	// Delete removes a key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision uint64) error
	// List reads every key with a prefix, in order.
	List(ctx context.Context, prefix string, f Freshness) ([]Item, error)
	// Watch waits until a key changes after held was read and returns its
	// value, or held as of now and false once the wait is over.
	Watch(ctx context.Context, key string, held Value, wait time.Duration) (Value, bool, error)
	// Grant makes a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with judge.NotFound once it lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// The keys of the store.
const (
	// HeadKey holds the accepted state.
	HeadKey = "head"
	// RelayPrefix holds a leased record for each relay.
	RelayPrefix = "relays/"
	// CatalogPrefix holds a catalog for each profile.
	CatalogPrefix = "catalogs/"
	bodyPrefix    = "bodies/"
	deltaPrefix   = "deltas/"
	// digestLength is how much of a digest is used in the key of a delta.
	digestLength = 16
)

// CatalogKey is the key of a profile's catalog.
func CatalogKey(profile string) string {
	return CatalogPrefix + profile
}

// DeltaPrefix is the start of the keys of deltas that lead to a body.
func DeltaPrefix(profile, digest string) string {
	return deltaPrefix + profile + "/" + digest[:digestLength] + "/"
}

// DeltaKey is the key of the delta that leads from one body to another.
func DeltaKey(profile, base, digest string) string {
	return DeltaPrefix(profile, digest) + base[:digestLength]
}

// BodyKey is the key of an immutable profile body.
func BodyKey(profile, digest string) string {
	return bodyPrefix + profile + "/" + digest
}
