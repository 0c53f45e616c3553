package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayFor how long
	// it is away.
	copyAge = 4 * time.Second
	awayFor = 250 * time.Millisecond
	// configApply and stretchMax are the bounds of the rule.
	configApply = 2 * time.Second
	stretchMax  = 5 * time.Second
)

// switchDocument is a configuration whose route "r-switch" leads to a service.
func switchDocument(version int, service string) []byte {
	d := strings.Replace(downloadDocument, `"version": 3`, fmt.Sprintf(`"version": %d`, version), 1)
	return []byte(strings.Replace(d, `"rows": [["r-book"`,
		fmt.Sprintf(`"rows": [["r-switch", "switch.example", "/switch/", "non_idempotent", "1500ms", "500ms", 1, %q, 2], ["r-book"`, service), 1))
}

// olderCopy lets the store come back from a copy that is some seconds old. Since the copy
// a server has left, which the system has recorded, and the operator has changed the
// configuration. He writes it again, and the change for which he has waited meanwhile.
func olderCopy(rec *record, trouble bool) (result, error) {
	m, err := newMesh(rec, "a", "b")
	if err != nil {
		return notRun, err
	}
	defer m.close()
	for i := range 6 {
		s := "booking"
		if i >= 3 {
			s = "maps"
		}
		n, err := m.addNode([]string{"a", "b"}[i%2], s, memoryMB)
		if err != nil {
			return notRun, err
		}
		if err := n.start(true); err != nil {
			return notRun, err
		}
		if err := n.startServer(func(w http.ResponseWriter, _ *http.Request, _ []byte) { _, _ = io.WriteString(w, s) }); err != nil {
			return notRun, err
		}
	}
	m.store.operate("op/config", switchDocument(4, "booking"))
	for _, n := range m.nodes {
		if !eventually(20*time.Second, n.isReady) {
			return notRun, errors.New(n.name + " does not become ready")
		}
	}
	time.Sleep(6 * time.Second)
	if by := who(m); by["booking"] != len(m.nodes) {
		return notRun, fmt.Errorf("before the change: %v", by)
	}
	c := m.store.copy()
	s := m.nodes[0].server
	s.silent.Store(true)
	s.leaving.Store(true)
	if _, err := s.leave(); err != nil {
		return notRun, err
	}
	time.Sleep(copyAge / 2)
	m.store.operate("op/config", switchDocument(7, "maps"))
	time.Sleep(copyAge / 2)
	if by := who(m); by["maps"] != len(m.nodes) {
		return notRun, fmt.Errorf("after the first change: %v", by)
	}
	if trouble {
		rec.add("the store is away")
		m.store.away.Lock()
		time.Sleep(awayFor)
		m.store.restore(c)
		m.store.operate("op/config", switchDocument(7, "maps"))
	}
	m.store.operate("op/config", switchDocument(9, "booking"))
	if trouble {
		m.store.away.Unlock()
		rec.add("the store is back")
	}
	time.Sleep(configApply + stretchMax + time.Second)
	r := held
	for range 6 {
		if by := who(m); by["booking"] != len(m.nodes) {
			r = broken
		}
		time.Sleep(500 * time.Millisecond)
	}
	return r, nil
}

// who sends a request on the route at each machine and counts the services that run it.
func who(m *mesh) map[string]int {
	var g sync.WaitGroup
	var mu sync.Mutex
	by := map[string]int{}
	for _, n := range m.nodes {
		g.Go(func() {
			id := newID()
			b := ask(n, id)
			m.rec.add("request %s on /switch/ at %s is answered by %q", id, n.name, b)
			mu.Lock()
			defer mu.Unlock()
			by[b]++
		})
	}
	g.Wait()
	return by
}

// ask sends one request and returns the body of its answer.
func ask(n *node, id string) string {
	k, err := net.DialTimeout("tcp", n.at("outbound"), time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = k.Close() }()
	_ = k.SetDeadline(time.Now().Add(bookingLimit))
	_, _ = io.WriteString(k, request(http.MethodPost, "switch.example", "/switch/1", id, bookingLimit, "x"))
	r, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err != nil {
		return err.Error()
	}
	b, _ := io.ReadAll(io.LimitReader(r.Body, 64))
	_ = r.Body.Close()
	return string(b)
}
