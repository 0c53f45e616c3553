package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-report"] = oddReport }

// oddReport checks LOST: a liveness report of another writer, whose ID is no text,
// reaches a node while its clients have requests under way on kept connections.
func oddReport(w *world) error {
	const (
		clients    = 12
		work       = 200 * time.Millisecond
		calm       = 5 * time.Second
		endBound   = 3 * time.Second
		after      = 8 * time.Second
		restart    = 500 * time.Millisecond
		maxLost    = 3
		oddID      = "%FF%FE%FD"
		retryPause = 100 * time.Millisecond
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
	var mu sync.Mutex
	ran := make(map[string]bool)
	for _, n := range []*node{a, b, c} {
		_, err := w.startServer(n, "i-"+n.name, 12, func(q arrival) answer {
			mu.Lock()
			defer mu.Unlock()
			ran[q.id] = true
			return answer{work: work}
		})
		if err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	if err := w.eventually(15*time.Second, func() bool {
		return w.send(a, request{id: newID(), method: http.MethodPost, path: "/book/1", body: []byte("row"), limit: 3 * time.Second}).status == 200
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	lost, served := 0, 0
	// post sends a request over the kept connection of a client, and reports whether it
	// was answered.
	post := func(c *http.Client, name string, kept bool) bool {
		id := newID()
		r, err := http.NewRequest(http.MethodPost, "http://"+a.address(outboundPort)+"/book/1", bytes.NewReader([]byte("row")))
		if err != nil {
			return false
		}
		r.Host, r.GetBody = host, nil
		r.Header.Set("Dragonflydoor-Request-Id", id)
		r.Header.Set("Dragonflydoor-Deadline-Ms", "3000")
		w.rec.add("client %s at %s sends %s POST /book/1", name, a.name, id)
		o, err := c.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, o.Body)
			_ = o.Body.Close()
		}
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			w.rec.add("client %s: %s answered %d", name, id, o.StatusCode)
			if o.StatusCode == http.StatusOK {
				served++
			}
			return true
		}
		w.rec.add("client %s: %s ended without an answer: %v", name, id, err)
		if kept && ran[id] {
			if lost++; lost > maxLost {
				w.violate("LOST: the connection of request %s, which a sound server ran, was closed without an answer (the %dth)", id, lost)
			}
		}
		return false
	}
	stop := make(chan struct{})
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
			kept := false
			for {
				select {
				case <-stop:
					return
				default:
				}
				if kept = post(c, fmt.Sprint(i), kept); !kept {
					time.Sleep(retryPause)
				}
			}
		})
	}
	time.Sleep(calm)
	if w.trouble {
		report, err := json.Marshal(map[string]any{
			"service": a.service, "address": a.address(serverPort), "zone": a.zone, "version": "v1", "slots": 12,
			"state": "draining", "cold-remaining": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		q, err := http.NewRequest(http.MethodPut, "http://"+a.address(controlPort)+"/v1/instances/"+oddID, bytes.NewReader(report))
		if err != nil {
			return err
		}
		w.rec.add("a liveness report under the ID %s arrives at %s: %s", oddID, a.name, report)
		if r, err := client.Do(q); err == nil {
			_ = r.Body.Close()
			w.rec.add("the report is answered %s", r.Status)
		} else {
			w.rec.add("the report is not answered: %v", err)
		}
	}
	select {
	case <-a.exited:
		w.rec.add("the process of node %s has ended by itself: %v", a.name, a.cmd.ProcessState)
		time.Sleep(restart)
		if err := w.startNode(a); err != nil {
			return err
		}
	case <-time.After(endBound):
	}
	time.Sleep(after)
	close(stop)
	g.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("%d requests served, %d that a server ran lost", served, lost)
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
