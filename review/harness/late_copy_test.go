package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

// lateCopy checks REFUSED: the only server of a service rejects a part of the
// requests, and sends some of its answers a second time, at the point where the next
// response on the connection is expected.
func lateCopy(w *world) error {
	const (
		shedShare  = 0.15
		extraShare = 0.03
		duration   = 6500 * time.Millisecond
		// extraFor is how long second copies are sent.
		extraFor = 5 * time.Second
	)
	if err := w.begin(); err != nil {
		return err
	}
	a := w.addNode("a-1", "z-a", "front")
	b := w.addNode("b-1", "z-b", "ledger")
	w.addNode("c-1", "z-c", "front")
	if _, err := w.configure(3, []string{"front", "ledger"}, []route{
		{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 2},
		{name: "r-pay", prefix: "/pay/", kind: "non_idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 3},
	}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	var shedUntil, extraUntil time.Time
	quiet := func(arrival) answer { return answer{work: 20 * time.Millisecond} }
	for _, n := range w.nodes {
		if n == b {
			continue
		}
		if _, err := w.startServer(n, "i-"+n.name, 12, quiet); err != nil {
			return err
		}
	}
	_, err := w.startServer(b, "i-ledger", 12, func(q arrival) answer {
		mu.Lock()
		defer mu.Unlock()
		o := answer{work: 20 * time.Millisecond}
		o.notRun = time.Now().Before(shedUntil) && rand.Float64() < shedShare
		o.extra = time.Now().Before(extraUntil) && rand.Float64() < extraShare
		if !o.notRun {
			runs[q.id]++
		}
		return o
	})
	if err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	served := func() bool {
		return w.send(a, request{id: newID(), method: http.MethodPost, path: "/book/warm", limit: 3 * time.Second}).status == 200
	}
	if err := w.eventually(15*time.Second, served); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		mu.Lock()
		shedUntil, extraUntil = time.Now().Add(duration), time.Now().Add(extraFor)
		mu.Unlock()
		w.rec.add("from now on the server rejects %.2f of the requests, and sends %.2f of its answers twice", shedShare, extraShare)
	}
	replies := make(map[string]reply)
	stop := make(chan struct{})
	time.AfterFunc(duration, func() { close(stop) })
	every(3*time.Millisecond, stop, func() {
		q := request{id: newID(), method: http.MethodPost, path: [...]string{"/book/1", "/pay/1"}[rand.IntN(2)], body: []byte("one row"), limit: 3 * time.Second}
		r := w.send(a, q)
		mu.Lock()
		defer mu.Unlock()
		replies[q.id] = r
	})
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	count := make(map[int]int)
	for id, r := range replies {
		count[r.status]++
		switch r.status {
		case 408, 421, 429, 503:
			if runs[id] > 0 {
				w.violate("REFUSED: request %s was answered %d and has run %d times", id, r.status, runs[id])
			}
		}
		if runs[id] > 1 {
			w.violate("TWICE: request %s has run %d times, answered %d", id, runs[id], r.status)
		}
	}
	w.rec.add("answers by status: %v", count)
	if count[200] == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
