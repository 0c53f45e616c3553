package publisher

import (
	"context"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// attempt is one operation on its way to acceptance.
type attempt struct {
	operation accepter.Operation
	// base is the entry that the operator saw; decided says that it is known.
	base    accepter.Entry
	decided bool
	// sent says that a write may have been left without an answer, after
	// generation was read.
	sent       bool
	generation uint64
}

// change swaps the head record. An error with judge.MayHaveRun means that the
// outcome could not be found out.
func (p *Publisher) change(ctx context.Context, o accepter.Operation) (accepter.Operation, error) {
	if err := p.guard(ctx); err != nil {
		return accepter.Operation{}, err
	}
	a := &attempt{operation: o}
	var r accepter.Operation
	err := p.repeat(ctx, func() error {
		var err error
		r, err = p.try(ctx, a)
		return err
	})
	if err != nil && a.sent && !isFinal(err) {
		return r, judge.Wrap(err, judge.Unavailable, judge.MayHaveRun,
			"operation %s on profile %q: outcome unknown", o.ID, o.Profile)
	}
	return r, err
}

func (p *Publisher) try(ctx context.Context, a *attempt) (accepter.Operation, error) {
	s, n, err := p.State(ctx)
	if err != nil {
		return accepter.Operation{}, err
	}
	if o, ok := s.Operation(a.operation.ID); ok {
		return o, nil
	}
	if a.sent && !s.Remembers(a.generation) {
		return accepter.Operation{}, judge.Error(judge.Unavailable, judge.MayHaveRun,
			"the history after generation %d is no longer kept", a.generation)
	}
	if err := a.decide(s); err != nil {
		return accepter.Operation{}, err
	}
	a.operation.AcceptedAt = time.Now().UTC()
	u, err := s.Change(a.operation)
	if err != nil {
		return accepter.Operation{}, err
	}
	if u.Generation == s.Generation {
		return unchanged(s, a.operation), nil
	}
	_, err = p.store.Put(ctx, storer.HeadKey, accepter.EncodeState(u), n, 0)
	if err != nil {
		a.note(err, s)
		return accepter.Operation{}, retriable(err)
	}
	return u.Operations[len(u.Operations)-1], nil
}

// decide fixes the entry that the operation replaces at the first read, and
// refuses the operation when somebody else has replaced that entry since.
func (a *attempt) decide(s accepter.State) error {
	e, _ := s.Entry(a.operation.Profile)
	if !a.decided {
		a.base = e
		a.decided = true
		return nil
	}
	if e == a.base {
		return nil
	}
	w, _ := s.Latest(a.operation.Profile)
	return judge.Error(judge.Conflict, judge.NotRun,
		"profile %q was changed first: %s to version %d by %q at generation %d; yours is still published and can be promoted again",
		w.Profile, w.Kind, w.Version, w.Operator, w.Generation)
}

func (a *attempt) note(err error, s accepter.State) {
	if judge.Of(err) == judge.MayHaveRun && !a.sent {
		a.sent = true
		a.generation = s.Generation
	}
}

// unchanged describes an operation that was in force already.
func unchanged(s accepter.State, o accepter.Operation) accepter.Operation {
	if l, ok := s.Latest(o.Profile); ok {
		return l
	}
	o.Generation = s.Generation
	return o
}

// lostRace marks a conflict that reading again may solve.
var lostRace = judge.Conflict.NewSubtype("lost_race")

func retriable(err error) error {
	if judge.Is(err, judge.Conflict) {
		return judge.Wrap(err, lostRace, judge.NotRun, "publisher: record changed meanwhile")
	}
	return err
}

// isFinal reports whether trying again can not help.
func isFinal(err error) bool {
	if judge.Is(err, lostRace) {
		return false
	}
	return judge.Is(err, judge.Conflict) || judge.Is(err, judge.Invalid) || judge.Is(err, judge.NotFound)
}

// repeat calls f until it succeeds, fails for good, or tries run out.
func (p *Publisher) repeat(ctx context.Context, f func() error) error {
	var err error
	b := sleeper.Backoff{First: firstBackoff, Max: maxBackoff}
	for range maxTries {
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
