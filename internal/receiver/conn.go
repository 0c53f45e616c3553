package receiver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

const (
	// firstBufferBytes holds an ordinary head. It belongs to the fixed cost of a
	// connection, and what a longer head needs is taken from the budget.
	firstBufferBytes = 1 << 10
	bufferGrowth     = 4
	// maxAhead limits what is read while no further request may start.
	maxAhead = 4 << 10
	// maxPipelined and maxHeldBytes limit the requests of one connection that run at once,
	// and the responses that wait for earlier ones.
	maxPipelined = 8
	maxHeldBytes = 64 << 10
	// lingerTime is how long a connection is kept open after its last response, so that
	// the client reads it before the connection is reset because of unread data.
	lingerTime = 500 * time.Millisecond
	// budgetWait is how long a request waits for a part of the budget, budgetPoll how often
	// it asks.
	budgetWait = 200 * time.Millisecond
	budgetPoll = 10 * time.Millisecond
	// hangUpPoll is how often a connection that is not read is checked for its end.
	hangUpPoll = 200 * time.Millisecond
)

var (
	// errGarbage reports data that is no request.
	errGarbage = errors.New("no request")
	// past is a deadline that interrupts a read.
	past = time.Unix(1, 0)
)

// conn is a connection from a client. One goroutine reads requests from it, and each
// request runs in one of its own.
type conn struct {
	server *Server
	net    net.Conn
	// ctx is the context of all requests.
	ctx    context.Context
	cancel context.CancelFunc
	// remote is the address of the client.
	remote string
	// overflow means that the connection was accepted beyond the limit.
	overflow bool
	// received counts the bytes of the head or body that is being read.
	received atomic.Int64
	// limited means that the handler has set a write deadline.
	limited atomic.Bool

	// buf[r:w] was read but not used yet. It belongs to the reading goroutine, and to the
	// handler while it reads a body.
	buf  []byte
	r, w int
	// skipped is how many bytes of empty lines were ignored in front of the head.
	skipped int
	// out writes the response of the first request in queue.
	out *bufio.Writer
	// unread means that the client has sent data that is not read.
	unread bool

	mu    sync.Mutex
	phase phase
	// since is when phase began.
	since time.Time
	// headCharge is what the unfinished head has taken from the budget.
	headCharge int64
	// queue holds the requests without a complete response, in their order.
	queue []*exchange
	// held is how many bytes of responses wait for earlier ones. They are taken from the
	// budget.
	held int
	// reading means that the reader waits for a part of a head, and idling for the first
	// byte of one.
	reading bool
	idling  bool
	// watching means that the reader waits for a change while it reads ahead.
	watching bool
	changed  chan struct{}
	// closing means that no further requests are read.
	closing bool
	// hungUp means that the client has closed its side.
	hungUp bool
	// served means that a request was read.
	served bool
	// dead means that the connection is closed; gone is closed then.
	dead bool
	gone chan struct{}
}

func newConn(s *Server, k net.Conn) *conn {
	ctx := meter.WithConn(context.Background(), k)
	ctx = context.WithValue(ctx, http.LocalAddrContextKey, k.LocalAddr())
	c := &conn{server: s, net: k, remote: k.RemoteAddr().String(), since: time.Now(), changed: make(chan struct{}, 1), gone: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(p)
}

func (c *conn) setPhase(p phase) {
	if p == phaseHead || p == phaseBody {
		c.received.Store(0)
	}
	c.phase, c.since = p, time.Now()
}

// busy reports whether a stopping server waits for the connection.
func (c *conn) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.dead:
		return false
	case len(c.queue) > 0 || c.phase == phaseHead:
		return true
	}
	return c.phase == phaseIdle && !c.served && now.Sub(c.since) < firstRequestTimeout
}

// run reads requests until the connection ends.
func (c *conn) run() {
	if c.readRequests() {
		return
	}
	c.await(func() bool { return len(c.queue) == 0 })
	c.linger()
	c.abort()
}

