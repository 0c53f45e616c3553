package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["many-routes"] = manyRoutes }

// valueBytes is the limit of the store for a value.
const valueBytes = 1 << 20

// manyRoutes: a version takes a tenant's key away and adds routes. All versions stay within
// the store's limit for values.
func manyRoutes(w *world) bool {
	w.bounds["strict-revoke"], w.bounds["revoke"] = true, "5000ms"
	const revoke = 5 * time.Second
	routes := 8400
	if !w.trouble {
		routes = 8000
	}
	var nodes []*node
	var servers []*server
	for i := range 4 {
		nodes = append(nodes, w.addNode(w.zones[i%len(w.zones)], "ledger"))
	}
	write := func(version, n int, key string) time.Time {
		rows := [][]any{{"r-read", exHost, "/read/", "idempotent", "1200ms", "400ms", 2, "ledger", 2}}
		for i := range n - 1 {
			rows = append(rows, []any{fmt.Sprintf("r-%d", i), exHost, fmt.Sprintf("/more/%d/", i), "idempotent", "1200ms", "400ms", 2, "ledger", 2})
		}
		b, _ := json.Marshal(map[string]any{
			"version":  version,
			"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "service", "max-attempts"}, "rows": rows},
			"services": map[string]any{"columns": []string{"name", "health-path", "max-connections"}, "rows": [][]any{{"ledger", "/health", 130}}},
			"tenants":  map[string]any{"columns": []string{"name", "api-keys", "priority"}, "rows": [][]any{{"bozi300", []string{key}, 1}}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout": "5s", "idle-timeout": "10s"},
		})
		if len(b) > valueBytes {
			panic(cannotRun{fmt.Errorf("the configuration has %d bytes", len(b))})
		}
		w.store.write("op/config", b)
		w.log("the store confirms version %d: %d routes, %d bytes, key %s of tenant bozi300", version, n, len(b), key)
		return time.Now()
	}
	write(7, 300, "wuakn2ftimaj3nr26tta")
	for i, x := range nodes {
		x.start()
		servers = append(servers, w.startServer(x, fmt.Sprintf("i-%08x", i+1)))
	}
	for _, s := range servers {
		s.beatOften()
	}
	w.awaitReady(20*time.Second, nodes...)
	time.Sleep(stability)
	ask := func(key string) (served int) {
		for _, n := range nodes {
			r := n.doKey(newID(), key, "GET", exHost, "/read/x", nil, time.Second)
			w.log("client at %s: GET /read/x with key %s, request %s: %s", n.name, key, r.id, r)
			if r.status == 200 {
				served++
			}
		}
		return served
	}
	if ask("wuakn2ftimaj3nr26tta") != len(nodes) {
		w.log("the key is not served at first")
		return false
	}
	confirmed := write(12, routes, "828m82thhkmgjqnirth5")
	broken := false
	for _, d := range []time.Duration{revoke + 500*time.Millisecond, 2 * revoke, 4 * revoke} {
		time.Sleep(time.Until(confirmed.Add(d)))
		w.log("%.1f s after version 12, which took the key away, was confirmed:", d.Seconds())
		if ask("wuakn2ftimaj3nr26tta") > 0 {
			broken = true
		}
		ask("828m82thhkmgjqnirth5")
	}
	for _, n := range nodes {
		for _, x := range n.logLines("not usable") {
			w.note("%s", x)
		}
	}
	return broken
}
