// Package exchanger makes single HTTP/1.1 exchanges on kept connections.
//
// Unlike net/http's transport it never repeats a request, knows whether any
// byte of one was handed over, compares the identifier in an answer with that
// of the request, notices silence, and never reuses a connection on which
// anything unexpected was seen. Heads and chunks are read by net/http.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
	// maxHeadBytes bounds the head of an answer: as much as nodes take from
	// callers.
	maxHeadBytes = 64 << 10
	// maxHeads bounds the heads that are read until the answer is found; an
	// answer takes an hour at most, with a sign of life every 120 ms.
	maxHeads = 32_000
	// interimPerSecond and interimBurst bound the answers below 200: nodes send
	// about 8 a second, targets hardly any.
	interimPerSecond = 20
	interimBurst     = 64
	// maxStrays and maxStrayBytes bound the answers to other requests that are
	// read away before the one that is due, and skipBound how long each may take.
	// A connection has one request at a time, so that one or two are usual.
	maxStrays     = 32
	maxStrayBytes = 1 << 20
	skipBound     = time.Second
	// drainBytes and drainBound are what a kept connection is worth: a new one
	// takes about a millisecond.
	drainBytes = 64 << 10
	drainBound = 50 * time.Millisecond
	// writeBound is how long the other side may refuse to read.
	writeBound = 2 * time.Second
)

// Options bound the exchanges of a client.
type Options struct {
	// Source is the local IP number to dial from; nil leaves it to the system.
	Source net.Addr
	// DialBound bounds the opening of a connection.
	DialBound time.Duration
	// IdleBound is how long an idle connection is kept where the other side
	// does not say.
	IdleBound time.Duration
	// UnsafeIdle is how long a connection may have been idle that is used for a
	// request which must not be repeated. Zero leaves it at IdleBound.
	UnsafeIdle time.Duration
	// Silence is how long nothing may arrive while an answer is awaited. Zero
	// is for a peer that sends no signs of life.
	Silence time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
}

// Request is what is sent.
type Request struct {
	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, -1 for one sent in chunks.
	Length int64
	// IDHeader names the header of the answer that holds ID; empty when answers
	// are not compared.
	IDHeader string
	ID       string
	// EchoOptional takes an answer without IDHeader for the one that is due.
	EchoOptional bool
	// Repeatable says that the request may be sent again.
	Repeatable bool
	// Patient says that silence is no reason to give up.
	Patient bool
}

// Response is an answer whose head has been read. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is -1 when it is not known before the end.
	Length int64
	// Unframed says that the body ends with the connection.
	Unframed bool
	Body     io.ReadCloser
}

// Cause says why an exchange failed.
type Cause uint8

// The causes.
const (
	// Unreachable means that no connection could be opened.
	Unreachable Cause = iota + 1
	// Silent means that nothing arrived for too long.
	Silent
	// Broken means that the connection ended or what arrived was no answer.
	Broken
	// Ended means that the context ended.
	Ended
)

var causeNames = [...]string{"", "unreachable", "silent", "broken", "ended"}

// String returns the name used in logs.
func (c Cause) String() string { return causeNames[c] }

// Error is a failed exchange.
type Error struct {
	Cause Cause
	// Sent says that some byte of the request may have been handed over.
	Sent bool
	// Refused says that nothing listens at the address.
	Refused bool
	// Reused says that the connection had served other requests.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Cause, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Stats counts what a client did.
type Stats struct {
	Opened uint64
	Reused uint64
}

// Client makes exchanges.
type Client struct {
	options Options
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// New returns a client whose bytes t counts.
func New(o Options, t *meter.Traffic) *Client {
	// Liveness is watched here; probes of the system would come too late.
	d := &net.Dialer{Timeout: o.DialBound, LocalAddr: o.Source, KeepAlive: -1}
	return &Client{options: o, dial: t.Dialer(d), idle: make(map[string][]*conn)}
}

// conn is a connection with what has been read of it.
type conn struct {
	net.Conn

	guard   *guard
	address string
	reader  *bufio.Reader
	served  int
	idle    time.Time
	until   time.Time
}

// Do sends q to address and returns the head of the answer. Every error is an
// *Error. The exchange ends with ctx, until the body has been read.
func (c *Client) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	k, err := c.take(ctx, address, q.Repeatable)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, conn: k, request: q}
	x.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
	r, err := x.run()
	if err != nil {
		x.abandon()
		return nil, x.classify(ctx, err)
	}
	return r, nil
}

// take returns an idle connection that still looks sound, or a new one.
func (c *Client) take(ctx context.Context, address string, repeatable bool) (*conn, error) {
	for {
		k := c.pop(address)
		if k == nil {
			break
		}
		if c.usable(k, repeatable, time.Now()) {
			return k, nil
		}
		_ = k.Close()
	}
	n, err := c.dial(ctx, "tcp", address)
	if err != nil {
		e := &Error{Cause: Unreachable, Refused: refused(err), Err: err}
		if ctx.Err() != nil {
			e.Cause = Ended
		}
		return nil, e
	}
	c.mu.Lock()
	c.stats.Opened++
	c.mu.Unlock()
	g := &guard{reader: n}
	return &conn{Conn: n, guard: g, address: address, reader: bufio.NewReaderSize(g, readBufferBytes)}, nil
}

func (c *Client) usable(k *conn, repeatable bool, now time.Time) bool {
	if !now.Before(k.until) || !quiet(k.Conn) {
		return false
	}
	u := c.options.UnsafeIdle
	return repeatable || u == 0 || now.Sub(k.idle) < u
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.idle[address]
	if len(l) == 0 {
		return nil
	}
	k := l[len(l)-1]
	l[len(l)-1] = nil
	c.idle[address] = l[:len(l)-1]
	c.stats.Reused++
	return k
}

// put keeps k for another exchange, for as long as the other side allows.
func (c *Client) put(k *conn, h http.Header, now time.Time) {
	k.idle = now
	k.until = now.Add(idleTime(h, c.options.IdleBound))
	k.served++
	_ = k.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.idle[k.address]; len(l) < c.options.MaxIdle {
		c.idle[k.address] = append(l, k)
		return
	}
	_ = k.Close()
}

// idleTime returns for how long a connection may be idle: a part of what the
// Keep-Alive header states, since the two sides' clocks start apart.
func idleTime(h http.Header, fallback time.Duration) time.Duration {
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

// Sweep closes the idle connections that are not to be used any more.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.idle {
		kept := l[:0]
		for _, k := range l {
			if now.Before(k.until) {
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

// Forget closes the idle connections to address.
func (c *Client) Forget(address string) {
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
	return slices.ContainsFunc(c.idle[address], func(k *conn) bool { return quiet(k.Conn) })
}

// Stats returns what the client did.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// refused reports whether nothing listens at the address.
func refused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial" && !o.Timeout() &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
