package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["left-while-stopping"] = leftWhileStopping
	cases["left-between-restarts"] = leftBetweenRestarts
	cases["left-in-outage"] = leftInOutage
}

const (
	exHost = "jepu9.example"
	// drain and stability are the bounds of the settings.
	drain     = 2 * time.Second
	stability = 3 * time.Second
	// margin keeps the check away from the edge of a bound.
	margin = 200 * time.Millisecond
	// restartPause is the "short delay" after which a process is started again.
	restartPause = 300 * time.Millisecond
)

// fleet starts a small deployment: service "ledger" on the first k of n nodes, "catalog" on
// the rest, with a server beside each node.
func fleet(w *world, n, k int) (nodes []*node, servers []*server) {
	for i := range n {
		s := "catalog"
		if i < k {
			s = "ledger"
		}
		nodes = append(nodes, w.addNode(w.zones[i%len(w.zones)], s))
	}
	w.configure(7, []route{
		{"r-read", exHost, "/read/", "idempotent", "1200ms", "ledger", 2, 2},
		{"r-cat", exHost, "/cat/", "idempotent", "1200ms", "catalog", 2, 2},
	}, []string{"ledger", "catalog"})
	for i, x := range nodes {
		x.start()
		servers = append(servers, w.startServer(x, fmt.Sprintf("i-%08x", i+1)))
		w.log("%s at %s serves %s with server %s at %s", x.name, x.ip, x.service, servers[i].instance, servers[i].address)
	}
	for _, s := range servers {
		s.beatOften()
	}
	w.awaitReady(20*time.Second, nodes...)
	time.Sleep(stability)
	return nodes, servers
}

// clients sends a request every gap to a node until stop is closed.
func clients(n *node, method, uri string, gap time.Duration, stop chan struct{}) {
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(gap):
				go func() {
					r := n.do(method, exHost, uri, nil, time.Second)
					n.w.note("client at %s: %s %s, request %s: %s after %d ms", n.name, method, uri, r.id, r, r.took.Milliseconds())
				}()
			}
		}
	}()
}

// callers has clients at all nodes but the first ask for the service "ledger".
func callers(nodes []*node) (stop func()) {
	c := make(chan struct{})
	for _, n := range nodes[1:] {
		clients(n, "GET", "/read/x", 80*time.Millisecond, c)
	}
	time.Sleep(2 * time.Second)
	return func() { close(c) }
}

// leave makes a server leave as those do that never report draining. It goes on serving.
func (s *server) leaveNow() (confirmed time.Time, ok bool) {
	if !s.leave(time.Second) {
		s.w.log("DELETE of %s is not confirmed", s.instance)
		return time.Time{}, false
	}
	s.w.log("%s confirms the DELETE of server %s, which goes on serving", s.node.name, s.instance)
	return time.Now(), true
}

// lateReport delivers a report that was sent before the DELETE.
func (s *server) lateReport(report []byte, sent time.Time) {
	ok := s.send(report, time.Second)
	s.w.log("a liveness report of %s (ready), sent before its DELETE, arrives %.1f s late; answered with 2xx: %v", s.instance, time.Since(sent).Seconds(), ok)
}

// judge reports whether the server got requests later than drain after its leaving was
// confirmed, at a time when all machines are in touch.
func (s *server) judge(confirmed, inTouch time.Time) bool {
	w := s.w
	from := confirmed.Add(drain + margin)
	if inTouch.After(from) {
		from = inTouch
	}
	l := s.runs(from)
	for i, a := range l {
		if i < 5 {
			w.log("server %s runs request %s %.1f s after its leaving was confirmed", s.instance, a.id, a.at.Sub(confirmed).Seconds())
		}
	}
	w.log("%d requests reach it later than drain (2 s) after the confirmation, while all machines are in touch (from %.1f s)", len(l), w.since(from))
	for _, x := range s.node.logLines("Target") {
		w.note("%s", x)
	}
	return len(l) > 0
}

// leftWhileStopping: a server leaves while its node is stopped by SIGTERM, as in a planned
// restart.
func leftWhileStopping(w *world) bool {
	nodes, servers := fleet(w, 5, 2)
	n, s := nodes[0], servers[0]
	defer callers(nodes)()
	if w.trouble {
		w.log("SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		time.Sleep(2800 * time.Millisecond)
	}
	s.mute()
	late, sent := s.report(), time.Now()
	confirmed, ok := s.leaveNow()
	if !ok {
		return false
	}
	if w.trouble {
		<-n.ended
		time.Sleep(restartPause)
		n.start()
		w.log("%s is started again", n.name)
	}
	started := time.Now()
	time.Sleep(2 * time.Second)
	w.log("records of departures in the store: %v", w.store.keys("departures/"))
	s.lateReport(late, sent)
	time.Sleep(4 * time.Second)
	return s.judge(confirmed, started.Add(stability+margin))
}

// leftBetweenRestarts: a node is killed, its server leaves soon after the node is back, and
// the node is killed again.
func leftBetweenRestarts(w *world) bool {
	nodes, servers := fleet(w, 5, 2)
	n, s := nodes[0], servers[0]
	defer callers(nodes)()
	s.mute()
	late, sent := s.report(), time.Now()
	restart := func() {
		if w.trouble {
			w.log("SIGKILL to %s", n.name)
			n.kill()
			time.Sleep(restartPause)
			n.start()
			w.log("%s is started again", n.name)
		}
	}
	restart()
	w.awaitReady(5*time.Second, n)
	time.Sleep(700 * time.Millisecond)
	confirmed, ok := s.leaveNow()
	if !ok {
		return false
	}
	time.Sleep(500 * time.Millisecond)
	w.log("records of departures in the store: %v", w.store.keys("departures/"))
	restart()
	started := time.Now()
	time.Sleep(1500 * time.Millisecond)
	s.lateReport(late, sent)
	time.Sleep(4500 * time.Millisecond)
	return s.judge(confirmed, started.Add(stability+margin))
}

// leftInOutage: the store is down while a server leaves and its node is killed.
func leftInOutage(w *world) bool {
	nodes, servers := fleet(w, 5, 2)
	n, s := nodes[0], servers[0]
	defer callers(nodes)()
	late, sent := s.report(), time.Now()
	outage := time.Now()
	if w.trouble {
		until := outage.Add(4500 * time.Millisecond)
		w.store.refuse = func(string) bool { return time.Now().Before(until) }
		w.log("the store is down (503) for 4.5 s")
	}
	time.Sleep(500 * time.Millisecond)
	confirmed, ok := s.leaveNow()
	if !ok {
		return false
	}
	if w.trouble {
		time.Sleep(restartPause)
		w.log("SIGKILL to %s", n.name)
		n.kill()
		time.Sleep(restartPause)
		n.start()
		w.log("%s is started again", n.name)
	}
	time.Sleep(time.Until(outage.Add(5500 * time.Millisecond)))
	w.log("records of departures in the store: %v", w.store.keys("departures/"))
	s.lateReport(late, sent)
	time.Sleep(5 * time.Second)
	return s.judge(confirmed, outage.Add(4500*time.Millisecond+stability+margin))
}