// readRequests reads requests and starts them. It returns true if the connection was
// handed over to another server.
func (c *conn) readRequests() bool {
	for c.await(c.mayRead) && !c.isClosing() {
		b, err := c.readHead()
		if err == nil && c.isHTTP2(b) {
			return c.handOver()
		}
		var x *exchange
		if err == nil {
			x, err = c.receive(b)
		}
		c.releaseHead()
		if err != nil {
			x = c.reject(err)
		}
		if x == nil || !c.schedule(x) {
			return false
		}
	}
	return false
}

func (c *conn) mayRead() bool {
	return c.closing || len(c.queue) < maxPipelined && c.held < maxHeldBytes
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// isHTTP2 reports whether the connection begins with the HTTP/2 preface, and another
// server is there for it.
func (c *conn) isHTTP2(b []byte) bool {
	if c.server.http2 == nil || !bytes.HasPrefix(b, []byte(http2Preface)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.served
}

func (c *conn) handOver() bool {
	b := bytes.Clone(c.buf[c.r:c.w])
	c.releaseHead()
	c.buf = nil
	c.mu.Lock()
	c.served = true
	c.setPhase(phaseRunning)
	c.mu.Unlock()
	_ = c.net.SetReadDeadline(time.Time{})
	return c.server.http2.pass(c, b)
}

// readHead reads the next head and returns it without removing it from the buffer.
func (c *conn) readHead() ([]byte, error) {
	c.skipped = 0
	scanned := 0
	for {
		l := c.server.limits()
		if err := c.skipEmptyLines(); err != nil {
			return nil, err
		}
		b := c.buf[c.r:c.w]
		n := headLength(b, scanned)
		if n > 0 {
			b = b[:n]
		}
		if err := checkHead(b, l); err != nil {
			return nil, c.judge(err)
		}
		if n > 0 {
			return b, nil
		}
		scanned = len(b)
		if err := c.makeRoom(2*l.MaxHeaderBytes + 2*firstBufferBytes); err != nil {
			return nil, c.judge(err)
		}
		if err := c.readPart(l); err != nil {
			return nil, c.judge(err)
		}
	}
}

// judge returns errGarbage in place of err if the client would not understand a response.
func (c *conn) judge(err error) error {
	var f *rejection
	if errors.As(err, &f) && !looksLikeRequest(c.buf[c.r:c.w]) {
		return errGarbage
	}
	return err
}

// readPart reads a part of a head.
func (c *conn) readPart(l Limits) error {
	if !c.arm(l) {
		return io.EOF
	}
	n, err := c.net.Read(c.buf[c.w:])
	c.w += n
	c.mu.Lock()
	c.reading, c.idling = false, false
	if n > 0 && c.phase == phaseIdle && len(c.queue) == 0 {
		c.setPhase(phaseHead)
	}
	c.mu.Unlock()
	c.received.Add(int64(n))
	if n == 0 && err != nil {
		return c.headFailed(err, l)
	}
	return nil
}

// skipEmptyLines ignores a few empty lines in front of a request.
func (c *conn) skipEmptyLines() error {
	for c.r < c.w && (c.buf[c.r] == '\r' || c.buf[c.r] == '\n') {
		c.r++
		if c.skipped++; c.skipped > maxEmptyBytes {
			return errGarbage
		}
	}
	return nil
}

// checkHead checks the size of a head, which may be unfinished.
func checkHead(b []byte, l Limits) error {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		i = len(b)
	}
	if i > l.MaxHeaderBytes || len(b)-i > l.MaxHeaderBytes {
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the head is too long"}
	}
	return nil
}

// arm sets the deadline of the next read for a head. It returns false if nothing more
// will arrive.
func (c *conn) arm(l Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hungUp || c.dead || c.closing {
		return false
	}
	var t time.Time
	begun := c.w > c.r || c.skipped > 0
	switch {
	case begun && len(c.queue) == 0 && c.phase != phaseHead:
		c.setPhase(phaseHead)
		c.received.Store(int64(c.w - c.r))
		t = c.since.Add(l.HeaderTimeout)
	case begun && len(c.queue) == 0:
		t = c.since.Add(l.HeaderTimeout)
	case len(c.queue) == 0:
		t = c.since.Add(l.IdleTimeout)
	}
	c.reading, c.idling = true, !begun
	_ = c.net.SetReadDeadline(t)
	return true
}

// headFailed returns the error that ends a head after a failed read, nil if the head may
// be read on.
func (c *conn) headFailed(err error, l Limits) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.hangUp()
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.dead:
		return io.EOF
	case len(c.queue) > 0:
		return nil
	case c.phase == phaseHead && now.Sub(c.since) >= l.HeaderTimeout:
		return &rejection{status: http.StatusRequestTimeout, reason: "the head is incomplete"}
	case c.phase == phaseIdle && now.Sub(c.since) >= c.server.limits().IdleTimeout:
		return io.EOF
	}
	return nil
}

