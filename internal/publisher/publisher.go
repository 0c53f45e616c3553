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
}

// New returns a publisher that acts in the name of operator.
func New(s storer.Store, operator string) *Publisher {
	return &Publisher{store: s, operator: operator}
}

// Publish stores p as a new version without putting it in force. Publishing
// the newest version again returns that version.
func (p *Publisher) Publish(ctx context.Context, f router.Profile, id string) (accepter.Version, error) {
	b := encoder.EncodeProfile(f)
	d := encoder.DigestOf(b)
	if err := p.putBody(ctx, storer.BodyKey(f.Name, d.String()), b); err != nil {
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

// putBody writes an immutable body. A body that exists already is the same.
func (p *Publisher) putBody(ctx context.Context, key string, body []byte) error {
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
		k := storer.BodyKey(c.Profile, v.Digest.String())
		b, err := p.store.Get(ctx, k)
		if err == nil {
			_ = p.store.Delete(ctx, k, b.Revision)
		}
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
		return p.checkBody(ctx, profile, v)
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

// checkBody refuses a version whose body nodes could not apply.
func (p *Publisher) checkBody(ctx context.Context, profile string, v accepter.Version) error {
	b, err := p.store.Get(ctx, storer.BodyKey(profile, v.Digest.String()))
	if err != nil {
		return err
	}
	if _, err := encoder.Verify(b.Data, v.Digest); err != nil {
		return judge.Wrap(err, judge.Invalid, judge.NotRun, "version %d of profile %q", v.Number, profile)
	}
	return nil
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
	l, err := p.store.List(ctx, storer.CatalogPrefix)
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
	b, err := p.store.Get(ctx, storer.BodyKey(name, v.Digest.String()))
	if err != nil {
		return router.Profile{}, v, err
	}
	f, err := encoder.Verify(b.Data, v.Digest)
	return f, v, err
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
