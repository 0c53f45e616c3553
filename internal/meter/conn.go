// Package meter counts what a process does: bytes at its sockets and the
// instruments that it serves for scraping.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts bytes in both directions. Its zero value is ready to use.
type Traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// Received returns the number of bytes read from sockets.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Sent returns the number of bytes written to sockets.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// AddReceived counts n bytes read.
func (t *Traffic) AddReceived(n int) { t.received.Add(uint64(max(n, 0))) }

// AddSent counts n bytes written.
func (t *Traffic) AddSent(n int) { t.sent.Add(uint64(max(n, 0))) }

// Listener returns l with its connections counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return listener{Listener: l, traffic: t}
}

// Dialer returns d with its connections counted.
func (t *Traffic) Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, t), nil
	}
}

type listener struct {
	net.Listener

	traffic *Traffic
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.traffic), nil
}

type conn struct {
	net.Conn

	traffic atomic.Pointer[Traffic]
}

func newConn(c net.Conn, t *Traffic) *conn {
	n := &conn{Conn: c}
	n.traffic.Store(t)
	return n
}

// NetConn returns the connection underneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Load().AddReceived(n)
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Load().AddSent(n)
	return n, err
}

type connKey struct{}

// WithConn returns a context that remembers a connection, for http.Server's
// ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Attribute makes t count the connection that ctx remembers from now on.
func Attribute(ctx context.Context, t *Traffic) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.traffic.Store(t)
	}
}
