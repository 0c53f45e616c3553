package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bookingWork  = 800 * time.Millisecond
	bookingLimit = 3 * time.Second
	// secondAfter is the time between the two signals, well within grace.
	secondAfter = 500 * time.Millisecond
)

// secondStop stops a machine on its own, and again when its server has ended meanwhile.
func secondStop(rec *record, trouble bool) (result, error) {
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
			time.Sleep(bookingWork)
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
	time.Sleep(3 * time.Second)
	n := m.nodes[3]
	var cut, answered atomic.Int64
	var g sync.WaitGroup
	stop := make(chan struct{})
	g.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				g.Go(func() { bookOnce(m, n, &cut, &answered) })
			}
		}
	})
	time.Sleep(2 * time.Second)
	n.signal(syscall.SIGTERM)
	time.Sleep(secondAfter)
	if trouble {
		_ = n.server.http.Close()
		n.server.silent.Store(true)
		rec.add("the server beside %s has ended", n.name)
		n.signal(syscall.SIGTERM)
	}
	select {
	case <-n.done():
	case <-time.After(7 * time.Second):
		return notRun, errors.New("the process does not end")
	}
	close(stop)
	g.Wait()
	rec.add("%d answered, %d cut while a server ran them", answered.Load(), cut.Load())
	if cut.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// bookOnce sends one booking and waits for its answer.
func bookOnce(m *mesh, n *node, cut, answered *atomic.Int64) {
	id := newID()
	k, err := net.DialTimeout("tcp", n.at("outbound"), time.Second)
	if err != nil {
		m.rec.add("booking %s: no connection: %v", id, err)
		return
	}
	defer func() { _ = k.Close() }()
	_ = k.SetDeadline(time.Now().Add(bookingLimit))
	_, _ = io.WriteString(k, request(http.MethodPost, "book.example", "/book/1", id, bookingLimit, "seat"))
	sent := time.Now()
	b, err := io.ReadAll(io.LimitReader(&oneAnswer{Conn: k}, 1<<16))
	status, _, _ := strings.Cut(string(b), "\r\n")
	runs := 0
	for _, o := range m.nodes {
		o.server.mu.Lock()
		runs += o.server.runs[id]
		o.server.mu.Unlock()
	}
	m.rec.add("booking %s: %q after %v, %v; run %d times", id, status, time.Since(sent).Round(time.Millisecond), err, runs)
	switch {
	case status != "":
		answered.Add(1)
	case runs > 0:
		cut.Add(1)
	}
}

// oneAnswer ends after the first part of an answer, which holds all of a short one.
type oneAnswer struct {
	net.Conn

	done bool
}

// Read implements io.Reader.
func (o *oneAnswer) Read(p []byte) (int, error) {
	if o.done {
		return 0, io.EOF
	}
	n, err := o.Conn.Read(p)
	o.done = n > 0
	return n, err
}
