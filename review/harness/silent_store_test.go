package harness

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent-store"] = silentStore }

// silentStore checks CONFIG: soon after a change of the configuration, the open
// connections between the nodes and the store go silent for good, while new ones
// work. Then the configuration changes again.
func silentStore(w *world) error {
	const (
		configApply  = 2 * time.Second
		silenceAfter = 300 * time.Millisecond
		changeAfter  = 200 * time.Millisecond
	)
	if err := w.begin(); err != nil {
		return err
	}
	p, err := startProxy(net.JoinHostPort(w.prefix+"251", "17700"), w.store)
	if err != nil {
		return err
	}
	w.storeSeen = p.listener.Addr().String()
	for _, z := range []string{"a", "b", "c"} {
		w.addNode(z+"-1", "z-"+z, map[string]string{"a": "front", "b": "ledger", "c": "catalog"}[z])
		w.addNode(z+"-2", "z-"+z, map[string]string{"a": "front", "b": "ledger", "c": "catalog"}[z])
	}
	services := []string{"front", "ledger", "catalog"}
	read := func(service string) []route {
		return []route{{name: "r-read", prefix: "/read/", kind: "idempotent", service: service, timeout: "1200ms", maxAttempts: 2}}
	}
	if _, err := w.configure(3, services, read("catalog")); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	// bound is the time from which requests must be handled by the last version.
	var bound time.Time
	last := 0 * time.Second
	for _, n := range w.nodes {
		_, err := w.startServer(n, "i-"+n.name, 12, func(q arrival) answer {
			mu.Lock()
			defer mu.Unlock()
			if t := sent[q.id]; n.service != "ledger" && !bound.IsZero() && t.After(bound) {
				last = max(last, t.Sub(bound))
				w.violate("CONFIG: request %s, sent %s after the bound, is run by %q, the service of the older version", q.id, t.Sub(bound).Round(time.Millisecond), n.service)
			}
			return answer{work: 20 * time.Millisecond}
		})
		if err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	get := func(n *node) reply {
		q := request{id: newID(), method: http.MethodGet, path: "/read/1", limit: 2500 * time.Millisecond}
		mu.Lock()
		sent[q.id] = time.Now()
		mu.Unlock()
		return w.send(n, q)
	}
	a := w.nodes["a-1"]
	if err := w.eventually(15*time.Second, func() bool { return get(a).status == 200 }); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	count := make(map[int]int)
	stop := make(chan struct{})
	failed := make(chan error, 1)
	go func() {
		defer close(stop)
		if _, err := w.configure(5, services, read("front")); err != nil {
			failed <- err
			return
		}
		time.Sleep(silenceAfter)
		silenced := time.Now()
		if w.trouble {
			w.rec.add("%d open connections to the store go silent", p.silence())
		}
		time.Sleep(changeAfter)
		t, err := w.configure(9, services, read("ledger"))
		if err != nil {
			failed <- err
			return
		}
		b := t.Add(configApply)
		if s := silenced.Add(stabilityWindow); w.trouble && s.After(b) {
			b = s
		}
		mu.Lock()
		bound = b
		mu.Unlock()
		time.Sleep(time.Until(b.Add(5 * time.Second)))
	}()
	every(10*time.Millisecond, stop, func() {
		for _, n := range w.nodes {
			r := get(n)
			mu.Lock()
			count[r.status]++
			mu.Unlock()
		}
	})
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("answers by status: %v; the last request by an older version was sent %s after the bound", count, last)
	select {
	case err := <-failed:
		return err
	default:
	}
	if count[200] == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
