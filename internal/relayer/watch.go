package relayer

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// watch waits for changes of the configuration in the store and applies them.
func (r *Relayer) watch(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForWatch)
	var held storer.Value
	known := false
	b := sleeper.Backoff{First: initialBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		begun := sleeper.Now()
		v, changed, err := r.step(ctx, held, known)
		r.setConnected(err)
		if err != nil {
			klog.V(1).InfoS("Watching the store failed", "key", r.key(), "cause", err)
			r.pausing.run(ctx, func(ctx context.Context) { b.Sleep(ctx) })
			known = false
			continue
		}
		if !known {
			r.confirmRead(v, begun)
		}
		b.Reset()
		held, known = v, true
		if !changed && sleeper.Now().Sub(begun) < initialBackoff {
			// The store answered at once without a change; avoid a busy loop.
			sleeper.Sleep(ctx, initialBackoff)
		}
	}
}

// step makes one call to the store and applies what has changed.
func (r *Relayer) step(ctx context.Context, held storer.Value, known bool) (v storer.Value, changed bool, err error) {
	r.watching.run(ctx, func(ctx context.Context) {
		v, changed, err = r.next(ctx, held, known)
		if err == nil && changed {
			err = r.apply(ctx, v)
		}
	})
	return v, changed, err
}

// setConnected records whether the store is reachable and logs each change.
func (r *Relayer) setConnected(err error) {
	if r.connected.Swap(err == nil) == (err == nil) {
		return
	}
	if err != nil {
		klog.InfoS("Store lost", "cause", err)
		return
	}
	klog.InfoS("Store found")
}

// key returns the key of the configuration in the store.
func (r *Relayer) key() string {
	if r.document != nil {
		return r.document.Key
	}
	return storer.HeadKey
}

// next reads the configuration's record if it is not known yet, and otherwise
// waits up to watchWait for a change of it.
func (r *Relayer) next(ctx context.Context, held storer.Value, known bool) (storer.Value, bool, error) {
	if known {
		return r.store.Watch(ctx, r.key(), held, watchWait)
	}
	v, err := r.store.Get(ctx, r.key())
	if classifier.Is(err, classifier.NotFound) {
		return storer.Value{}, true, nil
	}
	return v, err == nil, err
}

// applyDocument applies the operator's document.
func (r *Relayer) applyDocument(v storer.Value) error {
	if v.Revision == 0 {
		r.settle(v)
		return nil
	}
	n, p, err := r.document.Decode(v.Data)
	if err != nil {
		// Wait for the next version, which may be valid. A version that no node can use was
		// never accepted, so that the one in force is still the newest.
		r.settle(v)
		klog.ErrorS(err, "Configuration is not usable", "key", r.document.Key, "revision", v.Revision)
		return nil
	}
	f := encoder.HashProfile(p)
	s := accepter.State{Generation: n}.WithEntries([]accepter.Entry{{Profile: p.Name, Version: n, Digest: f.Digest}})
	o, err := r.holder.Offer(s, []*holder.Profile{holder.NewProfile(f)})
	klog.InfoS("Configuration read from the store", "generation", n, "revision", v.Revision, "outcome", o, "routes", len(p.Routes))
	r.settleOffer(v, o, err)
	return err
}

// settleOffer records the outcome of offering the configuration in v.
func (r *Relayer) settleOffer(v storer.Value, o holder.Outcome, err error) {
	if err != nil || o == holder.Forked {
		r.unsettle()
		return
	}
	r.settle(v)
}

// apply applies the stored state, or repairs the store if it was rolled back to
// older data.
func (r *Relayer) apply(ctx context.Context, v storer.Value) error {
	if r.document != nil {
		return r.applyDocument(v)
	}
	s := accepter.State{}
	if v.Revision != 0 {
		d, err := accepter.DecodeState(v.Data)
		if err != nil {
			return err
		}
		s = d
	}
	c := r.holder.Current()
	if c != nil && !s.CanSucceed(c.State) {
		r.unsettle()
		return r.repair(ctx, c, s, v.Revision)
	}
	l, err := r.bodies(ctx, s, c)
	if err != nil {
		return err
	}
	o, err := r.holder.Offer(s, l)
	if o == holder.Stale || o == holder.Forked {
		klog.Warningf(logPrefix+"Refused generation %d: %s.", s.Generation, o)
	}
	r.settleOffer(v, o, err)
	return err
}

// bodies reads the bodies of s that c does not have.
func (r *Relayer) bodies(ctx context.Context, s accepter.State, c *holder.Snapshot) ([]*holder.Profile, error) {
	var l []*holder.Profile
	for _, e := range s.Entries {
		p := c.Profile(e.Profile)
		if e.Withdrawn() || (p != nil && p.Digest == e.Digest) {
			continue
		}
		f, err := r.body(ctx, e, p)
		if err != nil {
			return nil, err
		}
		l = append(l, holder.NewProfile(f))
	}
	return l, nil
}

// body reads one body. It applies the stored delta to the held version if there
// is such a delta, and reads the whole body otherwise.
func (r *Relayer) body(ctx context.Context, e accepter.Entry, held *holder.Profile) (encoder.HashedProfile, error) {
	if held != nil {
		f, err := r.patch(ctx, e, held.Sealed)
		if err == nil {
			return f, nil
		}
		klog.V(1).Infof(logPrefix+"Applying a delta to %s failed; reading the whole body: %v", e.Profile, err)
	}
	v, err := r.store.Get(ctx, storer.BodyKey(e.Profile, e.Digest.String()))
	if err != nil {
		return encoder.HashedProfile{}, err
	}
	return encoder.DecodeVerified(v.Data, e.Digest)
}

func (r *Relayer) patch(ctx context.Context, e accepter.Entry, held encoder.HashedProfile) (encoder.HashedProfile, error) {
	v, err := r.store.Get(ctx, storer.DeltaKey(e.Profile, held.Digest.String(), e.Digest.String()))
	if err != nil {
		return encoder.HashedProfile{}, err
	}
	return held.Patch(v.Data, e.Digest)
}

// repair restores the accepted state after the store was rolled back to older
// data. Operations that the store accepted since are applied on top.
func (r *Relayer) repair(ctx context.Context, c *holder.Snapshot, s accepter.State, revision uint64) error {
	m := accepter.Merge(c.State, s)
	klog.Warningf(logPrefix+"The store was rolled back from generation %d to %d; writing generation %d.",
		c.Generation(), s.Generation, m.Generation)
	if err := r.takeCall(); err != nil {
		return err
	}
	for _, e := range m.Entries {
		if err := r.restoreBody(ctx, c, e); err != nil {
			return err
		}
	}
	// On a conflict another node wrote first; the next read returns its state.
	_, err := r.store.Put(ctx, storer.HeadKey, accepter.EncodeState(m), revision, 0)
	return err
}

func (r *Relayer) restoreBody(ctx context.Context, c *holder.Snapshot, e accepter.Entry) error {
	p := c.Profile(e.Profile)
	if e.Withdrawn() || p == nil || p.Digest != e.Digest {
		return nil
	}
	k := storer.BodyKey(e.Profile, e.Digest.String())
	_, err := r.store.Put(ctx, k, encoder.EncodeProfile(p.Profile), 0, 0)
	if classifier.Is(err, classifier.Conflict) {
		return nil
	}
	return err
}
