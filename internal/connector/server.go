package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// stopPollInterval is how often a stopping server checks for remaining
	// requests.
	stopPollInterval = 5 * time.Millisecond
	// firstRequestTimeout is how long a stopping server waits for the first
	// request on a connection. Callers send it right after connecting.
	firstRequestTimeout = 500 * time.Millisecond
)

// Server is an HTTP server with a graceful stop: it answers every request on
// the connections it has accepted, including those that arrive while it stops.
type Server struct {
	*http.Server

	mu        sync.Mutex
	listeners []net.Listener
	// activeListeners counts the listeners that still accept connections.
	activeListeners int
	// newConns maps connections without a request yet to the time of their
	// opening, and activeConns holds those with a request in progress.
	newConns    map[net.Conn]time.Time
	activeConns map[net.Conn]bool
}

// NewServer returns a server for h that supports HTTP/1.1 and unencrypted
// HTTP/2.
func NewServer(h http.Handler) *Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &Server{newConns: make(map[net.Conn]time.Time), activeConns: make(map[net.Conn]bool)}
	s.Server = &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ConnContext:       withConn,
		ConnState:         s.track,
	}
	return s
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	resetWhenIdle(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newConns, c)
	delete(s.activeConns, c)
	switch state {
	case http.StateNew:
		s.newConns[c] = time.Now()
	case http.StateActive:
		s.activeConns[c] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// Serve accepts connections on l until Stop or Close is called.
func (s *Server) Serve(l net.Listener) error {
	s.trackListener(l, 1)
	defer s.trackListener(l, -1)
	err := s.Server.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) trackListener(l net.Listener, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeListeners += n
	if n > 0 {
		s.listeners = append(s.listeners, l)
	}
}

// Stop stops the server once every request that has arrived is answered, or
// when ctx is done. http.Server.Shutdown alone would close connections without
// a response if it reads their request after the call.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	l := s.listeners
	s.mu.Unlock()
	for _, k := range l {
		_ = k.Close()
	}
	s.SetKeepAlivesEnabled(false)
	for s.busy(time.Now()) && sleeper.Sleep(ctx, stopPollInterval) {
	}
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeListeners > 0 || len(s.activeConns) > 0 {
		return true
	}
	for _, t := range s.newConns {
		if now.Sub(t) < firstRequestTimeout {
			return true
		}
	}
	return false
}
