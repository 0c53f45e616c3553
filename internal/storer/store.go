// Package storer defines the interface to the platform's key-value service, the
// only one through which it is used, and the keys of the records stored there.
package storer

import (
	"context"
	"net/netip"
	"time"
)

// MaxValueBytes is the maximum size of a stored value.
const MaxValueBytes = 1 << 20

// Value is the value of a key with its revisions.
type Value struct {
	Data []byte
	// Revision changes with every write of the key; it is 0 for a key that
	// does not exist.
	Revision uint64
	// AsOf is the revision of the whole store when the value was read. A watch
	// that resumes from it misses no change.
	AsOf uint64
}

// Item is a key with its value.
type Item struct {
	Key   string
	Value Value
}

// RelayAddress returns the peer address in a relay's record. It returns false if the
// record holds no address, since others can write to the store too.
func (i Item) RelayAddress() (string, bool) {
	s := string(i.Value.Data)
	a, err := netip.ParseAddrPort(s)
	return s, err == nil && a.Port() > 0
}

// LeaseID identifies a lease. The zero value means no lease.
type LeaseID uint64

// Freshness is the consistency required of a read.
type Freshness uint8

const (
	// Current reads return every write that completed before the request.
	Current Freshness = iota
	// Recent reads may be a few seconds stale. They cost the service a tenth of
	// a current read.
	Recent
)

// Store is a key-value service with compare-and-swap, leases and long-polling
// watches.
//
// Errors carry a verdict. They are classifier.NotFound for a missing key,
// classifier.Conflict for a failed comparison, classifier.Overloaded when the service's
// rate limits refuse the call, and otherwise classifier.Unavailable.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes a key if its revision is still the given one and returns the
	// new revision; revision 0 stands for a key that does not exist. The key is
	// deleted when its lease ends.
	Put(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error)
	// Delete deletes a key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision uint64) error
	// List returns all keys with a prefix and their values, in key order.
	List(ctx context.Context, prefix string, f Freshness) ([]Item, error)
	// Watch waits until a key changes after held was read and returns the new
	// value and true. When wait has passed without a change, it returns held with
	// AsOf updated, and false.
	Watch(ctx context.Context, key string, held Value, wait time.Duration) (Value, bool, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with classifier.NotFound once the lease
	// has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Keys and key prefixes in the store.
const (
	// HeadKey is the key of the accepted state.
	HeadKey = "head"
	// RelayPrefix is the prefix of the leased records, one for each relay.
	RelayPrefix = "relays/"
	// CatalogPrefix is the prefix of the catalogs, one for each profile.
	CatalogPrefix   = "catalogs/"
	bodyPrefix      = "bodies/"
	departurePrefix = "departures/"
	deltaPrefix     = "deltas/"
	// digestLength is the number of leading characters of a digest that the key
	// of a delta contains.
	digestLength = 16
)

// CatalogKey returns the key of a profile's catalog.
func CatalogKey(profile string) string {
	return CatalogPrefix + profile
}

// DeltaPrefix returns the key prefix of the deltas that produce the body with
// the given digest.
func DeltaPrefix(profile, digest string) string {
	return deltaPrefix + profile + "/" + digest[:digestLength] + "/"
}

// DeltaKey returns the key of the delta from the body with digest base to the
// body with digest digest.
func DeltaKey(profile, base, digest string) string {
	return DeltaPrefix(profile, digest) + base[:digestLength]
}

// DepartureKey returns the key of the record of a node's departed targets.
func DepartureKey(node string) string {
	return departurePrefix + node
}

// BodyKey returns the key of an immutable profile body.
func BodyKey(profile, digest string) string {
	return bodyPrefix + profile + "/" + digest
}