// makeRoom makes room in the buffer, which may become as large as limit.
func (c *conn) makeRoom(limit int) error {
	if c.r == c.w {
		c.r, c.w = 0, 0
	}
	if c.buf == nil {
		c.buf = make([]byte, firstBufferBytes)
	}
	if c.w < len(c.buf) {
		return nil
	}
	if c.r > 0 {
		c.w = copy(c.buf, c.buf[c.r:c.w])
		c.r = 0
		return nil
	}
	n := min(bufferGrowth*len(c.buf), max(limit, len(c.buf)+firstBufferBytes))
	if err := c.charge(int64(n - len(c.buf))); err != nil {
		return err
	}
	b := make([]byte, n)
	c.w = copy(b, c.buf[:c.w])
	c.buf = b
	return nil
}

// charge takes n bytes from the budget for a buffer. If there are none left, the slowest
// heads are closed.
func (c *conn) charge(n int64) error {
	g := c.server.options.Budget
	for !g.takeHead(n) {
		v := g.slowestHead()
		if v == nil || v == c {
			c.server.options.Stats.OverBudget.Add(1)
			return &rejection{status: http.StatusServiceUnavailable, reason: "out of memory for requests"}
		}
		v.server.evictSlow(v, "memory")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		g.releaseHead(n)
		return io.EOF
	}
	c.headCharge += n
	return nil
}

// releaseHead returns what the buffer has taken from the budget, once the buffer is as
// small as at first.
func (c *conn) releaseHead() {
	if len(c.buf) > firstBufferBytes {
		rest := c.buf[c.r:c.w]
		if len(rest) > firstBufferBytes {
			return
		}
		b := make([]byte, firstBufferBytes)
		c.r, c.w, c.buf = 0, copy(b, rest), b
	}
	c.returnCharge()
}

func (c *conn) returnCharge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headCharge > 0 {
		c.server.options.Budget.releaseHead(c.headCharge)
		c.headCharge = 0
	}
}

// receive makes a request from a head, if the budget allows it.
func (c *conn) receive(b []byte) (*exchange, error) {
	g, s := c.server.options.Budget, c.server.options.Stats
	charge := g.cost(cost(b))
	if !c.takeRequest(charge) {
		s.OverBudget.Add(1)
		c.server.options.Log.Info("Request is rejected for lack of memory", "caller", c.remote, "cost", charge, "used", g.Used(), "budget", g.Size())
		c.r += len(b)
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "out of memory for requests"}
	}
	h, f := parseHead(b)
	c.r += len(b)
	if f == nil && h.statedLength && h.chunked && !c.server.options.PassAmbiguousLength {
		f = malformed("the body has a length and is sent in chunks as well")
	}
	if m := c.server.limits().MaxBodyBytes; f == nil && m > 0 && h.request.ContentLength > m {
		f = &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	if n := bodyCharge(h); f == nil && n > 0 {
		if c.takeRequest(n) {
			charge += n
		} else {
			s.OverBudget.Add(1)
			f = &rejection{status: http.StatusServiceUnavailable, reason: "out of memory for bodies"}
		}
	}
	if f != nil {
		g.releaseRequest(charge)
		if !looksLikeRequest(b) {
			return nil, errGarbage
		}
		return nil, f
	}
	x := newExchange(c, h, charge)
	if c.overflow {
		x.handler = rejectionHandler(&rejection{status: http.StatusServiceUnavailable, reason: "too many connections"})
	}
	return x, nil
}

