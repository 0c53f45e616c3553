package accepter

import (
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

// CatalogLength is the number of published versions kept for a profile.
const CatalogLength = 128

// Version is one published body of a profile.
type Version struct {
	Number      uint64
	Digest      encoder.Digest
	Operation   string
	Operator    string
	PublishedAt time.Time
}

// Catalog lists the published versions of one profile, oldest first. It is
// immutable; the zero value has no versions.
type Catalog struct {
	Profile  string
	Versions []Version
}

// Version returns the version with this number; zero selects the newest.
func (c Catalog) Version(number uint64) (Version, bool) {
	for _, v := range slices.Backward(c.Versions) {
		if number == 0 || v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// VersionByOperation returns the version that the operation with this ID published.
func (c Catalog) VersionByOperation(id string) (Version, bool) {
	for _, v := range c.Versions {
		if v.Operation == id {
			return v, true
		}
	}
	return Version{}, false
}

// WithVersion returns the catalog with v appended as the newest version and v
// with its number, one above the previous newest. It adds nothing if the newest
// version already has the same digest.
func (c Catalog) WithVersion(v Version) (Catalog, Version) {
	n, ok := c.Version(0)
	if ok && n.Digest == v.Digest {
		return c, n
	}
	v.Number = n.Number + 1
	c.Versions = append(slices.Clone(c.Versions), v)
	return c, v
}

// Prune returns the catalog without the oldest versions that exceed
// CatalogLength, and the versions that it removed. Version inForce is kept.
func (c Catalog) Prune(inForce uint64) (Catalog, []Version) {
	excess := len(c.Versions) - CatalogLength
	var kept, removed []Version
	for i, v := range c.Versions {
		if i < excess && v.Number != inForce {
			removed = append(removed, v)
			continue
		}
		kept = append(kept, v)
	}
	c.Versions = kept
	return c, removed
}
