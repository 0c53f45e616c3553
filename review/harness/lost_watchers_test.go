package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["lost-watchers"] = lostWatchers }

// holders returns the nodes whose addresses stand in keys of the store.
func (w *world) holders() ([]*node, error) {
	r, err := http.Get("http://" + w.store + "/v1/kv-range?prefix=")
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	var j struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&j); err != nil {
		return nil, err
	}
	var l []*node
	for _, i := range j.Items {
		for _, n := range w.nodes {
			if string(i.Value) == n.address(peerPort) {
				l = append(l, n)
			}
		}
	}
	return l, nil
}

// lostWatchers checks CONFIG: the machines that hold keys in the store are lost at the
// same moment, then the configuration changes. The other machines are in touch all the
// while.
func lostWatchers(w *world) error {
	const (
		configApply = 2 * time.Second
		lostShare   = 0.55
		changeAfter = 500 * time.Millisecond
		watchFor    = 8 * time.Second
	)
	if err := w.begin(); err != nil {
		return err
	}
	services := []string{"front", "ledger", "catalog"}
	for i, z := range []string{"a", "b", "c"} {
		for k := range 4 - i/2 {
			w.addNode(fmt.Sprintf("%s-%d", z, k+1), "z-"+z, services[(i+k)%len(services)])
		}
	}
	routes := func(read string) []route {
		l := []route{{name: "r-read", prefix: "/read/", kind: "idempotent", service: read, timeout: "1200ms", maxAttempts: 2}}
		for _, s := range services {
			l = append(l, route{name: "r-" + s, prefix: "/" + s + "/", kind: "idempotent", service: s, timeout: "1200ms", maxAttempts: 2})
		}
		return l
	}
	if _, err := w.configure(3, services, routes("front")); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	var before, after string
	var bound time.Time
	var last time.Duration
	servers := make(map[string]*server)
	for _, n := range w.nodes {
		s, err := w.startServer(n, "i-"+n.name, 12, func(q arrival) answer {
			mu.Lock()
			defer mu.Unlock()
			if t := sent[q.id]; n.service == before && n.service != after && !bound.IsZero() && t.After(bound) {
				last = max(last, t.Sub(bound))
				w.violate("CONFIG: request %s, sent %s after the bound, is run by %q, the service of the older version", q.id, t.Sub(bound).Round(time.Millisecond), n.service)
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
	get := func(n *node) reply {
		q := request{id: newID(), method: http.MethodGet, path: "/read/1", limit: 2500 * time.Millisecond}
		mu.Lock()
		sent[q.id] = time.Now()
		mu.Unlock()
		return w.send(n, q)
	}
	if err := w.eventually(15*time.Second, func() bool { return get(w.nodes["a-1"]).status == 200 }); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	l, err := w.holders()
	if err != nil {
		return err
	}
	lost := make(map[string]bool)
	for _, n := range l {
		lost[n.name] = true
	}
	if len(lost) == 0 || float64(len(lost)) > lostShare*float64(len(w.nodes)) {
		return fmt.Errorf("%d of %d machines hold keys", len(lost), len(w.nodes))
	}
	var rest []*node
	for _, n := range w.nodes {
		if lost[n.name] {
			continue
		}
		rest = append(rest, n)
		switch {
		case before == "":
			before = n.service
		case after == "" && n.service != before:
			after = n.service
		}
	}
	if after == "" {
		return fmt.Errorf("only servers of %q remain", before)
	}
	mu.Lock()
	w.rec.add("%d of %d machines hold keys in the store: %v; the route moves from %s to %s", len(lost), len(w.nodes), lost, before, after)
	mu.Unlock()
	if _, err := w.configure(5, services, routes(before)); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	count := make(map[int]int)
	stop := make(chan struct{})
	failed := make(chan error, 1)
	go func() {
		defer close(stop)
		time.Sleep(time.Second)
		if w.trouble {
			for n := range lost {
				servers[n].crash()
				w.kill(w.nodes[n])
			}
		}
		time.Sleep(changeAfter)
		t, err := w.configure(9, services, routes(after))
		if err != nil {
			failed <- err
			return
		}
		mu.Lock()
		bound = t.Add(configApply)
		mu.Unlock()
		time.Sleep(configApply + watchFor)
	}()
	every(10*time.Millisecond, stop, func() {
		var g sync.WaitGroup
		for _, n := range rest {
			g.Go(func() {
				r := get(n)
				mu.Lock()
				defer mu.Unlock()
				count[r.status]++
			})
		}
		g.Wait()
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
