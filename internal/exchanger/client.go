// Package exchanger is an HTTP/1.1 client with persistent connections.
//
// Unlike net/http's transport it never retries a request, tracks whether any
// byte of a request was written, matches the request ID in a response with that
// of the request, limits the time without received data, and closes a
// connection after any unexpected data. Response headers and chunked bodies are
// parsed by net/http.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits a response header. Nodes accept the same size from
	// callers.
	maxHeaderBytes = 64 << 10
	// maxResponses limits the responses read, including interim ones, until the
	// expected one is found. A response takes at most an hour, with an interim
	// response every 120 ms.
	maxResponses = 32_000
	// interimPerSecond and interimBurst limit the interim (1xx) responses since a
	// request began. Nodes send about 8 per second, targets hardly any. Those that
	// arrive while the body is sent are read at once after it, so that a limit on the
	// rate of reading them would fail uploads of 8 s and more.
	interimPerSecond = 20
	interimBurst     = 64
	// maxStaleResponses and maxStaleBytes limit the responses to earlier
	// requests that are discarded before the expected one, and staleReadTimeout
	// limits the time for reading each. A connection carries one request at a
	// time, so one or two are usual.
	maxStaleResponses = 32
	maxStaleBytes     = 1 << 20
	staleReadTimeout  = time.Second
	// maxDrainBytes and drainTimeout limit the effort spent on draining a body
	// to reuse its connection. A new connection takes about a millisecond.
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
	// maxDistinctRequests limits the requests on a connection whose IDs are remembered,
	// and thus their memory: 8 bytes each.
	maxDistinctRequests = 1024
	// writeTimeout limits how long a write may block because the peer does not
	// read.
	writeTimeout = 2 * time.Second
	// unreadResponseTimeout limits the wait for a response once a request could not be
	// written. The peer has sent it before it stopped to read, or will send none.
	unreadResponseTimeout = 200 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Source is the local IP address to dial from; nil lets the system choose.
	Source net.Addr
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the peer sends no
	// Keep-Alive timeout.
	IdleTimeout time.Duration
	// UnsafeIdle is the maximum idle time of a connection that is reused for a
	// request that must not be repeated. Zero means IdleTimeout.
	UnsafeIdle time.Duration
	// ReadTimeout is the maximum time without received data while waiting for a
	// response. Zero means no limit, for peers that send no interim responses.
	ReadTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// DistinctRequests sends a request ID at most once on a connection, for peers that
	// may send a response again, late: its copy cannot be told from the response to the
	// same request sent again.
	DistinctRequests bool
}

// Request is an outgoing request.
type Request struct {
	Method string
	// URI is the unmodified path and query of the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body; -1 selects chunked encoding.
	Length int64
	// IDHeader names the response header that holds ID. If it is empty,
	// responses are not matched with requests.
	IDHeader string
	ID       string
	// IDOptional accepts a response without IDHeader as the expected one.
	IDOptional bool
	// Repeatable says that the request may be repeated safely.
	Repeatable bool
	// NoReadTimeout disables ReadTimeout for this request.
	NoReadTimeout bool
	// ConnectTimeout shortens the client's DialTimeout for this request, so that
	// time is left to send it elsewhere. Zero means DialTimeout.
	ConnectTimeout time.Duration
}

// Response is a response whose header has been read. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is -1 if the length is unknown until the end of the body.
	Length int64
	// CloseDelimited says that the end of the connection marks the end of the
	// body.
	CloseDelimited bool
	Body           io.ReadCloser
}

// Cause is the reason for a failed exchange.
type Cause uint8

// The causes.
const (
	// Unreachable means that no connection could be opened.
	Unreachable Cause = iota + 1
	// TimedOut means that a read or write timed out.
	TimedOut
	// Broken means that the connection failed or that the received data was not
	// a valid response.
	Broken
	// Canceled means that the context was done.
	Canceled
	// Invalid means that the request cannot be written as one HTTP request.
	Invalid
	// Incomplete means that the body of the request could not be read to its end.
	Incomplete
)

var causeNames = [...]string{"", "unreachable", "silent", "broken", "ended", "invalid", "incomplete"}

// String returns the name used in logs.
func (c Cause) String() string { return causeNames[c] }