// takeRequest takes n bytes from the budget, for which it waits briefly.
func (c *conn) takeRequest(n int64) bool {
	g := c.server.options.Budget
	if g.takeRequest(n) {
		return true
	}
	if v := g.stalledBody(); v != nil {
		v.server.evictSlow(v, "memory")
	}
	for end := time.Now().Add(budgetWait); time.Now().Before(end) && !c.isClosing(); time.Sleep(budgetPoll) {
		if g.takeRequest(n) {
			return true
		}
	}
	return false
}

// reject returns an exchange that tells the client why its request is rejected, nil if the
// client would not understand it.
func (c *conn) reject(err error) *exchange {
	s := c.server.options.Stats
	var f *rejection
	if !errors.As(err, &f) {
		if errors.Is(err, errGarbage) {
			s.Malformed.Add(1)
			c.unread = true
		}
		return nil
	}
	c.unread = true
	switch f.status {
	case http.StatusRequestTimeout:
		s.TooSlow.Add(1)
	case http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		s.TooLarge.Add(1)
	case http.StatusServiceUnavailable:
	default:
		s.Malformed.Add(1)
	}
	c.server.options.Log.Info("Request is rejected", "caller", c.remote, "status", f.status, "cause", f.reason)
	x := newExchange(c, head{request: &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true}}, 0)
	x.handler = rejectionHandler(f)
	return x
}

// schedule starts x, after those before it unless it may run beside them. It returns false
// if no further request is read.
func (c *conn) schedule(x *exchange) bool {
	if !x.concurrent {
		c.await(func() bool { return len(c.queue) == 0 || c.closing })
	}
	c.mu.Lock()
	if c.dead || c.closing {
		c.mu.Unlock()
		x.drop()
		return false
	}
	if len(c.queue) == 0 {
		x.front = true
		close(x.turn)
	} else {
		c.server.options.Stats.Pipelined.Add(1)
	}
	c.queue = append(c.queue, x)
	c.served = true
	last := x.request.Close
	if last {
		c.closing = true
	}
	p := phaseRunning
	if x.body != nil {
		p = phaseBody
		// That of the head, or of an interrupted read.
		_ = c.net.SetReadDeadline(time.Time{})
	}
	c.setPhase(p)
	if c.hungUp {
		x.cancel()
	}
	c.mu.Unlock()
	c.server.start(x)
	if x.body != nil {
		return c.awaitBody(x.body) && !last
	}
	return !last
}

// awaitBody waits until a body has been read. It returns false if it was not read whole:
// what follows it cannot be told from the rest of the body.
func (c *conn) awaitBody(b *body) bool {
	t := time.NewTicker(hangUpPoll)
	defer t.Stop()
	for {
		select {
		case <-b.done:
			u := b.unread()
			c.unread = c.unread || u
			c.mu.Lock()
			c.closing = c.closing || u
			if c.phase == phaseBody {
				c.setPhase(phaseRunning)
			}
			c.mu.Unlock()
			return !u
		case <-t.C:
			if peerClosed(c.net) {
				c.hangUp()
			}
		}
	}
}

