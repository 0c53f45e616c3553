package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	id, path, method, caller, tenant string
	body                             []byte
	header                           http.Header
	at                               time.Time
	ran                              bool
}

// server stands in for an application server beside a node.
type server struct {
	w        *world
	node     *node
	service  string
	instance string
	address  string
	slots    int
	born     int64

	mu       sync.Mutex
	sequence uint64
	state    string
	leaving  bool
	silent   bool
	arrivals []arrival
	// answer replaces the ordinary answer if it is not nil.
	answer func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool
	http   *http.Server
}

func signature(instance, id string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance + "\x00" + id + "\x00"))
	_, _ = h.Write(body)
	return fmt.Sprintf("%016x.%d", h.Sum64(), len(body))
}

func (w *world) startServer(n *node, instance string) *server {
	s := &server{w: w, node: n, service: n.service, instance: instance, address: n.app, slots: 12, born: time.Now().UnixMilli(), state: "ready"}
	l, err := net.Listen("tcp", s.address)
	must(err)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s
}

func (s *server) stop() { _ = s.http.Close() }

// beat sends a liveness report and reports whether it was confirmed.
func (s *server) beat() bool {
	return s.send(s.report(), time.Second)
}

// report returns the next liveness report without sending it.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.node.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold-remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	return b
}

// mute makes the server send no further reports of its own.
func (s *server) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *server) send(report []byte, bound time.Duration) bool {
	return s.tell("PUT", report, bound)
}

// leave sends DELETE and reports whether it was confirmed.
func (s *server) leave(bound time.Duration) bool {
	s.mu.Lock()
	s.leaving, s.silent = true, true
	s.mu.Unlock()
	return s.tell("DELETE", nil, bound)
}

func (s *server) tell(method string, body []byte, bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+s.node.control+"/v1/instances/"+s.instance, bytes.NewReader(body))
	must(err)
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode/100 == 2
}

// beatOften reports about every heartbeat interval until the world ends.
func (s *server) beatOften() {
	go func() {
		for {
			s.mu.Lock()
			q := s.silent
			s.mu.Unlock()
			if !q {
				s.beat()
			}
			time.Sleep(heartbeat)
		}
	}()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.mu.Lock()
		l := s.leaving || s.state == "draining"
		s.mu.Unlock()
		w.Header().Set("Dragonflydoor-Instance-Id", s.instance)
		w.Header().Set("Dragonflydoor-Server-Load", "0,0,"+strconv.Itoa(s.slots))
		if l {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Dragonflydoor-Request-Id")
	h := w.Header()
	h.Set("Dragonflydoor-Request-Id", id)
	h.Set("Dragonflydoor-Server-Load", "1,0,"+strconv.Itoa(s.slots))
	a := arrival{id: id, path: r.URL.RequestURI(), method: r.Method, caller: r.Header.Get("Dragonflydoor-Caller-Service"), tenant: r.Header.Get("Dragonflydoor-Tenant"), header: r.Header.Clone(), at: time.Now()}
	if e := r.Header.Get("Dragonflydoor-Expect-Instance"); e != "" && e != s.instance {
		s.note(a)
		h.Set("Dragonflydoor-Instance-Id", s.instance)
		h.Set("Dragonflydoor-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.body, a.ran = body, true
	s.note(a)
	s.w.note("server %s runs %s %s, request %s", s.instance, r.Method, a.path, id)
	if s.answer != nil && s.answer(s, w, r, body) {
		return
	}
	d, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	select {
	case <-time.After(time.Duration(d) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	s.finish(w, r, body)
}

// finish sends the ordinary answer.
func (s *server) finish(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Dragonflydoor-Request-Id")
	n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	b := bytes.Repeat([]byte(id+" "), n/(len(id)+1)+1)
	h := w.Header()
	h.Set("Dragonflydoor-Server-Signature", signature(s.instance, id, b))
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func (s *server) note(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// runs returns the requests that the server has begun to work on since t.
func (s *server) runs(since time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []arrival
	for _, a := range s.arrivals {
		if a.ran && !a.at.Before(since) {
			l = append(l, a)
		}
	}
	return l
}
