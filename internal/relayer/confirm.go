package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	// maxConfirmBackoff is the longest pause between two reads that fail.
	maxConfirmBackoff = 2 * time.Second
	// confirmJitter is the part of confirmWithin over which the reads of nodes that lose
	// the same relays are spread.
	confirmJitter = 0.1
)

// keepConfirmed reads the configuration from the store when no other node has confirmed
// it in time: the relays are lost, cannot reach the store, or their confirmations do not
// arrive. A relay has its own watch.
func (r *Relayer) keepConfirmed(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForConfirmation)
	r.holder.Wait(ctx, 0)
	since := sleeper.Now()
	var last time.Time
	b := sleeper.Backoff{First: initialBackoff, Max: maxConfirmBackoff}
	for r.sleepWhileConfirmed(ctx, since) {
		begun := sleeper.Now()
		if begun.Sub(last) > 2*r.confirmWithin() {
			klog.InfoS("No other node confirms the configuration, reading the store", "generation", r.holder.Current().Generation())
		}
		last = begun
		v, err := r.read(ctx)
		if err != nil {
			klog.V(1).InfoS("Reading the configuration failed", "key", r.key(), "cause", err)
			b.Sleep(ctx)
			continue
		}
		b.Reset()
		r.confirmRead(v, begun)
	}
}

// sleepWhileConfirmed returns true once the node, if it is no relay, has to read the
// store. It returns false when ctx is done.
func (r *Relayer) sleepWhileConfirmed(ctx context.Context, since time.Time) bool {
	for {
		d := r.confirmedAt(since).Add(r.patience()).Sub(sleeper.Now())
		if d <= 0 && !r.gossiper.Self().Relay {
			return ctx.Err() == nil
		}
		if d <= 0 {
			d = electionPeriod
		}
		if !sleeper.Sleep(ctx, r.napUntil(d)+rand.N(time.Duration(confirmJitter*float64(r.confirmWithin())))) {
			return false
		}
	}
}

// confirmedAt returns the last time at which the configuration was confirmed, but not
// before since, when the node got its first one.
func (r *Relayer) confirmedAt(since time.Time) time.Time {
	if t := r.gossiper.ConfirmedAt(); t.After(since) {
		return t
	}
	return since
}

func (r *Relayer) confirmWithin() time.Duration {
	if r.ConfirmWithin > 0 {
		return r.ConfirmWithin
	}
	return DefaultConfirmWithin
}

// read reads and applies the configuration.
func (r *Relayer) read(ctx context.Context) (storer.Value, error) {
	if err := r.takeCall(); err != nil {
		return storer.Value{}, err
	}
	v, _, err := r.next(ctx, storer.Value{}, false)
	if err != nil {
		return storer.Value{}, err
	}
	return v, r.apply(ctx, v)
}

// confirm passes on that the store had no newer configuration at the time at.
func (r *Relayer) confirm(at time.Time) {
	if c := r.holder.Current(); c != nil {
		r.gossiper.Confirm(c.Generation(), c.StateDigest, at)
	}
}
