package publisher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// lossyStore is a store whose writes randomly fail: before they take effect, after
// they took effect, or because the call is refused.
type lossyStore struct {
	storer.Store

	mu   sync.Mutex
	rand *rand.Rand
}

func (l *lossyStore) draw() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(100)
}

func (l *lossyStore) Put(ctx context.Context, k string, b []byte, n uint64, i storer.LeaseID) (uint64, error) {
	d := l.draw()
	time.Sleep(time.Duration(d) * 10 * time.Microsecond)
	if d < 10 {
		return 0, classifier.Error(classifier.Unavailable, classifier.MayHaveRun, "request lost")
	}
	if d < 15 {
		return 0, classifier.Error(classifier.Overloaded, classifier.NotRun, "too many calls")
	}
	r, err := l.Store.Put(ctx, k, b, n, i)
	if err == nil && d < 40 {
		return 0, classifier.Error(classifier.Unavailable, classifier.MayHaveRun, "response lost")
	}
	return r, err
}

const profileCount = 2

func profileName(i int) string { return fmt.Sprintf("profile-%d", i) }

func profileBody(i, n int) router.Profile {
	s := router.Service{
		Name: "fihris", Timeout: time.Second,
		Retry:     router.RetryPolicy{MaxAttempts: 2, BudgetPercent: 20},
		Limits:    router.Limits{Slots: 12, Connections: 110, Queue: 24, MaxBodyBytes: 1 << 20},
		KeyWindow: 2 * time.Minute,
	}
	t := router.Route{Name: "all", PathPrefix: "/", Destinations: []router.Destination{{Service: "fihris", Weight: 1}}}
	return router.Profile{Name: profileName(i), Description: fmt.Sprint(n)}.WithService(s).WithRoute(t)
}

// input is a promotion, or a read if profile is negative.
type input struct {
	profile int
	version uint64
}

type state struct {
	generation uint64
	versions   [profileCount]uint64
}

type output struct {
	// seen is the whole state after a read; after a promotion it has only the
	// generation.
	seen    state
	refused bool
	unknown bool
}

// model is the sequential specification of the accepted state for porcupine.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, i, o any) []any { return step(s.(state), i.(input), o.(output)) },
}

// step returns the states that the model allows after s.
func step(s state, i input, o output) []any {
	if i.profile < 0 {
		if o.seen == s {
			return []any{s}
		}
		return nil
	}
	n := s
	n.generation++
	n.versions[i.profile] = i.version
	switch {
	case o.refused:
		return []any{s}
	case o.unknown:
		return []any{s, n}
	case o.seen.generation == n.generation:
		return []any{n}
	}
	return nil
}

type recorder struct {
	mu    sync.Mutex
	start time.Time
	list  []porcupine.Operation
}

func (r *recorder) call(client int, i input, f func() output) {
	s := time.Since(r.start)
	o := f()
	e := time.Since(r.start)
	if o.unknown {
		// The operation may still take effect at any later time.
		e = time.Hour
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, porcupine.Operation{
		ClientId: client, Input: i, Call: s.Nanoseconds(), Output: o, Return: e.Nanoseconds(),
	})
}

func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	const clients, rounds = 5, 12
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var m imitator.Store
			publishAll(t, &m, clients*rounds)
			r := &recorder{start: time.Now()}
			var g grouper.Group
			for c := range clients {
				l := &lossyStore{Store: &m, rand: rand.New(rand.NewPCG(seed, uint64(c)))}
				g.Go(func() { runClient(New(l, fmt.Sprint(c)), r, c, rounds, l) })
			}
			g.Wait()
			if !porcupine.CheckOperations(model.ToModel(), r.list) {
				t.Errorf("the history of %d operations is not linearizable", len(r.list))
			}
		})
	}
}

