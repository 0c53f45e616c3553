package syncer

import (
	"fmt"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

// Compose returns the response that updates a node from base to target. If base
// is nil, the response is complete.
func Compose(base, target *holder.Snapshot) *messenger.PullResponse {
	a := &messenger.PullResponse{
		Changed:        true,
		Generation:     target.Generation(),
		StateDigest:    target.StateDigest[:],
		BaseGeneration: base.Generation(),
		Whole:          base == nil,
	}
	for _, e := range target.State.Entries {
		if base != nil && sameEntry(base.State, e) {
			continue
		}
		a.Entries = append(a.Entries, writeEntry(e))
		if !e.Withdrawn() {
			a.Bodies = append(a.Bodies, composeBody(base.Profile(e.Profile), target.Profile(e.Profile)))
		}
	}
	if base != nil {
		a.Removed = removed(base.State, target.State)
	}
	for _, o := range target.State.OperationsAfter(base.Generation()) {
		a.Operations = append(a.Operations, writeOperation(o))
	}
	return a
}

func sameEntry(s accepter.State, e accepter.Entry) bool {
	o, ok := s.Entry(e.Profile)
	return ok && o == e
}

func removed(base, target accepter.State) []string {
	var l []string
	for _, e := range base.Entries {
		if _, ok := target.Entry(e.Profile); !ok {
			l = append(l, e.Profile)
		}
	}
	return l
}

// composeBody returns a delta if that touches fewer entries than the whole body
// has.
func composeBody(base, target *holder.Profile) *messenger.Body {
	b := &messenger.Body{Profile: target.Name, Digest: target.Digest[:]}
	if base != nil {
		d := encoder.Diff(base.Sealed, target.Sealed)
		if d.Len() < len(target.Services)+len(target.Routes) {
			b.BaseDigest = base.Digest[:]
			b.Delta = compress(encoder.EncodeDelta(d))
			return b
		}
	}
	b.Whole = compress(encoder.EncodeProfile(target.Profile))
	return b
}

// Assemble returns the state and the bodies of response a, which was composed for
// base. It verifies the digests of the state and of every body.
func Assemble(base *holder.Snapshot, a *messenger.PullResponse) (accepter.State, []*holder.Profile, error) {
	s, err := assembleState(base, a)
	if err != nil {
		return s, nil, err
	}
	var l []*holder.Profile
	for _, b := range a.GetBodies() {
		p, err := assembleBody(base, b)
		if err != nil {
			return s, nil, err
		}
		l = append(l, p)
	}
	return s, l, nil
}

func assembleState(base *holder.Snapshot, a *messenger.PullResponse) (accepter.State, error) {
	m := make(map[string]accepter.Entry)
	s := accepter.State{Generation: a.GetGeneration()}
	if !a.GetWhole() {
		if base.Generation() != a.GetBaseGeneration() || base == nil {
			return s, fmt.Errorf("syncer: delta from generation %d, held %d", a.GetBaseGeneration(), base.Generation())
		}
		s.Operations = base.State.Operations
		for _, e := range base.State.Entries {
			m[e.Profile] = e
		}
	}
	for _, n := range a.GetRemoved() {
		delete(m, n)
	}
	for _, w := range a.GetEntries() {
		e, err := readEntry(w)
		if err != nil {
			return s, err
		}
		m[e.Profile] = e
	}
	o, err := readOperations(a.GetOperations())
	if err != nil {
		return s, err
	}
	s.Operations = accepter.AppendHistory(s.Operations, o...)
	l := make([]accepter.Entry, 0, len(m))
	for _, e := range m {
		l = append(l, e)
	}
	s = s.WithEntries(l)
	return s, checkState(s, a.GetStateDigest())
}

func checkState(s accepter.State, digest []byte) error {
	d, err := encoder.DigestFromBytes(digest)
	if err != nil {
		return fmt.Errorf("syncer: state: %w", err)
	}
	if g := s.Digest(); g != d {
		return fmt.Errorf("syncer: state has digest %s, expected %s", g.Short(), d.Short())
	}
	return nil
}

func assembleBody(base *holder.Snapshot, b *messenger.Body) (*holder.Profile, error) {
	d, err := encoder.DigestFromBytes(b.GetDigest())
	if err != nil {
		return nil, fmt.Errorf("syncer: body of %s: %w", b.GetProfile(), err)
	}
	if len(b.GetWhole()) > 0 {
		w, err := decompress(b.GetWhole())
		if err != nil {
			return nil, err
		}
		return compile(encoder.DecodeVerified(w, d))
	}
	o := base.Profile(b.GetProfile())
	if o == nil || string(o.Digest[:]) != string(b.GetBaseDigest()) {
		return nil, fmt.Errorf("syncer: body of %s: the base of the delta is not held", b.GetProfile())
	}
	w, err := decompress(b.GetDelta())
	if err != nil {
		return nil, err
	}
	return compile(o.Sealed.Patch(w, d))
}

func compile(s encoder.HashedProfile, err error) (*holder.Profile, error) {
	if err != nil {
		return nil, err
	}
	return holder.NewProfile(s), nil
}

func writeEntry(e accepter.Entry) *messenger.Entry {
	w := &messenger.Entry{Profile: e.Profile, Version: e.Version, Fallback: e.Fallback}
	if !e.Withdrawn() {
		w.Digest = e.Digest[:]
	}
	return w
}

func readEntry(w *messenger.Entry) (accepter.Entry, error) {
	e := accepter.Entry{Profile: w.GetProfile(), Version: w.GetVersion(), Fallback: w.GetFallback()}
	d, err := readDigest(w.GetDigest())
	if err != nil {
		return e, fmt.Errorf("syncer: entry %s: %w", e.Profile, err)
	}
	e.Digest = d
	return e, nil
}

func writeOperation(o accepter.Operation) *messenger.Operation {
	w := &messenger.Operation{
		Id:               o.ID,
		Kind:             string(o.Kind),
		Profile:          o.Profile,
		Version:          o.Version,
		Operator:         o.Operator,
		Generation:       o.Generation,
		AcceptedAtUnixMs: o.AcceptedAt.UnixMilli(),
		Fallback:         o.Fallback,
	}
	if !o.Digest.IsZero() {
		w.Digest = o.Digest[:]
	}
	return w
}

func readOperations(list []*messenger.Operation) ([]accepter.Operation, error) {
	l := make([]accepter.Operation, 0, len(list))
	for _, w := range list {
		d, err := readDigest(w.GetDigest())
		if err != nil {
			return nil, fmt.Errorf("syncer: operation %s: %w", w.GetId(), err)
		}
		l = append(l, accepter.Operation{
			ID:         w.GetId(),
			Kind:       accepter.Kind(w.GetKind()),
			Profile:    w.GetProfile(),
			Version:    w.GetVersion(),
			Digest:     d,
			Fallback:   w.GetFallback(),
			Operator:   w.GetOperator(),
			Generation: w.GetGeneration(),
			AcceptedAt: time.UnixMilli(w.GetAcceptedAtUnixMs()).UTC(),
		})
	}
	return l, nil
}

func readDigest(b []byte) (encoder.Digest, error) {
	if len(b) == 0 {
		return encoder.Digest{}, nil
	}
	return encoder.DigestFromBytes(b)
}
