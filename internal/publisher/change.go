package publisher

import (
	"context"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// attempt tracks one operation across retries of its compare-and-swap.
type attempt struct {
	operation accepter.Operation
	// base is the entry of the profile at the first read; baseKnown is set once it
	// is known.
	base      accepter.Entry
	baseKnown bool
	// outcomeUnknown is set once a write has had an unknown outcome. The first such
	// write was based on generation.
	outcomeUnknown bool
	generation     uint64
}

// change applies o to the head record with a compare-and-swap. An error with
// classifier.MayHaveRun means that the outcome is unknown.
func (p *Publisher) change(ctx context.Context, o accepter.Operation) (accepter.Operation, error) {
	if err := p.refuseIfDocument(ctx); err != nil {
		return accepter.Operation{}, err
	}
	a := &attempt{operation: o}
	var r accepter.Operation
	err := p.retry(ctx, func() error {
		var err error
		r, err = p.compareAndSwap(ctx, a)
		return err
	})
	if err != nil && a.outcomeUnknown && !isFinal(err) {
		return r, classifier.Wrap(err, classifier.Unavailable, classifier.MayHaveRun,
			"operation %s on profile %q: outcome unknown", o.ID, o.Profile)
	}
	return r, err
}

func (p *Publisher) compareAndSwap(ctx context.Context, a *attempt) (accepter.Operation, error) {
	s, n, err := p.State(ctx)
	if err != nil {
		return accepter.Operation{}, err
	}
	if o, ok := s.Operation(a.operation.ID); ok {
		return o, nil
	}
	if a.outcomeUnknown && !s.HasHistoryAfter(a.generation) {
		return accepter.Operation{}, classifier.Error(classifier.Unavailable, classifier.MayHaveRun,
			"the history after generation %d has been discarded", a.generation)
	}
	if err := a.checkBase(s); err != nil {
		return accepter.Operation{}, err
	}
	a.operation.AcceptedAt = time.Now().UTC()
	u, err := s.Change(a.operation)
	if err != nil {
		return accepter.Operation{}, err
	}
	if u.Generation == s.Generation {
		return resultWithoutChange(s, a.operation), nil
	}
	_, err = p.store.Put(ctx, storer.HeadKey, accepter.EncodeState(u), n, 0)
	if err != nil {
		a.noteUnknownOutcome(err, s)
		return accepter.Operation{}, retriable(err)
	}
	return u.Operations[len(u.Operations)-1], nil
}

// checkBase records the entry that the operation replaces at the first read. On
// later reads it returns a conflict if another operation has changed that entry.
func (a *attempt) checkBase(s accepter.State) error {
	e, _ := s.Entry(a.operation.Profile)
	if !a.baseKnown {
		a.base = e
		a.baseKnown = true
		return nil
	}
	if e == a.base {
		return nil
	}
	w, _ := s.LatestOperation(a.operation.Profile)
	return classifier.Error(classifier.Conflict, classifier.NotRun,
		"profile %q was changed first: %s to version %d by %q at generation %d; yours is still published and can be promoted again",
		w.Profile, w.Kind, w.Version, w.Operator, w.Generation)
}

func (a *attempt) noteUnknownOutcome(err error, s accepter.State) {
	if classifier.VerdictOf(err) == classifier.MayHaveRun && !a.outcomeUnknown {
		a.outcomeUnknown = true
		a.generation = s.Generation
	}
}

// resultWithoutChange returns the result of an operation that has no effect: the latest
// operation on its profile or, where the history has none, o itself.
func resultWithoutChange(s accepter.State, o accepter.Operation) accepter.Operation {
	if l, ok := s.LatestOperation(o.Profile); ok {
		return l
	}
	o.Generation = s.Generation
	return o
}

// swapConflict marks a compare-and-swap conflict that may be resolved by reading
// the record again and retrying.
var swapConflict = classifier.Conflict.NewSubtype("lost_race")

func retriable(err error) error {
	if classifier.Is(err, classifier.Conflict) {
		return classifier.Wrap(err, swapConflict, classifier.NotRun, "publisher: record changed since it was read")
	}
	return err
}

// isFinal reports whether err cannot be resolved by a retry.
func isFinal(err error) bool {
	if classifier.Is(err, swapConflict) {
		return false
	}
	return classifier.Is(err, classifier.Conflict) || classifier.Is(err, classifier.Invalid) || classifier.Is(err, classifier.NotFound)
}

// retry calls f with exponential backoff until it succeeds, returns a final
// error, has been called maxAttempts times, or ctx is done.
func (p *Publisher) retry(ctx context.Context, f func() error) error {
	var err error
	b := sleeper.Backoff{First: firstBackoff, Max: maxBackoff}
	for range maxAttempts {
		err = f()
		if err == nil || isFinal(err) {
			return err
		}
		if !b.Sleep(ctx) {
			return err
		}
	}
	return err
}