func publishAll(t *testing.T, s storer.Store, n int) {
	t.Helper()
	p := New(s, "setup")
	for i := range profileCount {
		for k := range n {
			if _, err := p.Publish(t.Context(), profileBody(i, k), fmt.Sprintf("publish-%d-%d", i, k)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// runClient alternates between reads and promotions of versions that no other
// client promotes.
func runClient(p *Publisher, r *recorder, client, rounds int, l *lossyStore) {
	ctx := context.Background()
	for k := range rounds {
		i := input{profile: l.draw() % profileCount, version: uint64(client*rounds + k + 1)}
		r.call(client, i, func() output {
			o, err := p.Promote(ctx, profileName(i.profile), i.version, fmt.Sprintf("op-%d-%d", client, k))
			return output{
				seen:    state{generation: o.Generation},
				refused: err != nil && classifier.VerdictOf(err) == classifier.NotRun,
				unknown: err != nil && classifier.VerdictOf(err) == classifier.MayHaveRun,
			}
		})
		r.call(client, input{profile: -1}, func() output { return output{seen: read(p)} })
	}
}

func read(p *Publisher) state {
	s, _, err := p.State(context.Background())
	if err != nil {
		panic(err)
	}
	r := state{generation: s.Generation}
	for i := range profileCount {
		e, _ := s.Entry(profileName(i))
		r.versions[i] = e.Version
	}
	return r
}

func TestConcurrentPromotionReturnsConflict(t *testing.T) {
	var m imitator.Store
	publishAll(t, &m, 2)
	first := New(&m, "kim")
	// The first operator's promotion runs between the read and the write of the
	// second operator.
	s := &hookedStore{Store: &m, before: func() {
		if _, err := first.Promote(t.Context(), profileName(0), 2, "kims"); err != nil {
			t.Fatal(err)
		}
	}}
	_, err := New(s, "lee").Promote(t.Context(), profileName(0), 1, "lees")
	if !classifier.Is(err, classifier.Conflict) || classifier.VerdictOf(err) != classifier.NotRun {
		t.Fatalf("got %v, want a conflict that has not run", err)
	}
	if _, _, err := first.Profile(t.Context(), profileName(0), 1); err != nil {
		t.Errorf("the version of the refused promotion cannot be read: %v", err)
	}
}

func TestLostResponseFollowedByOtherChanges(t *testing.T) {
	var m imitator.Store
	publishAll(t, &m, 2)
	other := New(&m, "kim")
	s := &hookedStore{Store: &m, loseResponse: true, after: func() {
		if _, err := other.Promote(t.Context(), profileName(1), 1, "kims"); err != nil {
			t.Fatal(err)
		}
		if _, err := other.Promote(t.Context(), profileName(0), 2, "kims too"); err != nil {
			t.Fatal(err)
		}
	}}
	o, err := New(s, "lee").Promote(t.Context(), profileName(0), 1, "lees")
	if err != nil || o.Generation != 1 {
		t.Fatalf("got generation %d, %v; want 1", o.Generation, err)
	}
	v, _, err := other.State(t.Context())
	if err != nil || v.Generation != 3 {
		t.Errorf("got generation %d, %v; want 3: the change was applied twice or overwritten", v.Generation, err)
	}
}

// hookedStore runs before and after around the first write of the head record,
// and loses its response if loseResponse is set.
type hookedStore struct {
	storer.Store

	once         sync.Once
	before       func()
	after        func()
	loseResponse bool
}

func (s *hookedStore) Put(ctx context.Context, k string, b []byte, n uint64, i storer.LeaseID) (uint64, error) {
	first := false
	if k == storer.HeadKey {
		s.once.Do(func() { first = true })
	}
	if first && s.before != nil {
		s.before()
	}
	r, err := s.Store.Put(ctx, k, b, n, i)
	if !first {
		return r, err
	}
	if s.after != nil {
		s.after()
	}
	if s.loseResponse {
		return 0, classifier.Error(classifier.Unavailable, classifier.MayHaveRun, "response lost")
	}
	return r, err
}

func TestPublishPruningKeepsVersionInForce(t *testing.T) {
	var m imitator.Store
	p := New(&m, "kim")
	publishAll(t, &m, 1)
	if _, err := p.Promote(t.Context(), profileName(0), 1, "promote"); err != nil {
		t.Fatal(err)
	}
	for k := range accepter.CatalogLength + 5 {
		if _, err := p.Publish(t.Context(), profileBody(0, 1000+k), fmt.Sprintf("more-%d", k)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range []uint64{1, 0} {
		f, v, err := p.Profile(t.Context(), profileName(0), n)
		if err != nil || encoder.HashProfile(f).Digest != v.Digest {
			t.Errorf("version %d: %v", n, err)
		}
	}
	if _, _, err := p.Profile(t.Context(), profileName(0), 2); !classifier.Is(err, classifier.NotFound) {
		t.Errorf("version 2 was not pruned: %v", err)
	}
}

// failingReadStore is a store whose first reads fail.
type failingReadStore struct {
	storer.Store

	failures int
}

func (s *failingReadStore) Get(ctx context.Context, key string) (storer.Value, error) {
	if s.failures > 0 {
		s.failures--
		return storer.Value{}, classifier.Error(classifier.Unavailable, classifier.NotRun, "store: down")
	}
	return s.Store.Get(ctx, key)
}

func TestOperatorDocumentBlocksChanges(t *testing.T) {
	const key = "op/config"
	tests := []struct {
		name     string
		document bool
		want     bool
	}{{"without document", false, true}, {"with document", true, false}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := &failingReadStore{Store: &imitator.Store{}, failures: 2}
			if c.document {
				if _, err := s.Put(t.Context(), key, []byte("{}"), 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			p := New(s, "kim").WithDocument(key)
			f := router.Profile{Name: "everyday"}.WithService(encoder.DefaultService("s")).
				WithRoute(router.Route{Name: "r", PathPrefix: "/", Destinations: []router.Destination{{Service: "s", Weight: 1}}})
			_, err := p.Publish(t.Context(), f, "1")
			if (err == nil) != c.want {
				t.Errorf("Publish: %v", err)
			}
			if _, err = p.Withdraw(t.Context(), "everyday", "other", "2"); !c.want && (!classifier.Is(err, classifier.Conflict) || classifier.VerdictOf(err) != classifier.NotRun) {
				t.Errorf("Withdraw: %v", err)
			}
		})
	}
}
