package main

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["deep-calls"] = deepCalls }

// deepCalls: servers call each other through the system, to a depth of 6. A call's
// identifier is that of its parent, a dot, and 16 digits of its own.
func deepCalls(w *world) bool {
	depth := 6
	if !w.trouble {
		depth = 2
	}
	nodes, servers := fleet(w, 4, 2)
	sent := map[string]bool{}
	calls := make(chan result, 1000)
	for _, s := range servers {
		s.answer = func(s *server, rw http.ResponseWriter, r *http.Request, body []byte) bool {
			d, _ := strconv.Atoi(r.URL.Query().Get("calls"))
			if d == 0 {
				return false
			}
			uri := "/read/x?calls="
			if d%2 == 1 {
				uri = "/cat/x?calls="
			}
			id := r.Header.Get("Dragonflydoor-Request-Id") + "." + newID()
			a := s.node.doID(id, "GET", exHost, uri+strconv.Itoa(d-1), nil, 800*time.Millisecond)
			w.note("call of server %s: GET %s%d, request %s: %s, answer to %s", s.instance, uri, d-1, id, a, a.header.Get("Dragonflydoor-Request-Id"))
			calls <- a
			if a.status != http.StatusOK {
				rw.WriteHeader(http.StatusInternalServerError)
				return true
			}
			return false
		}
	}
	for i := range 20 {
		r := nodes[i%len(nodes)].do("GET", exHost, "/read/x?calls="+strconv.Itoa(depth), nil, time.Second)
		sent[r.id] = true
		w.note("client at %s: GET /read/x?calls=%d, request %s: %s, answer to %s", nodes[i%len(nodes)].name, depth, r.id, r, r.header.Get("Dragonflydoor-Request-Id"))
	}
	time.Sleep(500 * time.Millisecond)
	foreign, successes := 0, 0
	for len(calls) > 0 {
		a := <-calls
		sent[a.id] = true
		if a.status == http.StatusOK {
			successes++
			if g := a.header.Get("Dragonflydoor-Request-Id"); g != a.id {
				if foreign++; foreign <= 3 {
					w.log("a call sent with id %s (%d characters) is answered with 200 for request %s", a.id, len(a.id), g)
				}
			}
		}
	}
	unasked, ran := 0, 0
	for _, s := range servers {
		for _, a := range s.runs(w.started) {
			if strings.HasPrefix(a.path, "/health") {
				continue
			}
			ran++
			if !sent[a.id] {
				if unasked++; unasked <= 3 {
					w.log("server %s runs %s %s with id %s, which nobody sent", s.instance, a.method, a.path, a.id)
				}
			}
		}
	}
	w.log("%d of %d successes of calls name another request; %d of %d runs have an id that nobody sent", foreign, successes, unasked, ran)
	return unasked > 0
}
