package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created-rev"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store stands in for the platform's metadata store (PROTOCOL.md). While refuse returns
// true for the IP address of a caller, that caller gets 503, which means that nothing was
// done.
type store struct {
	address string
	refuse  func(ip string) bool

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*storeLease
	next    uint64
	changed chan struct{}
	calls   map[string]int
}

func startStore(address string) *store {
	s := &store{address: address, rev: 10, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), calls: map[string]int{}}
	l, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = http.Serve(l, s) }()
	return s
}

// write sets a key on behalf of the operator.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	s.notify()
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.Created = o.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, k)
		}
	}
	sort.Strings(l)
	return l
}

// ServeHTTP implements the store's API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	body, _ := io.ReadAll(r.Body)
	if s.refuse != nil && s.refuse(ip) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch p := r.URL.Path; {
	case r.Method == "GET" && p == "/v1/kv-key":
		s.mu.Lock()
		s.expire()
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{"current-rev": rev})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			Current uint64 `json:"current-rev"`
		}{i, rev})
	case r.Method == "GET" && p == "/v1/kv-range":
		s.mu.Lock()
		s.expire()
		l := []item{}
		for k, i := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				l = append(l, i)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
		reply(w, http.StatusOK, map[string]any{"items": l, "truncated": false, "current-rev": rev})
	case r.Method == "GET" && p == "/v1/kv-watch":
		s.watch(w, r, ip)
	case r.Method == "POST" && p == "/v1/kv-txn":
		s.txn(w, body)
	case r.Method == "POST" && p == "/v1/kv-lease":
		var j struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.Unmarshal(body, &j)
		d, err := time.ParseDuration(j.TTL)
		if err != nil || d < time.Second || d > 10*time.Minute {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.expire()
		s.next++
		id := s.next + 7000
		s.leases[id] = &storeLease{ttl: d, end: time.Now().Add(d)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": j.TTL})
	case r.Method == "POST" && strings.HasPrefix(p, "/v1/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(p, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire()
		l, ok := s.leases[id]
		if ok {
			l.end = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
	case r.Method == "DELETE" && strings.HasPrefix(p, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(p, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.end(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, ip string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	poll := time.NewTicker(50 * time.Millisecond)
	defer poll.Stop()
	for {
		s.mu.Lock()
		s.expire()
		l := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				l = append(l, i)
			}
		}
		rev, c := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": l, "current-rev": rev})
			return
		}
		select {
		case <-c:
		case <-poll.C:
			// A watch that is waiting may be cut.
			if s.refuse != nil && s.refuse(ip) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-t.C:
			reply(w, http.StatusOK, map[string]any{"events": l, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, body []byte) {
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
	if json.Unmarshal(body, &j) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range j.Precondition {
		if s.items[p.Key].Rev != p.Rev {
			l := []item{}
			for _, p := range j.Precondition {
				if i, ok := s.items[p.Key]; ok {
					l = append(l, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": l})
			return
		}
	}
	for _, p := range j.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range j.Writes {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range j.Deletes {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
