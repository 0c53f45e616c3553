package harness

import (
	"net"
	"sync"
)

// proxy forwards connections to an address, and can silence those that are open.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

// pair is a forwarded connection with its two ends.
type pair struct {
	mu     sync.Mutex
	silent bool
	ended  bool
	a, b   net.Conn
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		q := &pair{a: a, b: b}
		p.mu.Lock()
		p.pairs = append(p.pairs, q)
		p.mu.Unlock()
		go q.copy(a, b)
		go q.copy(b, a)
	}
}

// silence makes all open connections silent for good, without a reset. It returns
// their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.pairs {
		q.mu.Lock()
		if !q.ended {
			q.silent = true
			n++
		}
		q.mu.Unlock()
	}
	return n
}

// copy forwards what from sends. Of a silent pair it forwards nothing, not even an
// end.
func (q *pair) copy(from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		q.mu.Lock()
		silent := q.silent
		q.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			q.mu.Lock()
			q.ended = true
			q.mu.Unlock()
			_ = q.a.Close()
			_ = q.b.Close()
			return
		}
	}
}
