// Package accepter defines the accepted state of the mesh and the pure functions
// that change it: which profile versions are in force, and which operations put
// them in force.
package accepter

import (
	"slices"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
)

// HistoryLength is the number of recent operations that a state keeps.
const HistoryLength = 32

// Kind is the type of an operation.
type Kind string

// The kinds of operations.
const (
	Promote  Kind = "promote"
	Withdraw Kind = "withdraw"
)

// Entry is one profile of the accepted state. It is either in force, with a
// version and digest, or withdrawn, with a fallback.
type Entry struct {
	Profile  string
	Version  uint64
	Digest   encoder.Digest
	Fallback string
}

// Withdrawn reports whether another profile serves in place of this one.
func (e Entry) Withdrawn() bool {
	return e.Fallback != ""
}

// Operation is one accepted change. The operator's client chooses ID, so that it
// can find out whether a write took effect whose response was lost.
type Operation struct {
	ID         string
	Kind       Kind
	Profile    string
	Version    uint64
	Digest     encoder.Digest
	Fallback   string
	Operator   string
	Generation uint64
	AcceptedAt time.Time
}

func (o Operation) entry() Entry {
	if o.Kind == Withdraw {
		return Entry{Profile: o.Profile, Fallback: o.Fallback}
	}
	return Entry{Profile: o.Profile, Version: o.Version, Digest: o.Digest}
}

// State is the accepted state at one generation. It is immutable; the zero
// value is the state before the first operation.
type State struct {
	// Generation increases by one with each operation.
	Generation uint64
	// Entries is sorted by profile.
	Entries []Entry
	// Operations holds the most recent operations, oldest first.
	Operations []Operation
}

// Entry returns the entry of profile.
func (s State) Entry(profile string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(s.Entries, profile, compareEntry)
	if !ok {
		return Entry{}, false
	}
	return s.Entries[i], true
}

// Operation returns the operation with this ID from the history.
func (s State) Operation(id string) (Operation, bool) {
	for _, o := range s.Operations {
		if o.ID == id {
			return o, true
		}
	}
	return Operation{}, false
}

// HasHistoryAfter reports whether the history has every operation after generation.
func (s State) HasHistoryAfter(generation uint64) bool {
	if generation >= s.Generation {
		return true
	}
	return len(s.Operations) > 0 && s.Operations[0].Generation <= generation+1
}

// OperationsAfter returns the operations of the history after generation.
func (s State) OperationsAfter(generation uint64) []Operation {
	var l []Operation
	for _, o := range s.Operations {
		if o.Generation > generation {
			l = append(l, o)
		}
	}
	return l
}

// LatestOperation returns the most recent operation on profile in the history.
func (s State) LatestOperation(profile string) (Operation, bool) {
	for _, o := range slices.Backward(s.Operations) {
		if o.Profile == profile {
			return o, true
		}
	}
	return Operation{}, false
}

// WithEntries returns the state with its entries replaced by entries, sorted by
// profile.
func (s State) WithEntries(entries []Entry) State {
	s.Entries = slices.Clone(entries)
	slices.SortFunc(s.Entries, func(a, b Entry) int { return strings.Compare(a.Profile, b.Profile) })
	return s
}

// WithOperation returns the state of the next generation, with o applied.
func (s State) WithOperation(o Operation) State {
	e := o.entry()
	i, ok := slices.BinarySearchFunc(s.Entries, e.Profile, compareEntry)
	l := slices.Clone(s.Entries)
	if ok {
		l[i] = e
	} else {
		l = slices.Insert(l, i, e)
	}
	s.Entries = l
	s.Generation++
	o.Generation = s.Generation
	s.Operations = AppendHistory(s.Operations, o)
	return s
}

// AppendHistory returns history with operations appended, cut to the latest
// HistoryLength operations.
func AppendHistory(history []Operation, o ...Operation) []Operation {
	l := append(slices.Clone(history), o...)
	if len(l) > HistoryLength {
		l = l[len(l)-HistoryLength:]
	}
	return l
}

// Serving returns the entry that serves profile: its own or, if the profile was
// withdrawn, that of the first fallback in force.
func (s State) Serving(profile string) (Entry, bool) {
	for range len(s.Entries) {
		e, ok := s.Entry(profile)
		if !ok || !e.Withdrawn() {
			return e, ok
		}
		profile = e.Fallback
	}
	return Entry{}, false
}

// Change returns the state after o, or an error if o is not valid. It returns s
// unchanged if o has no effect.
func (s State) Change(o Operation) (State, error) {
	if o.Kind == Withdraw {
		return s.withdraw(o)
	}
	e, ok := s.Entry(o.Profile)
	if ok && !e.Withdrawn() && e.Digest == o.Digest && e.Version == o.Version {
		return s, nil
	}
	return s.WithOperation(o), nil
}

func (s State) withdraw(o Operation) (State, error) {
	e, ok := s.Entry(o.Profile)
	if !ok {
		return s, classifier.Error(classifier.NotFound, classifier.NotRun, "profile %q is not in force", o.Profile)
	}
	if e.Withdrawn() && e.Fallback == o.Fallback {
		return s, nil
	}
	f, ok := s.Serving(o.Fallback)
	if !ok || o.Fallback == o.Profile {
		return s, classifier.Error(classifier.Invalid, classifier.NotRun, "fallback %q is not in force", o.Fallback)
	}
	if f.Profile == o.Profile {
		return s, classifier.Error(classifier.Invalid, classifier.NotRun, "fallback %q is served by %q itself", o.Fallback, o.Profile)
	}
	return s.WithOperation(o), nil
}

func compareEntry(e Entry, profile string) int {
	return strings.Compare(e.Profile, profile)
}
