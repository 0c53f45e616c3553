package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created-rev"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// snapshot is the content of the store at some time.
type snapshot struct {
	rev    uint64
	items  map[string]item
	leases map[uint64]lease
}

// store stands in for the platform's store.
type store struct {
	rec     *record
	address string
	server  *http.Server

	// down makes the store close every connection without an answer.
	down atomic.Bool
	// away is held while the store is away for a moment: calls wait for it.
	away sync.RWMutex

	mu      sync.Mutex
	rev     uint64
	era     int
	nextID  uint64
	items   map[string]item
	leases  map[uint64]lease
	events  []item
	changed chan struct{}
}

func newStore(rec *record) *store {
	return &store{rec: rec, rev: 100, era: 1, nextID: 1000, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
}

// listen opens the store at its address.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.key)
	m.HandleFunc("GET /v1/kv-range", s.list)
	m.HandleFunc("GET /v1/kv-watch", s.watch)
	m.HandleFunc("POST /v1/kv-txn", s.txn)
	m.HandleFunc("POST /v1/kv-lease", s.grant)
	m.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
		s.await()
		m.ServeHTTP(w, r)
	})
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// setDown begins or ends a time in which the store is down.
func (s *store) setDown(on bool) {
	s.down.Store(on)
	s.rec.add("store down: %v", on)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits until the store is no longer away.
func (s *store) await() {
	s.away.RLock()
	defer s.away.RUnlock()
}

// copy returns a copy of the store.
func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("a copy of the store is made at revision %d", s.rev)
	return snapshot{s.rev, maps.Clone(s.items), maps.Clone(s.leases)}
}

// restore makes the store go back to a copy. Watches that wait are checked anew once the
// store is back: one from a revision that the store doesn't have then gets 410.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("the store goes back from revision %d to a copy at revision %d", s.rev, c.rev)
	s.rev, s.items, s.leases = c.rev, maps.Clone(c.items), maps.Clone(c.leases)
	s.events = slices.DeleteFunc(s.events, func(e item) bool { return e.Rev > c.rev })
	s.era++
}

// answer sends v with a status. mu is not held.
func (s *store) answer(w http.ResponseWriter, status int, v any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// expire removes the keys of ended leases. mu is held.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		s.drop(id)
	}
}

func (s *store) drop(id uint64) {
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) remove(k string) {
	s.rev++
	delete(s.items, k)
	s.note(item{Key: k, Rev: s.rev, Tombstone: true})
}

func (s *store) note(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key. mu is held.
func (s *store) write(k string, v []byte, id uint64) {
	s.rev++
	c := s.rev
	if o, ok := s.items[k]; ok {
		c = o.Created
	}
	i := item{Key: k, Value: v, Rev: s.rev, Created: c, Lease: id}
	s.items[k] = i
	s.note(i)
}

// operate writes a key as the operator does, and returns its revision.
func (s *store) operate(k string, v []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(k, v, 0)
	s.rec.add("operator wrote %s at revision %d: %.120s", k, s.rev, v)
	return s.rev
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{"current-rev": rev})
		return
	}
	s.answer(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{i, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	l := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) && k > r.URL.Query().Get("after") {
			l = append(l, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	s.answer(w, http.StatusOK, map[string]any{"items": l, "truncated": false, "current-rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.await()
		s.mu.Lock()
		s.expire()
		if s.down.Load() {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.rev {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		l := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				l = append(l, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		timeout := false
		if len(l) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-t.C:
				timeout = true
			}
		}
		if len(l) > 0 || timeout {
			s.answer(w, http.StatusOK, map[string]any{"events": l, "current-rev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var j struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, v := http.StatusOK, map[string]any{}
	s.mu.Lock()
	s.expire()
	for _, p := range j.Precondition {
		if s.items[p.Key].Rev != p.Rev {
			status = http.StatusPreconditionFailed
			v["items"] = []item{s.items[p.Key]}
		}
	}
	for _, x := range j.Writes {
		if _, ok := s.leases[x.Lease]; status == http.StatusOK && x.Lease != 0 && !ok {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		for _, x := range j.Writes {
			s.write(x.Key, x.Value, x.Lease)
		}
		for _, k := range j.Deletes {
			if _, ok := s.items[k]; ok {
				s.remove(k)
			}
		}
		v["rev"] = s.rev
	}
	s.mu.Unlock()
	s.answer(w, status, v)
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var j struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&j)
	d, err := time.ParseDuration(j.TTL)
	if err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = lease{d, time.Now().Add(d)}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": j.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.expire()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ttl_time": l.ttl.String()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	delete(s.leases, id)
	s.drop(id)
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{})
}
