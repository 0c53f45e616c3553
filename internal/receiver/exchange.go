package receiver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// outBytes and partBytes are the sizes of the buffers for a connection and for the body
	// of a response, as in net/http. A body that fits is sent with its length.
	outBytes  = 4 << 10
	partBytes = 2 << 10
	// writeStall limits each write of stallBytes if the handler sets no deadline: clients
	// that do not read would keep their connections for ever.
	writeStall = 30 * time.Second
	stallBytes = 64 << 10
	// maxUnreadBody is how much of a body that the handler has not read is read before the
	// response, as in net/http. unreadTimeout limits it if the handler sets no deadline.
	maxUnreadBody = 256 << 10
	unreadTimeout = 10 * time.Second

	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
)

var (
	outWriters  = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, outBytes) }}
	partWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, partBytes) }}
)

// exchange is a request and its response. It implements http.ResponseWriter.
type exchange struct {
	conn       *conn
	request    *http.Request
	handler    http.Handler
	concurrent bool
	body       *body
	cancel     context.CancelFunc
	// charge is what the request has taken from the budget.
	charge int64
	// turn is closed when all earlier responses are complete.
	turn chan struct{}

	response response

	mu sync.Mutex
	// front means that turn is closed, and finished that the handler has returned and the
	// whole response was written.
	front    bool
	finished bool
	// held is the part of the response that waits for turn.
	held []byte
	// writeLeft is the time for the next write once it is the turn of the response.
	writeLeft time.Duration
	limited   bool
	// readLimited means that the handler has set a read deadline.
	readLimited bool
	// closes means that the connection is closed after the response.
	closes bool
}

type lengthKey struct{}

// StatedLength reports whether the request with this context has a Content-Length header.
// net/http drops it beside a Transfer-Encoding, and so does a Server. Programs interpret a
// request with both headers differently, which allows request smuggling.
func StatedLength(ctx context.Context) bool {
	b, _ := ctx.Value(lengthKey{}).(bool)
	return b
}

func newExchange(c *conn, h head, charge int64) *exchange {
	x := &exchange{conn: c, handler: c.server.handler, charge: charge, turn: make(chan struct{})}
	ctx, cancel := context.WithCancel(c.ctx)
	if h.statedLength {
		ctx = context.WithValue(ctx, lengthKey{}, true)
	}
	x.cancel = cancel
	q := h.request.WithContext(ctx)
	q.RemoteAddr = c.remote
	q.Body = http.NoBody
	if h.chunked || q.ContentLength > 0 {
		x.body = &body{exchange: x, done: make(chan struct{}), chunked: h.chunked, remaining: max(q.ContentLength, 0)}
		x.body.expect.Store(h.expect)
		q.Body = x.body
	}
	x.request = q
	if q.RequestURI == "*" && q.Method == http.MethodOptions {
		x.handler = http.HandlerFunc(respondToServerOptions)
	}
	if f := c.server.options.Concurrent; f != nil && !q.Close && !h.expect {
		x.concurrent = f(q)
	}
	x.response.init(x)
	return x
}

// rejectionHandler writes a rejection.
func rejectionHandler(f *rejection) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		h.Set("Content-Type", "text/plain; charset=utf-8")
		h.Set("Connection", "close")
		if f.status == http.StatusServiceUnavailable {
			h.Set("Retry-After", "1")
		}
		if f.status == http.StatusExpectationFailed {
			h.Del("Content-Type")
			w.WriteHeader(f.status)
			return
		}
		w.WriteHeader(f.status)
		_, _ = fmt.Fprintf(w, "%d %s", f.status, f.Error())
	})
}

// respondToServerOptions answers requests for the options of the server as a whole.
func respondToServerOptions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "0")
}

// drop ends an exchange that has not begun.
func (x *exchange) drop() {
	x.cancel()
	x.conn.server.options.Budget.releaseRequest(x.charge)
}

// run calls the handler and completes the response.
func (x *exchange) run() {
	defer x.drop()
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				klog.ErrorS(nil, "Handler panicked", "caller", x.request.RemoteAddr, "panic", v, "stack", string(debug.Stack()))
			}
			x.fail()
		}
	}()
	x.handler.ServeHTTP(x, x.request)
	x.response.finish()
	if x.body != nil {
		x.body.abandon()
		if x.body.unread() {
			x.conn.closeAfter(x)
		}
	}
	x.mu.Lock()
	x.finished = true
	f := x.front
	x.mu.Unlock()
	if f {
		x.conn.advance(x)
	}
}

// fail ends the connection, since the response cannot be completed. The responses of
// earlier requests are still written.
func (x *exchange) fail() {
	c := x.conn
	if x.body != nil {
		x.body.abandon()
	}
	select {
	case <-x.turn:
		_ = c.flush()
	case <-c.gone:
	}
	c.abort()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = nil
	c.signal()
}