// await waits until cond, which is called with mu held, and meanwhile reads ahead so that
// it notices when the client closes the connection. It returns false if the connection has
// ended.
func (c *conn) await(cond func() bool) bool {
	for {
		c.mu.Lock()
		if c.dead || cond() {
			c.watching = false
			d := c.dead
			c.mu.Unlock()
			return !d
		}
		if c.closing {
			// What follows the last request is not used.
			c.unread = c.unread || c.w > c.r
			c.r, c.w = 0, 0
		}
		blind := c.hungUp || c.w-c.r >= maxAhead
		if !blind {
			c.watching = true
			_ = c.net.SetReadDeadline(time.Time{})
		}
		hungUp := c.hungUp
		c.mu.Unlock()
		if blind {
			c.awaitChange(hungUp)
			continue
		}
		if c.makeRoom(maxAhead) != nil {
			c.awaitChange(false)
			continue
		}
		n, err := c.net.Read(c.buf[c.w:])
		c.w += n
		if n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.hangUp()
		}
	}
}

// awaitChange waits for a change of the connection without reading from it.
func (c *conn) awaitChange(hungUp bool) {
	t := time.NewTimer(hangUpPoll)
	defer t.Stop()
	select {
	case <-c.changed:
	case <-t.C:
		if !hungUp && peerClosed(c.net) {
			c.hangUp()
		}
	}
}

// signal tells the reader of a change. mu is held.
func (c *conn) signal() {
	if c.watching {
		c.watching = false
		_ = c.net.SetReadDeadline(past)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// hangUp ends the contexts of all requests, since the client has closed the connection.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hungUp {
		return
	}
	c.hungUp = true
	if len(c.queue) > 0 {
		c.server.options.Stats.HangUps.Add(1)
	}
	c.cancel()
	c.signal()
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	if !c.dead {
		c.dead = true
		close(c.gone)
	}
	c.cancel()
	c.signal()
	c.mu.Unlock()
	c.returnCharge()
	c.releaseHeld(maxHeldBytes)
	_ = c.net.Close()
	c.server.forget(c)
}

// linger closes the sending side and waits until the client has closed its own, if the
// client may still be sending.
func (c *conn) linger() {
	c.mu.Lock()
	d := c.dead || c.hungUp || !c.unread && c.w == c.r
	if !d {
		c.setPhase(phaseLinger)
	}
	c.mu.Unlock()
	if d {
		return
	}
	c.releaseBuffer()
	closeWrite(c.net)
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	var b [1 << 10]byte
	for {
		if _, err := c.net.Read(b[:]); err != nil {
			return
		}
	}
}

func (c *conn) releaseBuffer() {
	c.buf, c.r, c.w = nil, 0, 0
	c.returnCharge()
}

// closeWrite closes the sending side of a connection, if it has one.
func closeWrite(k net.Conn) {
	for {
		if w, ok := k.(interface{ CloseWrite() error }); ok {
			_ = w.CloseWrite()
			return
		}
		n, ok := k.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		k = n.NetConn()
	}
}

// readInto reads a part of a body.
func (c *conn) readInto(p []byte) (int, error) {
	if c.r < c.w {
		n := copy(p, c.buf[c.r:c.w])
		c.r += n
		return n, nil
	}
	n, err := c.net.Read(p)
	c.received.Add(int64(n))
	if n > 0 {
		return n, nil
	}
	return 0, c.bodyFailed(err)
}

// bodyFailed notes a failed read of a body.
func (c *conn) bodyFailed(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.hangUp()
	}
	return err
}

// readLine reads a line of at most limit bytes, which is valid until the next read. It has
// to end in CRLF.
func (c *conn) readLine(limit int) ([]byte, error) {
	for {
		b := c.buf[c.r:c.w]
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			if i == 0 || b[i-1] != '\r' || i-1 > limit {
				return nil, errMalformedChunk
			}
			c.r += i + 1
			return b[:i-1], nil
		}
		if len(b) > limit+2 {
			return nil, errLongLine
		}
		if err := c.makeRoom(maxChunkLine + firstBufferBytes); err != nil {
			return nil, err
		}
		n, err := c.net.Read(c.buf[c.w:])
		c.w += n
		c.received.Add(int64(n))
		if n == 0 {
			return nil, c.bodyFailed(err)
		}
	}
}
