// Package publisher carries out the operators' operations on the store:
// publish, promote and withdraw. Acceptance is the compare-and-swap of the
// head record.
package publisher

import (
	"context"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	maxTries     = 8
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Publisher changes the accepted state on behalf of one operator.
type Publisher struct {
	store    storer.Store
	operator string
	// document is the key under which somebody else may keep the configuration.
	document string
}

// New returns a publisher that acts in the name of operator.
func New(s storer.Store, operator string) *Publisher {
	return &Publisher{store: s, operator: operator}
}

// WithDocument returns a publisher that refuses all changes while the store
// holds a configuration of another maker under key.
func (p *Publisher) WithDocument(key string) *Publisher {
	n := *p
	n.document = key
	return &n
}

// guard refuses a change where another maker rules.
func (p *Publisher) guard(ctx context.Context) error {
	if p.document == "" {
		return nil
	}
	err := p.repeat(ctx, func() error {
		_, err := p.store.Get(ctx, p.document)
		return err
	})
	if judge.Is(err, judge.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return judge.Error(judge.Conflict, judge.NotRun, "the operator's document %q is in force, and profiles are changed there", p.document)
}

// Publish stores p as a new version without putting it in force. Publishing
// the newest version again returns that version.
func (p *Publisher) Publish(ctx context.Context, f router.Profile, id string) (accepter.Version, error) {
	if err := p.guard(ctx); err != nil {
		return accepter.Version{}, err
	}
	n := encoder.Seal(f)
	d := n.Digest
	if err := p.putOnce(ctx, storer.BodyKey(f.Name, d.String()), encoder.EncodeProfile(f)); err != nil {
		return accepter.Version{}, err
	}
	if err := p.putDelta(ctx, n); err != nil {
		return accepter.Version{}, err
	}
	var r accepter.Version
	err := p.repeat(ctx, func() error {
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

// putDelta writes what turns the version in force into n, so that relays need
// not read the whole body. Without a version in force there is none.
func (p *Publisher) putDelta(ctx context.Context, n encoder.Sealed) error {
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
		return nil //nolint:nilerr // The delta only saves bytes; the body is there.
	}
	k := storer.DeltaKey(e.Profile, e.Digest.String(), n.Digest.String())
	return p.putOnce(ctx, k, encoder.EncodeDelta(encoder.Diff(o, n)))
}

// body reads and checks a stored body.
func (p *Publisher) body(ctx context.Context, profile string, d encoder.Digest) (encoder.Sealed, error) {
	b, err := p.store.Get(ctx, storer.BodyKey(profile, d.String()))
	if err != nil {
		return encoder.Sealed{}, err
	}
	s, err := encoder.Verify(b.Data, d)
	if err != nil {
		return s, judge.Wrap(err, judge.Invalid, judge.NotRun, "body of profile %q", profile)
	}
	return s, nil
}

// putOnce writes an immutable value. One that exists already is the same.
func (p *Publisher) putOnce(ctx context.Context, key string, body []byte) error {
	return p.repeat(ctx, func() error {
		_, err := p.store.Put(ctx, key, body, 0, 0)
		if judge.Is(err, judge.Conflict) {
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
	if o, ok := c.Published(v.Operation); ok {
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
	p.dropBodies(ctx, u, d)
	return r, nil
}

// dropBodies removes the bodies of pruned versions. What fails stays behind
// and does no harm.
func (p *Publisher) dropBodies(ctx context.Context, c accepter.Catalog, dropped []accepter.Version) {
	for _, v := range dropped {
		if holds(c, v.Digest) {
			continue
		}
		p.drop(ctx, storer.BodyKey(c.Profile, v.Digest.String()))
		l, _ := p.store.List(ctx, storer.DeltaPrefix(c.Profile, v.Digest.String()), storer.Current)
		for _, i := range l {
			p.drop(ctx, i.Key)
		}
	}
}

func (p *Publisher) drop(ctx context.Context, key string) {
	v, err := p.store.Get(ctx, key)
	if err == nil {
		_ = p.store.Delete(ctx, key, v.Revision)
	}
}

func holds(c accepter.Catalog, d encoder.Digest) bool {
	for _, v := range c.Versions {
		if v.Digest == d {
			return true
		}
	}
	return false
}

// Promote puts a published version in force; version 0 stands for the newest.
func (p *Publisher) Promote(ctx context.Context, profile string, version uint64, id string) (accepter.Operation, error) {
	var v accepter.Version
	err := p.repeat(ctx, func() error {
		c, _, err := p.catalog(ctx, profile)
		if err != nil {
			return err
		}
		n, ok := c.Version(version)
		if !ok {
			return judge.Error(judge.NotFound, judge.NotRun, "version %d of profile %q is not published", version, profile)
		}
		v = n
		// A version whose body nodes could not apply is refused here.
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

// Withdraw takes a profile out of force. Its services move to fallback.
func (p *Publisher) Withdraw(ctx context.Context, profile, fallback, id string) (accepter.Operation, error) {
	return p.change(ctx, accepter.Operation{
		ID:       id,
		Kind:     accepter.Withdraw,
		Profile:  profile,
		Fallback: fallback,
		Operator: p.operator,
	})
}

// State reads the accepted state and its revision, 0 when there is none yet.
func (p *Publisher) State(ctx context.Context) (accepter.State, uint64, error) {
	v, err := p.store.Get(ctx, storer.HeadKey)
	if judge.Is(err, judge.NotFound) {
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

// Profile reads a published version; version 0 stands for the newest.
func (p *Publisher) Profile(ctx context.Context, name string, version uint64) (router.Profile, accepter.Version, error) {
	c, _, err := p.catalog(ctx, name)
	if err != nil {
		return router.Profile{}, accepter.Version{}, err
	}
	v, ok := c.Version(version)
	if !ok {
		return router.Profile{}, v, judge.Error(judge.NotFound, judge.NotRun, "version %d of profile %q is not published", version, name)
	}
	f, err := p.body(ctx, name, v.Digest)
	return f.Profile, v, err
}

func (p *Publisher) catalog(ctx context.Context, profile string) (accepter.Catalog, uint64, error) {
	v, err := p.store.Get(ctx, storer.CatalogKey(profile))
	if judge.Is(err, judge.NotFound) {
		return accepter.Catalog{Profile: profile}, 0, nil
	}
	if err != nil {
		return accepter.Catalog{}, 0, err
	}
	c, err := accepter.DecodeCatalog(v.Data)
	return c, v.Revision, err
}
