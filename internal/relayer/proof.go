package relayer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	// proofWait is how long the store may wait for a change while a relay only asks
	// whether there was one. A wait of 0 may stand for a default.
	proofWait = time.Millisecond
	// stagger is the part of confirmWithin for which a node whose parent answers waits
	// longer before it reads the store. Nodes that have lost their parents read first and
	// confirm the others', so that the number of reads does not grow with the mesh.
	stagger = 1.0 / 3
	// napPeriod is the interval of checks whether the parent still answers.
	napPeriod = 100 * time.Millisecond
)

// settle records that the node holds the configuration that the store had with v, or a
// newer one.
func (r *Relayer) settle(v storer.Value) {
	v.Data = nil
	r.settled.Store(&v)
}

// unsettle records that what the store has is not in force on this node.
func (r *Relayer) unsettle() {
	r.settled.Store(nil)
}

// confirmRead passes on that the store had no newer configuration at the time at, when
// the read that returned v began. If v could not be put in force, nothing is confirmed.
func (r *Relayer) confirmRead(v storer.Value, at time.Time) {
	if r.Prove {
		if s := r.settled.Load(); s == nil || s.Revision != v.Revision {
			return
		}
	}
	r.confirm(at)
}

// prove confirms the configuration by one or two small calls, or applies the newer one that they
// find. The renewal of the lease proves nothing about the configuration: the connection
// of the watch may have gone silent, or its answer may still be on its way.
//
// The read of the relay's slot returns a revision of the store that includes every write
// completed before. If the configuration has not changed up to that revision, the one that
// is held was the newest when the read began.
func (r *Relayer) prove(ctx context.Context) error {
	ctx = storer.WithPurpose(ctx, storer.ForConfirmation)
	ctx, cancel := context.WithTimeout(ctx, r.confirmWithin()/2)
	defer cancel()
	held := r.settled.Load()
	begun := sleeper.Now()
	slot, err := r.store.Get(ctx, r.slot)
	if err != nil || held == nil {
		return err
	}
	if slot.AsOf == held.AsOf {
		// Nothing has changed in the store, so that one call is enough.
		r.confirmRead(*held, begun)
		return nil
	}
	v, changed, err := r.store.Watch(ctx, r.key(), *held, proofWait)
	switch {
	case err != nil:
		return err
	case changed:
		if err := r.apply(ctx, v); err != nil {
			return err
		}
	case v.AsOf < slot.AsOf:
		return classifier.Error(classifier.Unavailable, classifier.NotRun, "relayer: the watch is at revision %d, the store at %d", v.AsOf, slot.AsOf)
	default:
		r.settle(v)
	}
	if v.AsOf >= slot.AsOf {
		r.confirmRead(v, begun)
	}
	return nil
}

// renewOrProve is one step of a relay whose confirmations have to be proved. It renews the
// lease when that is due, and returns when it did.
func (r *Relayer) renewOrProve(ctx context.Context, renewed time.Time) (time.Time, error) {
	if time.Since(renewed) >= renewPeriod {
		if err := r.keepAlive(ctx); err != nil {
			return renewed, err
		}
		renewed = time.Now()
	}
	if err := r.prove(ctx); err != nil {
		klog.V(1).InfoS("Confirming the configuration failed", "key", r.key(), "slot", r.slot, "cause", err)
		return renewed, err
	}
	return renewed, nil
}

// suspectWatch takes the watch for broken after a call that failed, unless the store has
// answered the call: it limits the rate of calls, and a new watch needs more of them.
func (r *Relayer) suspectWatch(err error) {
	if r.Prove && classifier.Is(err, classifier.Overloaded) {
		return
	}
	r.watching.interrupt()
}

// patience returns how long the node waits for a confirmation before it reads the store.
func (r *Relayer) patience() time.Duration {
	d := r.confirmWithin()
	if r.Prove && !r.gossiper.Orphaned() {
		d += time.Duration(stagger * float64(d))
	}
	return d
}

// napUntil returns for how long to sleep if the store has to be read after d unless the
// configuration is confirmed, or earlier if the parent no longer answers.
func (r *Relayer) napUntil(d time.Duration) time.Duration {
	if !r.Prove {
		return d
	}
	if e := d - time.Duration(stagger*float64(r.confirmWithin())); e > 0 {
		return e
	}
	return min(d, napPeriod)
}
