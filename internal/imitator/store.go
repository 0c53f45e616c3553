// Package imitator stands in for the platform's key-value service in tests,
// measurements and the demo. It keeps everything in memory and can be set to
// fail in the ways the real service does.
package imitator

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const snapshotLimit = 4096

type record struct {
	value storer.Value
	lease storer.LeaseID
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is an in-memory storer.Store. Its zero value is empty and ready.
type Store struct {
	mu       sync.Mutex
	records  map[string]record
	leases   map[storer.LeaseID]lease
	past     []map[string]record
	revision uint64
	// tombstones holds the revision at which a key was removed, and forgotten
	// the revision up to which the history is no longer known.
	tombstones map[string]uint64
	forgotten  uint64
	granted    storer.LeaseID
	changed    chan struct{}
}

var _ storer.Store = (*Store)(nil)

// Get implements storer.Store.
func (s *Store) Get(_ context.Context, key string) (storer.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	r, ok := s.records[key]
	if !ok {
		return storer.Value{}, notFound(key)
	}
	r.value.AsOf = s.revision
	return r.value, nil
}

// Put implements storer.Store.
func (s *Store) Put(_ context.Context, key string, data []byte, revision uint64, l storer.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if len(data) > storer.MaxValueBytes {
		return 0, classifier.Error(classifier.Invalid, classifier.NotRun, "value of %d bytes", len(data))
	}
	if _, ok := s.leases[l]; l != 0 && !ok {
		return 0, classifier.Error(classifier.NotFound, classifier.NotRun, "lease %d", l)
	}
	if err := s.compare(key, revision); err != nil {
		return 0, err
	}
	s.remember()
	s.revision++
	v := storer.Value{Data: slices.Clone(data), Revision: s.revision}
	s.records[key] = record{value: v, lease: l}
	delete(s.tombstones, key)
	s.notify()
	return s.revision, nil
}

// Delete implements storer.Store.
func (s *Store) Delete(_ context.Context, key string, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if _, ok := s.records[key]; !ok {
		return notFound(key)
	}
	if err := s.compare(key, revision); err != nil {
		return err
	}
	s.remember()
	s.bury(key)
	s.notify()
	return nil
}

// List implements storer.Store.
func (s *Store) List(_ context.Context, prefix string, _ storer.Freshness) ([]storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	var l []storer.Item
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) {
			l = append(l, storer.Item{Key: k, Value: r.value})
		}
	}
	slices.SortFunc(l, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
	return l, nil
}

// Watch implements storer.Store.
func (s *Store) Watch(ctx context.Context, key string, held storer.Value, wait time.Duration) (storer.Value, bool, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		v, c := s.observe(key)
		if v.Revision != held.Revision {
			return v, true, nil
		}
		select {
		case <-c:
		case <-t.C:
			return v, false, nil
		case <-ctx.Done():
			return storer.Value{}, false, classifier.Wrap(ctx.Err(), classifier.TimedOut, classifier.NotRun, "watch")
		}
	}
}

func (s *Store) observe(key string) (storer.Value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.records[key].value
	v.AsOf = s.revision
	return v, s.changes()
}

func (s *Store) changes() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// event is a change of a key; Value has revision 0 where it was removed.
type event struct {
	key     string
	at      uint64
	value   storer.Value
	removed bool
}

// since returns the changes below prefix after a revision, the revision of the
// store, and a channel that is closed with the next change. It returns false
// when a part of that history is forgotten.
func (s *Store) since(prefix string, after uint64) ([]event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if after < s.forgotten {
		return nil, s.revision, nil, false
	}
	var l []event
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) && r.value.Revision > after {
			l = append(l, event{key: k, at: r.value.Revision, value: r.value})
		}
	}
	for k, n := range s.tombstones {
		if strings.HasPrefix(k, prefix) && n > after {
			l = append(l, event{key: k, at: n, removed: true})
		}
	}
	slices.SortFunc(l, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return l, s.revision, s.changes(), true
}

// Forget drops the whole history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
	clear(s.tombstones)
	s.notify()
}

func (s *Store) bury(key string) {
	s.revision++
	delete(s.records, key)
	if s.tombstones == nil {
		s.tombstones = make(map[string]uint64)
	}
	s.tombstones[key] = s.revision
}

// Grant implements storer.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (storer.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if s.leases == nil {
		s.leases = make(map[storer.LeaseID]lease)
	}
	s.granted++
	s.leases[s.granted] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	return s.granted, nil
}

// KeepAlive implements storer.Store.
func (s *Store) KeepAlive(_ context.Context, id storer.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return classifier.Error(classifier.NotFound, classifier.NotRun, "lease %d", id)
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke implements storer.Store.
func (s *Store) Revoke(_ context.Context, id storer.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return classifier.Error(classifier.NotFound, classifier.NotRun, "lease %d", id)
	}
	s.drop(id)
	s.notify()
	return nil
}

// LapseLeases ends every lease at once.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.drop(id)
	}
	s.notify()
}

// Rewind goes back to the data before the last writes.
func (s *Store) Rewind(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(len(s.past)-writes, 0)
	if i >= len(s.past) {
		return
	}
	s.records = s.past[i]
	s.past = s.past[:i]
	for k, r := range s.records {
		if _, ok := s.leases[r.lease]; r.lease != 0 && !ok {
			delete(s.records, k)
		}
	}
	s.revision++
	s.forgotten = s.revision
	s.notify()
}

func (s *Store) compare(key string, revision uint64) error {
	if r := s.records[key].value.Revision; r != revision {
		return classifier.Error(classifier.Conflict, classifier.NotRun, "key %s has revision %d, not %d", key, r, revision)
	}
	return nil
}

func (s *Store) remember() {
	m := make(map[string]record, len(s.records)+1)
	for k, r := range s.records {
		m[k] = r
	}
	s.past = append(s.past, s.records)
	if len(s.past) > snapshotLimit {
		s.past = s.past[1:]
	}
	s.records = m
}

func (s *Store) expire(now time.Time) {
	if s.records == nil {
		s.records = make(map[string]record)
	}
	for id, l := range s.leases {
		if now.After(l.until) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id storer.LeaseID) {
	delete(s.leases, id)
	for k, r := range s.records {
		if r.lease == id {
			s.bury(k)
		}
	}
	s.notify()
}

func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func notFound(key string) error {
	return classifier.Error(classifier.NotFound, classifier.NotRun, "key %s", key)
}
