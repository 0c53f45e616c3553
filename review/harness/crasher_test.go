package harness

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["crasher"] = crasher }

// crasher checks BUDGET: a request with a long body crashes each server that runs it,
// and comes again at other machines. Some time after the third crash it must no longer
// reach servers.
func crasher(w *world) error {
	const (
		duration = 30 * time.Second
		// again is how often the request comes.
		again = time.Second
		// downFor is how long a crashed server is away.
		downFor = 2500 * time.Millisecond
		work    = 30 * time.Millisecond
		// maxRetries is the number of retries that the rule allows.
		maxRetries = 3
		path       = "/book/crash"
	)
	bodyBytes := 100_000
	if n, err := strconv.Atoi(os.Getenv("BODY")); err == nil {
		bodyBytes = n
	}
	if err := w.begin(); err != nil {
		return err
	}
	var fronts, ledgers []*node
	for _, z := range []string{"a", "b", "c"} {
		fronts = append(fronts, w.addNode(z+"-1", "z-"+z, "front"))
		ledgers = append(ledgers, w.addNode(z+"-2", "z-"+z, "ledger"))
	}
	if _, err := w.configure(3, []string{"front", "ledger"}, []route{{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "ledger", timeout: "1500ms", maxAttempts: 2}}); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	crashes, late := 0, 0
	var third time.Time
	for _, n := range fronts {
		if _, err := w.startServer(n, "i-"+n.name, 12, func(arrival) answer { return answer{work: work} }); err != nil {
			return err
		}
	}
	var starting sync.WaitGroup
	var start func(n *node, life int) error
	start = func(n *node, life int) error {
		_, err := w.startServer(n, fmt.Sprintf("i-%s-%d", n.name, life), 12, func(q arrival) answer {
			if q.path != path || !w.trouble {
				return answer{work: work}
			}
			mu.Lock()
			defer mu.Unlock()
			if !third.IsZero() && q.at.Sub(third) > stabilityWindow {
				if late++; late > maxRetries {
					w.violate("BUDGET: the request reaches a server for the %dth time later than %s after its third crash (%s)", late, stabilityWindow, q.id)
				}
			}
			if crashes++; crashes == 3 {
				third = time.Now().Add(work)
			}
			starting.Go(func() {
				time.Sleep(work + downFor)
				if err := start(n, life+1); err != nil {
					w.rec.add("server not started: %v", err)
				}
			})
			return answer{work: work, crash: true}
		})
		return err
	}
	for _, n := range ledgers {
		if err := start(n, 0); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	post := func(n *node, path string, body []byte) reply {
		return w.send(n, request{id: newID(), method: http.MethodPost, path: path, body: body, limit: 3 * time.Second})
	}
	if err := w.eventually(15*time.Second, func() bool { return post(fronts[0], "/book/1", []byte("one row")).status == 200 }); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	b := bytes.Repeat([]byte("x"), bodyBytes)
	count := make(map[int]int)
	stop := make(chan struct{})
	time.AfterFunc(duration, func() { close(stop) })
	var others sync.WaitGroup
	i := 0
	others.Go(func() {
		every(again, stop, func() {
			mu.Lock()
			n := fronts[i%len(fronts)]
			i++
			mu.Unlock()
			post(n, path, b)
		})
	})
	every(50*time.Millisecond, stop, func() {
		r := post(fronts[0], "/book/1", []byte("one row"))
		mu.Lock()
		defer mu.Unlock()
		count[r.status]++
	})
	others.Wait()
	starting.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.add("the request was sent %d times and crashed servers %d times, %d of these later than %s after the third crash; answers to other requests by status: %v", i, crashes, late, stabilityWindow, count)
	if count[200] == 0 {
		return fmt.Errorf("nothing was served")
	}
	return nil
}
