package main

import (
	"encoding/json"
	"sort"
	"sync"
	"time"
)

func init() { cases["caps-after-restart"] = capsAfterRestart }

// capsAfterRestart: a tenant that presses beyond its cap, and all processes are killed at once.
func capsAfterRestart(w *world) bool {
	w.bounds["quota-window"], w.bounds["quota-over"], w.bounds["quota-slack"] = "5s", 0.1, 20
	const rate, burst = 100.0, 100.0
	limit := (rate*5+burst)*1.1 + 20
	var nodes []*node
	var servers []*server
	for i := range 6 {
		nodes = append(nodes, w.addNode(w.zones[i%3], "ledger"))
	}
	b, _ := json.Marshal(map[string]any{
		"version":  7,
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "service", "max-attempts"}, "rows": [][]any{{"r-read", exHost, "/read/", "idempotent", "1200ms", "400ms", 2, "ledger", 2}}},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-connections"}, "rows": [][]any{{"ledger", "/health", 130}}},
		"tenants":  map[string]any{"columns": []string{"name", "api-keys", "priority", "rate-per-s", "burst"}, "rows": [][]any{{"bozi300", []string{"k1"}, 1, rate, burst}}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout": "5s", "idle-timeout": "10s"},
	})
	w.store.write("op/config", b)
	for i, x := range nodes {
		x.start()
		servers = append(servers, w.startServer(x, "i-"+string(rune('a'+i))))
	}
	for _, s := range servers {
		s.beatOften()
	}
	w.awaitReady(20*time.Second, nodes...)
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	press := func(per time.Duration) {
		for _, n := range nodes {
			g.Add(1)
			go func() {
				defer g.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(per):
						go n.doKey(newID(), "k1", "GET", exHost, "/read/x", nil, time.Second)
					}
				}
			}()
		}
	}
	press(6 * time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		w.log("all processes are killed")
		for _, n := range nodes {
			n.signal(9)
		}
		for _, n := range nodes {
			<-n.ended
		}
		time.Sleep(restartPause)
		for _, n := range nodes {
			n.start()
		}
		w.log("started again")
	}
	time.Sleep(9 * time.Second)
	close(stop)
	var at []time.Time
	for _, s := range servers {
		for _, a := range s.runs(w.started) {
			if a.tenant == "bozi300" {
				at = append(at, a.at)
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	worst, when := 0, time.Time{}
	for i, j := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[j]) > 5*time.Second {
			j++
		}
		if i-j+1 > worst {
			worst, when = i-j+1, at[j]
		}
	}
	w.log("%d arrivals; worst window of 5 s from %.1f s: %d, allowed %.0f", len(at), w.since(when), worst, limit)
	return float64(worst) > limit
}