// Error reports a failed exchange.
type Error struct {
	Cause Cause
	// Sent says that some bytes of the request may have been written.
	Sent bool
	// Refused says that the connection attempt failed without a timeout, which
	// is taken to mean that nothing listens at the address.
	Refused bool
	// Reused says that the connection had served earlier requests.
	Reused bool
	// Silent is how long the peer has sent nothing, not even an interim response, since
	// it was sent the request.
	Silent time.Duration
	// CutShort says that the request's ConnectTimeout ended the connection attempt
	// before the client's DialTimeout.
	CutShort bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Cause, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Stats counts new and reused connections.
type Stats struct {
	Opened uint64
	Reused uint64
}

// Client sends requests over persistent connections.
type Client struct {
	options Options
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	// seed is that of the hashes of request IDs.
	seed maphash.Seed

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// New returns a client whose traffic is counted by t.
func New(o Options, t *meter.Traffic) *Client {
	// The client detects dead peers itself; TCP keep-alive probes would come
	// too late.
	d := &net.Dialer{Timeout: o.DialTimeout, LocalAddr: o.Source, KeepAlive: -1}
	return &Client{options: o, dial: t.Dialer(d), seed: maphash.MakeSeed(), idle: make(map[string][]*conn)}
}

// conn is a connection with its read buffer.
type conn struct {
	net.Conn

	headerLimiter *headerLimiter
	address       string
	reader        *bufio.Reader
	served        int
	// requests holds the hashes of the request IDs that were sent on the connection.
	requests []uint64
	idle     time.Time
	expires  time.Time
}

// Do sends q to address and returns the response once its header has been read.
// Every error is an *Error. If ctx is done before the body has been read, the
// exchange is aborted.
func (c *Client) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	if err := q.check(); err != nil {
		return nil, &Error{Cause: Invalid, Err: err}
	}
	k, err := c.acquire(ctx, address, q)
	if err != nil {
		return nil, err
	}
	if c.options.DistinctRequests && q.IDHeader != "" {
		k.requests = append(k.requests, c.hash(q))
	}
	x := &exchange{client: c, conn: k, request: q}
	x.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
	r, err := x.run()
	if err != nil {
		x.closeConn()
		return nil, x.wrapError(ctx, err)
	}
	return r, nil
}

// hash returns the hash of q's ID. Equal hashes of different IDs only cost a connection.
func (c *Client) hash(q *Request) uint64 {
	return maphash.String(c.seed, q.ID)
}

// acquire returns an idle connection that is still usable for q, or a new one.
func (c *Client) acquire(ctx context.Context, address string, q *Request) (*conn, error) {
	for {
		k := c.popIdle(address, c.hash(q))
		if k == nil {
			break
		}
		if c.usable(k, q.Repeatable, time.Now()) {
			return k, nil
		}
		_ = k.Close()
	}
	n, err := c.connect(ctx, address, q.ConnectTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.stats.Opened++
	c.mu.Unlock()
	g := &headerLimiter{reader: n}
	return &conn{Conn: n, headerLimiter: g, address: address, reader: bufio.NewReaderSize(g, readBufferBytes)}, nil
}

// connect opens a connection. A positive timeout shortens DialTimeout.
func (c *Client) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := ctx
	if timeout > 0 {
		var cancel context.CancelFunc
		d, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	n, err := c.dial(d, "tcp", address)
	if err == nil {
		return n, nil
	}
	var o net.Error
	timedOut := errors.As(err, &o) && o.Timeout()
	e := &Error{Cause: Unreachable, Refused: isRefused(err), CutShort: timedOut && timeout > 0 && timeout < c.options.DialTimeout, Err: err}
	if ctx.Err() != nil {
		e.Cause = Canceled
	}
	return nil, e
}

func (c *Client) usable(k *conn, repeatable bool, now time.Time) bool {
	if !now.Before(k.expires) || !isOpen(k.Conn) {
		return false
	}
	u := c.options.UnsafeIdle
	return repeatable || u == 0 || now.Sub(k.idle) < u
}

// popIdle returns the idle connection that was used last, without those on which the
// request with the given hash was sent before.
func (c *Client) popIdle(address string, request uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle[address]
	for i, k := range slices.Backward(l) {
		if slices.Contains(k.requests, request) {
			continue
		}
		c.idle[address] = slices.Delete(l, i, i+1)
		c.stats.Reused++
		return k
	}
	return nil
}

// putIdle keeps k for reuse until the peer's keep-alive timeout.
func (c *Client) putIdle(k *conn, h http.Header, now time.Time) {
	k.idle = now
	k.expires = now.Add(keepAliveTimeout(h, c.options.IdleTimeout))
	k.served++
	_ = k.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.idle[k.address]; len(l) < c.options.MaxIdle && len(k.requests) < maxDistinctRequests {
		c.idle[k.address] = append(l, k)
		return
	}
	_ = k.Close()
}

// keepAliveTimeout returns how long a connection may be idle: 70% of the
// timeout in the Keep-Alive header, since the peer may start its timer earlier.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(textproto.TrimString(p), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err == nil && n >= 0 && n < int(time.Hour/time.Second) {
			return time.Duration(n) * time.Second * 7 / 10
		}
	}
	return fallback
}

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.idle {
		kept := l[:0]
		for _, k := range l {
			if now.Before(k.expires) {
				kept = append(kept, k)
				continue
			}
			_ = k.Close()
		}
		clear(l[len(kept):])
		c.idle[a] = kept
		if len(kept) == 0 {
			delete(c.idle, a)
		}
	}
}

// CloseIdle closes the idle connections to address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle[address] {
		_ = k.Close()
	}
	delete(c.idle, address)
}

// Alive reports whether an idle connection to address is still open.
func (c *Client) Alive(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[address], func(k *conn) bool { return isOpen(k.Conn) })
}

// Stats returns the connection counts.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// isRefused reports whether dialing failed other than by a timeout or a
// canceled context.
func isRefused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial" && !o.Timeout() &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
