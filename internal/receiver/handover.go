package receiver

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

const (
	http2Preface     = "PRI * HTTP/2.0"
	maxHTTP2Streams  = 1000
	handoverCapacity = 16
)

// handover passes connections to net/http's server, as a listener.
type handover struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	began  sync.Once
}

// chargeStreams makes the requests of HTTP/2 take their part of the budget. Their heads
// are read by net/http, which limits each to DefaultMaxHeaderBytes.
func chargeStreams(h http.Handler, b *Budget, s *Stats) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := b.cost(requestCost + lineCost*int64(len(r.Header)))
		if !b.takeRequest(n) {
			s.OverBudget.Add(1)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer b.releaseRequest(n)
		h.ServeHTTP(w, r)
	})
}

func newHandover(h http.Handler) *handover {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	d := &handover{conns: make(chan net.Conn, handoverCapacity), done: make(chan struct{})}
	d.server = &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: DefaultHeaderTimeout,
		IdleTimeout:       DefaultIdleTimeout,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Streams},
		ConnContext: func(ctx context.Context, k net.Conn) context.Context {
			if p, ok := k.(*prefixedConn); ok {
				return meter.WithConn(ctx, p.Conn)
			}
			return ctx
		},
		ConnState: func(k net.Conn, s http.ConnState) {
			p, ok := k.(*prefixedConn)
			if !ok {
				return
			}
			switch s {
			case http.StateIdle:
				p.conn.enter(phaseIdle)
			case http.StateNew, http.StateActive:
				p.conn.enter(phaseRunning)
			case http.StateHijacked, http.StateClosed:
			}
		},
	}
	return d
}

func (d *handover) serve() {
	d.began.Do(func() { _ = d.server.Serve(d) })
}

func (d *handover) close() {
	_ = d.server.Close()
	_ = d.Close()
}

// pass hands over a connection of which prefix was read.
func (d *handover) pass(c *conn, prefix []byte) bool {
	select {
	case d.conns <- &prefixedConn{Conn: c.net, conn: c, prefix: prefix}:
		return true
	case <-d.done:
		return false
	}
}

// Accept implements net.Listener.
func (d *handover) Accept() (net.Conn, error) {
	select {
	case k := <-d.conns:
		return k, nil
	case <-d.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (d *handover) Close() error {
	d.once.Do(func() { close(d.done) })
	return nil
}

// Addr implements net.Listener.
func (d *handover) Addr() net.Addr { return &net.TCPAddr{} }

// prefixedConn is a connection whose first bytes were read before.
type prefixedConn struct {
	net.Conn

	conn   *conn
	prefix []byte
}

// Read implements net.Conn.
func (p *prefixedConn) Read(b []byte) (int, error) {
	if len(p.prefix) > 0 {
		n := copy(b, p.prefix)
		p.prefix = p.prefix[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

// Close implements net.Conn.
func (p *prefixedConn) Close() error {
	err := p.Conn.Close()
	p.conn.cancel()
	p.conn.server.forget(p.conn)
	return err
}
