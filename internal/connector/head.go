package connector

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// maxRecordedBytes is how much of the beginning of each request is recorded.
const maxRecordedBytes = 4 << 10

// recordingListener records the beginning of each request, because net/http
// silently drops a Content-Length next to a Transfer-Encoding. Programs
// interpret a request with both headers differently, which allows request
// smuggling.
type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c}, nil
}

// KeepHeads wraps l so that StatedLength works for a server from NewServer.
func KeepHeads(l net.Listener) net.Listener { return recordingListener{l} }

type recordingConn struct {
	net.Conn

	mu       sync.Mutex
	recorded []byte
}

// NetConn returns the underlying connection.
func (c *recordingConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if room := maxRecordedBytes - len(c.recorded); room > 0 {
			c.recorded = append(c.recorded, b[:min(n, room)]...)
		}
		c.mu.Unlock()
	}
	return n, err
}

// reset discards the recorded request once it has been answered.
func (c *recordingConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = c.recorded[:0]
}

func (c *recordingConn) hasContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, _, _ := bytes.Cut(c.recorded, []byte("\r\n\r\n"))
	return bytes.Contains(bytes.ToLower(h), []byte("\r\ncontent-length:"))
}

type connKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if h, ok := c.(*recordingConn); ok {
		return context.WithValue(ctx, connKey{}, h)
	}
	return meter.WithConn(ctx, c)
}

// resetWhenIdle resets the recorded request when its response is complete.
func resetWhenIdle(c net.Conn, s http.ConnState) {
	if h, ok := c.(*recordingConn); ok && s == http.StateIdle {
		h.reset()
	}
}

// StatedLength reports whether the request with this context has a
// Content-Length header. The server's listener must be wrapped by KeepHeads.
func StatedLength(ctx context.Context) bool {
	h, ok := ctx.Value(connKey{}).(*recordingConn)
	return ok && h.hasContentLength()
}
