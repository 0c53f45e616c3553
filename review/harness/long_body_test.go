package harness

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["long-body"] = longBody }

// longBody checks UNASKED: the servers of a service are replaced one after the other
// while clients send long bodies in chunks. Each server must get the whole body.
func longBody(w *world) error {
	const (
		bodyBytes = 200_000
		// gap is the pause between two replacements, and leaves the time that a server
		// serves after its confirmation: drain and a little longer.
		gap    = time.Second
		leaves = 3 * time.Second
		rounds = 4
	)
	if err := w.begin(); err != nil {
		return err
	}
	var fronts, ledgers []*node
	for _, n := range []string{"a-1", "a-2", "b-1", "b-2", "c-1"} {
		fronts = append(fronts, w.addNode(n, "z-"+n[:1], "front"))
	}
	for _, n := range []string{"a-3", "b-3", "c-2"} {
		ledgers = append(ledgers, w.addNode(n, "z-"+n[:1], "ledger"))
	}
	if _, err := w.configure(3, []string{"front", "ledger"}, []route{{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 2}}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]request)
	runs := 0
	handle := func(q arrival) answer {
		mu.Lock()
		defer mu.Unlock()
		runs++
		if s, ok := sent[q.id]; ok && (q.bodyHash != hashOf(s.body) || q.path != s.path || q.method != s.method) {
			w.violate("UNASKED: request %s was sent with a body of %d bytes and run with %d bytes", q.id, len(s.body), q.bodyBytes)
		}
		return answer{work: 100 * time.Millisecond}
	}
	servers := make(map[*node]*server)
	for _, n := range w.nodes {
		s, err := w.startServer(n, "i-"+n.name+"-0", 12, handle)
		if err != nil {
			return err
		}
		servers[n] = s
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	post := func(n *node) reply {
		q := request{id: newID(), method: http.MethodPost, path: "/book/1", body: bytes.Repeat([]byte{byte('a' + rand.IntN(26))}, bodyBytes), chunked: true, limit: 3 * time.Second}
		mu.Lock()
		sent[q.id] = q
		mu.Unlock()
		return w.send(n, q)
	}
	if err := w.eventually(15*time.Second, func() bool { return post(fronts[0]).status == 200 }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	count := make(map[int]int)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		if !w.trouble {
			time.Sleep(24 * time.Second)
			return
		}
		for i := range rounds {
			for _, n := range ledgers {
				if _, err := servers[n].drain(); err != nil {
					w.rec.add("no confirmation: %v", err)
				}
				time.Sleep(leaves)
				_, _ = servers[n].leave()
				servers[n].exit()
				time.Sleep(gap)
				s, err := w.startServer(n, fmt.Sprintf("i-%s-%d", n.name, i+1), 12, handle)
				if err != nil {
					w.rec.add("server not started: %v", err)
					return
				}
				servers[n] = s
				time.Sleep(gap)
			}
		}
	}()
	every(8*time.Millisecond, stop, func() {
		r := post(fronts[rand.IntN(len(fronts))])
		mu.Lock()
		defer mu.Unlock()
		count[r.status]++
	})
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("answers by status: %v, runs: %d", count, runs)
	if count[200] == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
