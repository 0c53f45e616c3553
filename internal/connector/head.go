package connector

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// headWindow is how much of the beginning of a request is kept.
const headWindow = 4 << 10

// headListener keeps the beginning of what arrives after each answer, since
// net/http drops a Content-Length beside a Transfer-Encoding unseen. A request
// with both is read differently by different programs, which lets one request
// hide inside another.
type headListener struct{ net.Listener }

// Accept implements net.Listener.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c}, nil
}

// KeepHeads returns l for use with a server that was made by NewServer.
func KeepHeads(l net.Listener) net.Listener { return headListener{l} }

type headConn struct {
	net.Conn

	mu   sync.Mutex
	head []byte
}

// NetConn returns the connection underneath.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if room := headWindow - len(c.head); room > 0 {
			c.head = append(c.head, b[:min(n, room)]...)
		}
		c.mu.Unlock()
	}
	return n, err
}

// restart forgets the request that was answered.
func (c *headConn) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
}

func (c *headConn) statedLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, _, _ := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(h), []byte("\r\ncontent-length:"))
}

type headKey struct{}

// withConn remembers the connection of a server's requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if h, ok := c.(*headConn); ok {
		return context.WithValue(ctx, headKey{}, h)
	}
	return meter.WithConn(ctx, c)
}

// trackState notes the end of each answer.
func trackState(c net.Conn, s http.ConnState) {
	if h, ok := c.(*headConn); ok && s == http.StateIdle {
		h.restart()
	}
}

// StatedLength reports whether the request with this context has a
// Content-Length, where the server's listener keeps heads.
func StatedLength(ctx context.Context) bool {
	h, ok := ctx.Value(headKey{}).(*headConn)
	return ok && h.statedLength()
}
