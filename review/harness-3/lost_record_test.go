package main

import (
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// The times are from the server's leaving on.
	drillAt      = 2 * time.Second
	killAt       = 3500 * time.Millisecond
	lateReportAt = 5200 * time.Millisecond
)

// lostRecord lets a server leave, then the store come back from a copy made before, and
// then all processes be killed at once. With DRILL=0 the drill is left out.
func lostRecord(rec *record, trouble bool) (result, error) {
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
	c := m.store.copy()
	s := m.nodes[0].server
	late := s.report()
	s.silent.Store(true)
	s.leaving.Store(true)
	confirmed, err := s.leave()
	if err != nil {
		return notRun, err
	}
	until := func(d time.Duration) { time.Sleep(time.Until(confirmed.Add(d))) }
	until(drillAt)
	if trouble && os.Getenv("DRILL") != "0" {
		m.store.away.Lock()
		time.Sleep(awayFor)
		m.store.restore(c)
		m.store.away.Unlock()
	}
	until(killAt)
	if trouble {
		for _, n := range m.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range m.nodes {
			<-n.done()
		}
		time.Sleep(restartAfter)
		for _, n := range m.nodes {
			if err := n.start(false); err != nil {
				return notRun, err
			}
		}
	}
	until(lateReportAt)
	rec.add("a liveness report that %s sent before it left arrives: status %d", s.id, send(late))
	until(killAt + restartAfter + stability + 300*time.Millisecond)
	rec.add("all processes have run for the stability-window")
	return countLate(m, s, confirmed), nil
}
