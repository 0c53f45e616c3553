// Package meter counts the bytes that a process sends and receives on its
// sockets, and serves metrics in the Prometheus format.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts bytes received and sent. Its zero value is ready to use.
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

// Listener wraps l so that t counts the bytes of accepted connections.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return countingListener{Listener: l, traffic: t}
}

// Dialer returns the dial function of d, wrapped so that t counts the bytes of
// its connections.
func (t *Traffic) Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCountingConn(c, t), nil
	}
}

type countingListener struct {
	net.Listener

	traffic *Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountingConn(c, l.traffic), nil
}

type countingConn struct {
	net.Conn

	traffic atomic.Pointer[Traffic]
}

func newCountingConn(c net.Conn, t *Traffic) *countingConn {
	n := &countingConn{Conn: c}
	n.traffic.Store(t)
	return n
}

// NetConn returns the wrapped connection.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Load().AddReceived(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Load().AddSent(n)
	return n, err
}

type connKey struct{}

// WithConn returns a context that carries c, for use as http.Server's
// ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Attribute makes t count all further bytes of the connection that ctx carries.
func Attribute(ctx context.Context, t *Traffic) {
	if c, ok := ctx.Value(connKey{}).(*countingConn); ok {
		c.traffic.Store(t)
	}
}
