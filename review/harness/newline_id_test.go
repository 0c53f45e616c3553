package harness

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["newline-id"] = newlineID }

// newlineID checks UNASKED: a liveness report of another writer, whose ID ends with a
// line break, reaches the node beside a server. Requests must reach the server as they
// were sent.
func newlineID(w *world) error {
	const (
		reports   = 5
		reportGap = 2 * time.Second
	)
	if err := w.begin(); err != nil {
		return err
	}
	a := w.addNode("a-1", "z-a", "front")
	b := w.addNode("b-1", "z-b", "ledger")
	c := w.addNode("c-1", "z-c", "ledger")
	if _, err := w.configure(3, []string{"front", "ledger"}, []route{{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 2}}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	row := []byte("one row of the ledger")
	var mu sync.Mutex
	servers := make(map[string]*server)
	for _, n := range []*node{a, b, c} {
		s, err := w.startServer(n, "i-"+n.name, 12, func(q arrival) answer {
			if q.id == "" {
				return answer{notRun: true}
			}
			if q.bodyHash != hashOf(row) {
				w.violate("UNASKED: request %s was sent with a body of %d bytes and run with %d bytes", q.id, len(row), q.bodyBytes)
			}
			return answer{work: 20 * time.Millisecond}
		})
		if err != nil {
			return err
		}
		servers[n.name] = s
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	post := func() reply {
		return w.send(a, request{id: newID(), method: http.MethodPost, path: "/book/1", body: row, limit: 3 * time.Second})
	}
	if err := w.eventually(15*time.Second, func() bool { return post().status == 200 }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for i := range reports {
			time.Sleep(reportGap)
			if !w.trouble {
				continue
			}
			report, _ := json.Marshal(map[string]any{
				"service": b.service, "address": b.address(serverPort), "zone": b.zone, "version": "v1", "slots": 12,
				"state": "ready", "cold-remaining": "0ms", "sequence": i + 1, "born": servers["b-1"].born,
			})
			q, err := http.NewRequest(http.MethodPut, "http://"+b.address(controlPort)+"/v1/instances/i-b-1%0D%0A", bytes.NewReader(report))
			if err != nil {
				return
			}
			if r, err := client.Do(q); err == nil {
				_ = r.Body.Close()
				w.rec.add("a liveness report under the ID i-b-1%%0D%%0A arrives at %s: %s", b.name, r.Status)
			}
		}
		time.Sleep(2 * time.Second)
	}()
	count := make(map[int]int)
	every(20*time.Millisecond, stop, func() {
		r := post()
		mu.Lock()
		defer mu.Unlock()
		count[r.status]++
	})
	w.rec.add("answers by status: %v", count)
	return nil
}
