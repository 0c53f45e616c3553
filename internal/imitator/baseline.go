package imitator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	baselineWait    = 10 * time.Second
	baselineBackoff = 100 * time.Millisecond
)

// Baseline is the design that the product is measured against: every node
// watches the store itself and fetches whole bodies.
type Baseline struct {
	Store storer.Store

	holder holder.Holder
}

type baselineJSON struct {
	Generation uint64             `json:"generation"`
	Applied    []baselineApplJSON `json:"applied"`
}

type baselineApplJSON struct {
	Generation uint64    `json:"generation"`
	At         time.Time `json:"at"`
}

// Run follows the store until ctx is done.
func (b *Baseline) Run(ctx context.Context) {
	var held storer.Value
	for ctx.Err() == nil {
		v, ok, err := b.Store.Watch(ctx, storer.HeadKey, held, baselineWait)
		if err == nil && ok && v.Revision != 0 {
			err = b.take(ctx, v)
		}
		if err != nil {
			klog.V(1).Infof("baseline: %v", err)
			time.Sleep(baselineBackoff)
			continue
		}
		held = v
	}
}

func (b *Baseline) take(ctx context.Context, v storer.Value) error {
	s, err := accepter.DecodeState(v.Data)
	if err != nil {
		return err
	}
	var l []*holder.Profile
	c := b.holder.Current()
	for _, e := range s.Entries {
		if p := c.Profile(e.Profile); e.Withdrawn() || (p != nil && p.Digest == e.Digest) {
			continue
		}
		p, err := b.fetch(ctx, e)
		if err != nil {
			return err
		}
		l = append(l, p)
	}
	_, err = b.holder.Offer(s, l)
	return err
}

func (b *Baseline) fetch(ctx context.Context, e accepter.Entry) (*holder.Profile, error) {
	v, err := b.Store.Get(ctx, storer.BodyKey(e.Profile, e.Digest.String()))
	if err != nil {
		return nil, err
	}
	p, err := encoder.DecodeVerified(v.Data, e.Digest)
	if err != nil {
		return nil, err
	}
	return holder.NewProfile(p), nil
}

// Handler serves the same fields of the dump that a node serves.
func (b *Baseline) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) {
		j := baselineJSON{Generation: b.holder.Current().Generation(), Applied: []baselineApplJSON{}}
		for _, a := range b.holder.AppliedGenerations() {
			j.Applied = append(j.Applied, baselineApplJSON{Generation: a.Generation, At: a.At})
		}
		_ = json.NewEncoder(w).Encode(j)
	})
	return m
}
