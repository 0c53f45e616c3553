package recorder

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const address = "10.0.0.1:80"

func target(instance string) gossiper.Target {
	return gossiper.Target{Service: "s", Address: address, Instance: instance, StartedAtUnixMS: 1, Draining: true}
}

// faultyStore fails writes, or makes them and loses the answer.
type faultyStore struct {
	storer.Store

	mu         sync.Mutex
	down, lost bool
	writes     int
}

func (s *faultyStore) fault() (down, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.lost
}

func (s *faultyStore) set(down, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.lost = down, lost
}

func (s *faultyStore) Get(ctx context.Context, key string) (storer.Value, error) {
	if down, _ := s.fault(); down {
		return storer.Value{}, classifier.Error(classifier.Unavailable, classifier.NotRun, "down")
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, data []byte, revision uint64, lease storer.LeaseID) (uint64, error) {
	down, lost := s.fault()
	if down {
		return 0, classifier.Error(classifier.Unavailable, classifier.NotRun, "down")
	}
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	n, err := s.Store.Put(ctx, key, data, revision, lease)
	if lost {
		return 0, classifier.Error(classifier.Unavailable, classifier.MayHaveRun, "no answer")
	}
	return n, err
}

// run starts a recorder and returns it with a function that ends it, as the end of its
// process does.
func run(t *testing.T, s storer.Store, restored func([]gossiper.Target)) (*Recorder, func()) {
	t.Helper()
	r := New(s, "n")
	r.Restored = restored
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	g.Go(func() { r.Run(ctx) })
	return r, func() {
		cancel()
		g.Wait()
	}
}

// TestDeparturesOutliveAllProcesses guards against targets that are used again after all
// processes were killed: a departure was confirmed, no node remembers it, and an
// announcement that was sent before it arrives late.
func TestDeparturesOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store imitator.Store
		limits := router.Limits{Slots: 4}
		late := registrar.Announcement{Instance: "i", StartedAtUnixMS: 5, Sequence: 9, Service: "s", Address: address, Slots: 4}
		var before registrar.Registrar
		before.Announce(late, limits, time.Now())
		r, end := run(t, &store, func(l []gossiper.Target) { before.RestoreDepartures(l, time.Now()) })
		d, ok := before.RecordDeparture("i", time.Now())
		if !ok || !r.Record(t.Context(), d) {
			t.Fatal("the departure is not recorded")
		}
		end()

		var after registrar.Registrar
		_, end = run(t, &store, func(l []gossiper.Target) { after.RestoreDepartures(l, time.Now()) })
		defer end()
		synctest.Wait()
		if o := after.Announce(late, limits, time.Now()); o != registrar.Stale {
			t.Errorf("a late announcement was %s", o)
		}
		next := late
		next.StartedAtUnixMS, next.Sequence = 6, 1
		if o := after.Announce(next, limits, time.Now()); o != registrar.Added {
			t.Errorf("the announcement of a later process was %s", o)
		}
	})
}

// TestDeparturesAreRecordedOnce checks the record after faults of the store: it holds each
// departure, those of earlier processes as well, and each is written once if the store
// answers.
func TestDeparturesAreRecordedOnce(t *testing.T) {
	tests := []struct {
		name       string
		down, lost bool
		maxWrites  int
	}{
		{"no fault", false, false, 3},
		{"the store is down for a second", true, false, 3},
		{"answers are lost for a second", false, true, 30},
	}
	for _, c := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &faultyStore{Store: &imitator.Store{}}
			first, end := run(t, s, nil)
			if !first.Record(t.Context(), target("a")) {
				t.Fatal("not recorded")
			}
			end()
			r, end := run(t, s, nil)
			defer end()
			s.set(c.down, c.lost)
			time.AfterFunc(time.Second, func() { s.set(false, false) })
			var g sync.WaitGroup
			for _, d := range []gossiper.Target{target("b"), target("c"), target("b")} {
				g.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					if !r.Record(ctx, d) {
						t.Errorf("%s: %s was not recorded", c.name, d.Instance)
					}
				})
			}
			g.Wait()
			v, err := s.Store.Get(t.Context(), storer.DepartureKey("n"))
			if err != nil {
				t.Fatal(c.name, err)
			}
			l, err := decode(v.Data)
			var names []string
			for _, d := range l {
				names = append(names, d.Instance)
			}
			slices.Sort(names)
			if err != nil || !slices.Equal(names, []string{"a", "b", "c"}) || s.writes > c.maxWrites {
				t.Errorf("%s: the record holds %v after %d writes, %v", c.name, names, s.writes, err)
			}
		})
	}
}

// TestConfirmationsDoNotWaitForTheStore checks that a departure is confirmed in time while
// the store is down, and recorded once it answers.
func TestConfirmationsDoNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Store: &imitator.Store{}}
		s.set(true, false)
		r, end := run(t, s, nil)
		defer end()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		if r.Record(ctx, target("a")) || time.Since(start) > 500*time.Millisecond {
			t.Errorf("answered after %s", time.Since(start))
		}
		s.set(false, false)
		time.Sleep(2 * maxBackoff)
		if !r.Record(t.Context(), target("a")) {
			t.Error("the departure is not recorded after the store has returned")
		}
	})
}

// TestFlushWaitsForDepartures guards against a process that ends before the store has the
// departures that were confirmed without it.
func TestFlushWaitsForDepartures(t *testing.T) {
	tests := []struct {
		name    string
		outage  time.Duration
		flushed bool
	}{
		{"the store answers", 0, true},
		{"the store returns in time", time.Second, true},
		{"the store stays down", time.Minute, false},
	}
	for _, c := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &faultyStore{Store: &imitator.Store{}}
			r, end := run(t, s, nil)
			defer end()
			synctest.Wait()
			s.set(c.outage > 0, false)
			time.AfterFunc(c.outage, func() { s.set(false, false) })
			short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			r.Record(short, target("a"))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if got := r.Flush(ctx); got != c.flushed {
				t.Errorf("%s: flushed %v, want %v", c.name, got, c.flushed)
			}
			if _, err := s.Store.Get(t.Context(), storer.DepartureKey("n")); (err == nil) != c.flushed {
				t.Errorf("%s: the record of the store: %v", c.name, err)
			}
		})
	}
}

// TestRecordsAreBounded checks the size of a record, and that one that cannot be read is
// replaced.
func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store imitator.Store
		if _, err := store.Put(t.Context(), storer.DepartureKey("n"), []byte("\xff{"), 0, 0); err != nil {
			t.Fatal(err)
		}
		r, end := run(t, &store, nil)
		defer end()
		for i := range 2 * maxDepartures {
			if !r.Record(t.Context(), target(strconv.Itoa(i))) {
				t.Fatal("not recorded")
			}
		}
		v, err := store.Get(t.Context(), storer.DepartureKey("n"))
		if err != nil {
			t.Fatal(err)
		}
		l, err := decode(v.Data)
		if err != nil || len(l) != maxDepartures || l[len(l)-1].Instance != strconv.Itoa(2*maxDepartures-1) {
			t.Errorf("the record holds %d departures, %v", len(l), err)
		}
		time.Sleep(Retention + time.Second)
		if _, err := store.Get(t.Context(), storer.DepartureKey("n")); !classifier.Is(err, classifier.NotFound) {
			t.Errorf("the record is still there: %v", err)
		}
	})
}
