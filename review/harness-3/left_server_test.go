package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// storeAway is how long the store is down, and restartAfter the delay after which the
	// platform starts a process again that has ended.
	storeAway    = 4500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// lateBy is how late a liveness report arrives that was sent before the server left.
	lateBy = 4800 * time.Millisecond
	// drainBound is the bound of the rule, and stability the stability-window.
	drainBound = 2 * time.Second
	stability  = 3 * time.Second
)

// leftServer lets a server leave while the store is down. After its leaving was confirmed,
// the process beside it is killed and starts again, and a liveness report that the server
// sent before it left arrives late.
func leftServer(rec *record, trouble bool) (result, error) {
	m, err := newMesh(rec, "a")
	if err != nil {
		return notRun, err
	}
	defer m.close()
	for i := range 4 {
		s := "booking"
		if i == 3 {
			s = "maps"
		}
		n, err := m.addNode("a", s, memoryMB)
		if err != nil {
			return notRun, err
		}
		if err := n.start(true); err != nil {
			return notRun, err
		}
		err = n.startServer(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "booked")
		})
		if err != nil {
			return notRun, err
		}
	}
	m.store.operate("op/config", []byte(downloadDocument))
	for _, n := range m.nodes {
		if !eventually(20*time.Second, n.isReady) {
			return notRun, errors.New(n.name + " does not become ready")
		}
	}
	time.Sleep(stability + 3*time.Second)
	begun := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	m.store.setDown(trouble)
	until(100 * time.Millisecond)
	s := m.nodes[0].server
	late := s.report()
	s.silent.Store(true)
	s.leaving.Store(true)
	confirmed, err := s.leave()
	if err != nil {
		return notRun, err
	}
	until(1200 * time.Millisecond)
	if trouble {
		n := m.nodes[0]
		n.signal(syscall.SIGKILL)
		<-n.done()
		time.Sleep(restartAfter)
		if err := n.start(false); err != nil {
			return notRun, err
		}
	}
	until(storeAway)
	m.store.setDown(false)
	for _, n := range m.nodes {
		if !eventually(20*time.Second, n.isReady) {
			return notRun, errors.New(n.name + " does not become ready again")
		}
	}
	until(lateBy)
	rec.add("a liveness report that %s sent before it left arrives: status %d", s.id, send(late))
	until(storeAway + stability + 200*time.Millisecond)
	rec.add("the store has been stable and all processes have run for the stability-window")
	return countLate(m, s, confirmed), nil
}

// leave says that the server is gone and returns the time of the confirmation.
func (s *server) leave() (time.Time, error) {
	q, _ := http.NewRequest(http.MethodDelete, "http://"+s.node.at("control")+"/v1/instances/"+s.id, nil)
	st := send(q)
	s.node.mesh.rec.add("server %s says that it is gone: status %d", s.id, st)
	if st < 200 || st > 299 {
		return time.Time{}, errors.New("the leaving was not confirmed")
	}
	return time.Now(), nil
}

// countLate sends bookings and counts those that reach a server that has left.
func countLate(m *mesh, s *server, confirmed time.Time) result {
	s.mu.Lock()
	before := len(s.runs)
	s.mu.Unlock()
	m.rec.add("bookings begin %v after the confirmation (drain is %v)", time.Since(confirmed).Round(time.Millisecond), drainBound)
	var g sync.WaitGroup
	for i := range 120 {
		g.Go(func() { bookQuickly(m, m.nodes[1+i%3]) })
		time.Sleep(12 * time.Millisecond)
	}
	g.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	m.rec.add("%d bookings reached the server that has left", len(s.runs)-before)
	if len(s.runs) > before {
		return broken
	}
	return held
}

func bookQuickly(m *mesh, n *node) {
	id := newID()
	k, err := net.DialTimeout("tcp", n.at("outbound"), time.Second)
	if err != nil {
		m.rec.add("booking %s at %s: no connection: %v", id, n.name, err)
		return
	}
	defer func() { _ = k.Close() }()
	_ = k.SetDeadline(time.Now().Add(bookingLimit))
	_, _ = io.WriteString(k, request(http.MethodPost, "book.example", "/book/1", id, bookingLimit, "seat"))
	b := make([]byte, 1<<10)
	c, err := k.Read(b)
	m.rec.add("booking %s at %s: %.30q, %v", id, n.name, b[:c], err)
}
