// Package receiver is an HTTP/1.1 server whose memory and connections are bounded
// whatever its clients send. It serves pipelined requests concurrently, writes their
// responses in order, and notices that a caller has closed its connection while its
// requests run. Connections that begin with the HTTP/2 preface are handed to net/http.
package receiver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// stopPollInterval is how often a stopping server checks for remaining requests.
	stopPollInterval = 5 * time.Millisecond
	// firstRequestTimeout is how long a stopping server waits for the first request on a
	// connection. Callers send it right after connecting.
	firstRequestTimeout = 500 * time.Millisecond
	// acceptPause is how long a listener waits when the process is out of descriptors.
	acceptPause = 50 * time.Millisecond
	// overflowPart of the connection limit is kept for connections that are accepted while
	// all others run requests. Their requests are rejected.
	overflowPart = 8
)

// Options configures a Server. The zero value works.
type Options struct {
	// Budget limits the memory of all servers that share it; nil means one of its own.
	Budget *Budget
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Concurrent reports whether a request may start while earlier ones of its connection
	// run; nil means never.
	Concurrent func(*http.Request) bool
	// HTTP2 serves connections that begin with the HTTP/2 preface; nil means that they are
	// closed.
	HTTP2 http.Handler
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// PassAmbiguousLength passes requests with both a Content-Length and a
	// Transfer-Encoding to the handler, which has to reject them by StatedLength.
	PassAmbiguousLength bool
	// Log receives a line for each rejected or evicted connection.
	Log *logger.Lines
	// Stats counts what was rejected; nil means that it is not counted.
	Stats *Stats
}

// Server is an HTTP/1.1 server with a graceful stop: it answers every request on the
// connections it has accepted, including those that arrive while it stops.
type Server struct {
	handler http.Handler
	options Options
	group   grouper.Group
	http2   *handover
	// work passes requests to goroutines that are idle.
	work chan *exchange
	// writeStall is constant except in tests.
	writeStall time.Duration

	stopping atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	// activeListeners counts the listeners that still accept connections.
	activeListeners int
	closed          bool
	conns           map[*conn]bool
}

// New returns a server for h.
func New(h http.Handler, o Options) *Server {
	if o.Budget == nil {
		o.Budget = &Budget{}
	}
	if o.Stats == nil {
		o.Stats = &Stats{}
	}
	s := &Server{handler: h, options: o, conns: make(map[*conn]bool), work: make(chan *exchange), writeStall: writeStall}
	if o.HTTP2 != nil {
		s.http2 = newHandover(chargeStreams(o.HTTP2, o.Budget, o.Stats))
	}
	return s
}

func (s *Server) limits() Limits {
	if s.options.Limits == nil {
		return Limits{}.WithDefaults()
	}
	return s.options.Limits().WithDefaults()
}

// Serve accepts connections on l until Stop or Close is called.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener()
	if s.http2 != nil {
		s.group.Go(s.http2.serve)
	}
	for {
		k, err := l.Accept()
		switch {
		case err == nil:
			s.admit(k)
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		case !isTemporary(err):
			return err
		default:
			// Without a free descriptor no connection can be accepted until one is closed.
			s.options.Stats.AcceptFailures.Add(1)
			s.options.Log.Info("Listener pauses", "address", l.Addr(), "cause", err)
			s.evictOne()
			time.Sleep(acceptPause)
		}
	}
}

// isTemporary reports whether a listener may continue after err.
func isTemporary(err error) bool {
	for _, n := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR} {
		if errors.Is(err, n) {
			return true
		}
	}
	return false
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.stopping.Load() {
		return false
	}
	s.options.Budget.register(s, true)
	s.activeListeners++
	s.listeners = append(s.listeners, l)
	return true
}

func (s *Server) removeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeListeners--
}

// admit serves a new connection. If the limit is reached, another one is closed.
func (s *Server) admit(k net.Conn) {
	c := newConn(s, k)
	m := s.options.MaxConnections
	s.mu.Lock()
	n := len(s.conns)
	s.mu.Unlock()
	if m > 0 && n >= m && !s.evictOne() {
		// Every other connection runs a request.
		c.overflow = true
		s.options.Stats.Overflowing.Add(1)
		if n >= m+max(m/overflowPart, 1) && !s.evictOverflow() {
			_ = k.Close()
			return
		}
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = k.Close()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.group.Go(c.run)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// LimitsChanged applies changed limits to the connections that wait for a request.
func (s *Server) LimitsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.reading {
			// The reader sets the deadline anew.
			_ = c.net.SetReadDeadline(past)
		}
		c.mu.Unlock()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Stop stops the server once every request that has arrived is answered, or when ctx is
// done.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	s.mu.Lock()
	l := s.listeners
	s.mu.Unlock()
	for _, k := range l {
		_ = k.Close()
	}
	if s.http2 != nil {
		s.http2.server.SetKeepAlivesEnabled(false)
	}
	for s.busy(time.Now()) && sleeper.Sleep(ctx, stopPollInterval) {
	}
	if s.http2 != nil {
		_ = s.http2.server.Shutdown(ctx)
	}
	_ = s.Close()
}

func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeListeners > 0 {
		return true
	}
	for c := range s.conns {
		if c.busy(now) {
			return true
		}
	}
	return false
}

// Close closes all listeners and connections at once.
func (s *Server) Close() error {
	s.stopping.Store(true)
	s.mu.Lock()
	s.closed = true
	l := s.listeners
	k := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		k = append(k, c)
	}
	s.mu.Unlock()
	s.options.Budget.register(s, false)
	for _, n := range l {
		_ = n.Close()
	}
	if s.http2 != nil {
		s.http2.close()
	}
	for _, c := range k {
		c.abort()
	}
	return nil
}