// advance completes the response of x, which is the first one, and of those that wait for
// it.
func (c *conn) advance(x *exchange) {
	for {
		if c.flush() != nil {
			c.abort()
		}
		x.endDeadline()
		c.mu.Lock()
		if len(c.queue) == 0 || c.queue[0] != x {
			c.mu.Unlock()
			return
		}
		c.queue = c.queue[1:]
		if x.closes && len(c.queue) > 0 {
			// Those behind it count as not read.
			c.queue = nil
			c.cancel()
		}
		if len(c.queue) == 0 {
			c.becomeIdle()
			c.mu.Unlock()
			return
		}
		n := c.queue[0]
		c.signal()
		c.mu.Unlock()
		if !n.promote() {
			return
		}
		x = n
	}
}

// becomeIdle waits for the next request. mu is held.
func (c *conn) becomeIdle() {
	c.queue = nil
	if c.out != nil {
		c.out.Reset(nil)
		outWriters.Put(c.out)
		c.out = nil
	}
	c.setPhase(phaseIdle)
	switch {
	case c.closing && c.reading:
		_ = c.net.SetReadDeadline(past)
	case c.idling:
		_ = c.net.SetReadDeadline(c.since.Add(c.server.limits().IdleTimeout))
	case c.reading:
		// The reader sets the deadline of the head that it reads.
		_ = c.net.SetReadDeadline(past)
	}
	c.signal()
}

// promote makes x the first response, and reports whether it is complete.
func (x *exchange) promote() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn.limited.Store(x.limited)
	if x.limited {
		_ = x.conn.net.SetWriteDeadline(time.Now().Add(x.writeLeft))
	}
	if len(x.held) > 0 {
		_, _ = x.conn.writer().Write(x.held)
		x.conn.releaseHeld(len(x.held))
		x.held = nil
	}
	x.front = true
	close(x.turn)
	return x.finished
}

// releaseHeld returns n bytes of held responses to the budget.
func (c *conn) releaseHeld(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = min(n, c.held)
	c.held -= n
	c.server.options.Budget.releaseRequest(int64(n))
}

// writer returns the writer of the connection, for the first response only.
func (c *conn) writer() *bufio.Writer {
	if c.out == nil {
		c.out, _ = outWriters.Get().(*bufio.Writer)
		c.out.Reset(stallWriter{c})
	}
	return c.out
}

// stallWriter limits the time of each write unless the handler does.
type stallWriter struct{ conn *conn }

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) {
	c := w.conn
	written := 0
	for {
		if !c.limited.Load() {
			_ = c.net.SetWriteDeadline(time.Now().Add(c.server.writeStall))
		}
		n, err := c.net.Write(p[:min(len(p), stallBytes)])
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// flush sends what the first response has written.
func (c *conn) flush() error {
	if c.out == nil {
		return nil
	}
	return c.out.Flush()
}

// write writes a part of the response, or holds it until its turn.
func (x *exchange) write(b []byte) (int, error) {
	x.mu.Lock()
	if x.front {
		x.mu.Unlock()
		return x.conn.writer().Write(b)
	}
	c := x.conn
	c.mu.Lock()
	ok := !c.dead && c.held+len(b) <= maxHeldBytes && c.server.options.Budget.takeRequest(int64(len(b)))
	if ok {
		c.held += len(b)
	}
	c.mu.Unlock()
	if ok {
		x.held = append(x.held, b...)
		x.mu.Unlock()
		return len(b), nil
	}
	x.mu.Unlock()
	select {
	case <-x.turn:
		return c.writer().Write(b)
	case <-c.gone:
		return 0, net.ErrClosed
	}
}

// endDeadline removes a deadline that the handler has left, which is not for the next
// response.
func (x *exchange) endDeadline() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limited = false
	x.conn.limited.Store(false)
}

// sendContinue asks the client for the body that it has announced.
func (x *exchange) sendContinue() {
	x.response.mu.Lock()
	defer x.response.mu.Unlock()
	if x.response.status != 0 {
		return
	}
	_, _ = io.WriteString(x.conn.writer(), continueLine)
	_ = x.conn.flush()
}

// SetReadDeadline implements the interface of http.ResponseController. It applies to the
// body.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body == nil {
		return nil
	}
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-x.body.done:
		return nil
	default:
	}
	x.readLimited = !t.IsZero()
	return c.net.SetReadDeadline(t)
}

// SetWriteDeadline implements the interface of http.ResponseController. While earlier
// responses are written, the time does not run.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limited = !t.IsZero()
	if x.front {
		x.conn.limited.Store(x.limited)
		return x.conn.net.SetWriteDeadline(t)
	}
	x.writeLeft = time.Until(t)
	return nil
}

// discardBody reads what the handler has left of the body, and reports whether the end was
// reached.
func (x *exchange) discardBody() bool {
	x.conn.mu.Lock()
	l := x.readLimited
	x.conn.mu.Unlock()
	if !l {
		_ = x.SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	return x.body.discard(maxUnreadBody)
}

// EnableFullDuplex implements the interface of http.ResponseController.
func (x *exchange) EnableFullDuplex() error {
	x.response.mu.Lock()
	defer x.response.mu.Unlock()
	x.response.fullDuplex = true
	return nil
}
