package harness

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainBound      = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

func init() { cases["left-again"] = leftAgain }

// leftAgain checks DRAIN: a server leaves with DELETE and is confirmed. Later all
// processes are killed at the same time and start again. A liveness report that the
// server sent before it left arrives seconds late. The server must get no requests.
func leftAgain(w *world) error {
	const (
		// reportDelay is how late the last liveness report before the departure is.
		reportDelay  = 3 * time.Second
		killAfter    = 500 * time.Millisecond
		restartAfter = 500 * time.Millisecond
		// servesFor is how long the server serves after its confirmation.
		servesFor = 9 * time.Second
	)
	if err := w.begin(); err != nil {
		return err
	}
	a := w.addNode("a-1", "z-a", "front")
	b := w.addNode("b-1", "z-b", "ledger")
	c := w.addNode("c-1", "z-c", "ledger")
	if _, err := w.configure(3, []string{"front", "ledger"}, []route{{name: "r-read", prefix: "/read/", kind: "idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 2}}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	var confirmed, inTouch time.Time
	after, bad := 0, 0
	handle := func(leaver bool) func(arrival) answer {
		return func(q arrival) answer {
			mu.Lock()
			defer mu.Unlock()
			if leaver && !confirmed.IsZero() {
				after++
				if q.at.Sub(confirmed) > drainBound && !inTouch.IsZero() && q.at.After(inTouch) {
					bad++
					w.violate("DRAIN: request %s reaches the server %s after its departure was confirmed", q.id, q.at.Sub(confirmed).Round(time.Millisecond))
				}
			}
			return answer{work: 50 * time.Millisecond}
		}
	}
	if _, err := w.startServer(a, "i-front", 12, handle(false)); err != nil {
		return err
	}
	if _, err := w.startServer(c, "i-stays", 12, handle(false)); err != nil {
		return err
	}
	s, err := w.startServer(b, "i-leaves", 12, handle(true))
	if err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	get := func() reply {
		return w.send(a, request{id: newID(), method: http.MethodGet, path: "/read/1", limit: 2500 * time.Millisecond})
	}
	if err := w.eventually(15*time.Second, func() bool { return get().status == 200 }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	count := make(map[int]int)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		late := s.report()
		t := time.Now()
		k, err := s.leave()
		if err != nil {
			w.rec.add("no confirmation: %v", err)
			return
		}
		mu.Lock()
		confirmed = k
		mu.Unlock()
		if w.trouble {
			time.Sleep(killAfter)
			for _, n := range w.nodes {
				w.kill(n)
			}
			time.Sleep(restartAfter)
			if err := w.startAll(); err != nil {
				w.rec.add("not started again: %v", err)
				return
			}
		}
		mu.Lock()
		inTouch = time.Now().Add(stabilityWindow)
		mu.Unlock()
		time.Sleep(time.Until(t.Add(reportDelay)))
		w.rec.add("the liveness report that was sent before the departure arrives: %v", confirmation(s.send(late)))
		time.Sleep(time.Until(k.Add(servesFor)))
		s.exit()
	}()
	every(25*time.Millisecond, stop, func() {
		r := get()
		mu.Lock()
		defer mu.Unlock()
		count[r.status]++
	})
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("answers by status: %v; %d requests reached the server after the confirmation", count, after)
	if count[200] == 0 || confirmed.IsZero() {
		return fmt.Errorf("nothing was served, or no confirmation")
	}
	return nil
}
