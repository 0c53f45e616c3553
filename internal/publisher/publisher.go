// Package publisher implements the operators' operations on the store: publish,
// promote and withdraw. An operation is accepted by a compare-and-swap of the
// head record.
package publisher

import (
	"context"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	maxAttempts  = 8
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Publisher changes the accepted state on behalf of one operator.
type Publisher struct {
	store    storer.Store
	operator string
	// documentKey is the key of the operator's document, empty if there is none. While
	// that key exists, the configuration is managed outside this package.
	documentKey string
}

// New returns a publisher that records operator as the author of its changes.
func New(s storer.Store, operator string) *Publisher {
	return &Publisher{store: s, operator: operator}
}

// WithDocument returns a publisher that refuses all changes while the store has
// the operator's document under key.
func (p *Publisher) WithDocument(key string) *Publisher {
	n := *p
	n.documentKey = key
	return &n
}

// refuseIfDocument returns a conflict if the store has the operator's document.
func (p *Publisher) refuseIfDocument(ctx context.Context) error {
	if p.documentKey == "" {
		return nil
	}
	err := p.retry(ctx, func() error {
		_, err := p.store.Get(ctx, p.documentKey)
		return err
	})
	if classifier.Is(err, classifier.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return classifier.Error(classifier.Conflict, classifier.NotRun, "the operator's document %q is in force, and profiles are changed there", p.documentKey)
}

// Publish stores f as a new version without putting it in force. Publishing
// the newest version again returns that version.
func (p *Publisher) Publish(ctx context.Context, f router.Profile, id string) (accepter.Version, error) {
	if err := p.refuseIfDocument(ctx); err != nil {
		return accepter.Version{}, err
	}
	n := encoder.HashProfile(f)
	d := n.Digest
	if err := p.putOnce(ctx, storer.BodyKey(f.Name, d.String()), encoder.EncodeProfile(f)); err != nil {
		return accepter.Version{}, err
	}
	if err := p.putDelta(ctx, n); err != nil {
		return accepter.Version{}, err
	}
	var r accepter.Version
	err := p.retry(ctx, func() error {
		var err error
		r, err = p.addVersion(ctx, f.Name, accepter.Version{
			Digest:      d,
			Operation:   id,
			Operator:    p.operator,
			PublishedAt: time.Now().UTC(),
		})
		return err
	})
	return r, err
}

// putDelta stores the delta from the version in force to n, so that relays need
// not read the whole body. It stores nothing if no version is in force.
func (p *Publisher) putDelta(ctx context.Context, n encoder.HashedProfile) error {
	s, _, err := p.State(ctx)
	if err != nil {
		return err
	}
	e, ok := s.Entry(n.Profile.Name)
	if !ok || e.Withdrawn() || e.Digest == n.Digest {
		return nil
	}
	o, err := p.body(ctx, e.Profile, e.Digest)
	if err != nil {
		return nil //nolint:nilerr // The delta is an optimization; the whole body is stored.
	}
	k := storer.DeltaKey(e.Profile, e.Digest.String(), n.Digest.String())
	return p.putOnce(ctx, k, encoder.EncodeDelta(encoder.Diff(o, n)))
}

// body reads a stored body and verifies its digest.
func (p *Publisher) body(ctx context.Context, profile string, d encoder.Digest) (encoder.HashedProfile, error) {
	b, err := p.store.Get(ctx, storer.BodyKey(profile, d.String()))
	if err != nil {
		return encoder.HashedProfile{}, err
	}
	s, err := encoder.DecodeVerified(b.Data, d)
	if err != nil {
		return s, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "body of profile %q", profile)
	}
	return s, nil
}

// putOnce writes an immutable value. A conflict is no error: a value that already
// exists under the key is the same.
func (p *Publisher) putOnce(ctx context.Context, key string, body []byte) error {
	return p.retry(ctx, func() error {
		_, err := p.store.Put(ctx, key, body, 0, 0)
		if classifier.Is(err, classifier.Conflict) {
			return nil
		}
		return err
	})
}

func (p *Publisher) addVersion(ctx context.Context, profile string, v accepter.Version) (accepter.Version, error) {
	k := storer.CatalogKey(profile)
	c, n, err := p.catalog(ctx, profile)
	if err != nil {
		return accepter.Version{}, err
	}
	if o, ok := c.VersionByOperation(v.Operation); ok {
		return o, nil
	}
	u, r := c.WithVersion(v)
	if len(u.Versions) == len(c.Versions) {
		return r, nil
	}
	s, _, err := p.State(ctx)
	if err != nil {
		return accepter.Version{}, err
	}
	e, _ := s.Entry(profile)
	u, d := u.Prune(e.Version)
	if _, err := p.store.Put(ctx, k, accepter.EncodeCatalog(u), n, 0); err != nil {
		return accepter.Version{}, retriable(err)
	}
	p.deleteBodies(ctx, u, d)
	return r, nil
}

// deleteBodies deletes the bodies of pruned versions and the deltas that belong to
// them. It ignores errors, because values that remain are harmless.
func (p *Publisher) deleteBodies(ctx context.Context, c accepter.Catalog, dropped []accepter.Version) {
	for _, v := range dropped {
		if hasDigest(c, v.Digest) {
			continue
		}
		p.deleteValue(ctx, storer.BodyKey(c.Profile, v.Digest.String()))
		l, _ := p.store.List(ctx, storer.DeltaPrefix(c.Profile, v.Digest.String()), storer.Current)
		for _, i := range l {
			p.deleteValue(ctx, i.Key)
		}
	}
}

func (p *Publisher) deleteValue(ctx context.Context, key string) {
	v, err := p.store.Get(ctx, key)
	if err == nil {
		_ = p.store.Delete(ctx, key, v.Revision)
	}
}

func hasDigest(c accepter.Catalog, d encoder.Digest) bool {
	for _, v := range c.Versions {
		if v.Digest == d {
			return true
		}
	}
	return false
}

// Promote puts a published version in force; version 0 selects the newest.
func (p *Publisher) Promote(ctx context.Context, profile string, version uint64, id string) (accepter.Operation, error) {
	var v accepter.Version
	err := p.retry(ctx, func() error {
		c, _, err := p.catalog(ctx, profile)
		if err != nil {
			return err
		}
		n, ok := c.Version(version)
		if !ok {
			return classifier.Error(classifier.NotFound, classifier.NotRun, "version %d of profile %q is not published", version, profile)
		}
		v = n
		// Refuse a version with a body that nodes could not apply.
		_, err = p.body(ctx, profile, v.Digest)
		return err
	})
	if err != nil {
		return accepter.Operation{}, err
	}
	return p.change(ctx, accepter.Operation{
		ID:       id,
		Kind:     accepter.Promote,
		Profile:  profile,
		Version:  v.Number,
		Digest:   v.Digest,
		Operator: p.operator,
	})
}

// Withdraw takes a profile out of force; fallback serves in its place.
func (p *Publisher) Withdraw(ctx context.Context, profile, fallback, id string) (accepter.Operation, error) {
	return p.change(ctx, accepter.Operation{
		ID:       id,
		Kind:     accepter.Withdraw,
		Profile:  profile,
		Fallback: fallback,
		Operator: p.operator,
	})
}

// State reads the accepted state and the revision of its record, 0 if there is
// no state yet.
func (p *Publisher) State(ctx context.Context) (accepter.State, uint64, error) {
	v, err := p.store.Get(ctx, storer.HeadKey)
	if classifier.Is(err, classifier.NotFound) {
		return accepter.State{}, 0, nil
	}
	if err != nil {
		return accepter.State{}, 0, err
	}
	s, err := accepter.DecodeState(v.Data)
	return s, v.Revision, err
}

// Catalogs reads the catalog of every profile.
func (p *Publisher) Catalogs(ctx context.Context) ([]accepter.Catalog, error) {
	l, err := p.store.List(ctx, storer.CatalogPrefix, storer.Current)
	if err != nil {
		return nil, err
	}
	r := make([]accepter.Catalog, 0, len(l))
	for _, i := range l {
		c, err := accepter.DecodeCatalog(i.Value.Data)
		if err != nil {
			return nil, err
		}
		r = append(r, c)
	}
	return r, nil
}

// Profile reads a published version; version 0 selects the newest.
func (p *Publisher) Profile(ctx context.Context, name string, version uint64) (router.Profile, accepter.Version, error) {
	c, _, err := p.catalog(ctx, name)
	if err != nil {
		return router.Profile{}, accepter.Version{}, err
	}
	v, ok := c.Version(version)
	if !ok {
		return router.Profile{}, v, classifier.Error(classifier.NotFound, classifier.NotRun, "version %d of profile %q is not published", version, name)
	}
	f, err := p.body(ctx, name, v.Digest)
	return f.Profile, v, err
}

func (p *Publisher) catalog(ctx context.Context, profile string) (accepter.Catalog, uint64, error) {
	v, err := p.store.Get(ctx, storer.CatalogKey(profile))
	if classifier.Is(err, classifier.NotFound) {
		return accepter.Catalog{Profile: profile}, 0, nil
	}
	if err != nil {
		return accepter.Catalog{}, 0, err
	}
	c, err := accepter.DecodeCatalog(v.Data)
	return c, v.Revision, err
}
