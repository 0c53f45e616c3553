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
	// stopPoll is how often a stopping server looks whether it is done.
	stopPoll = 5 * time.Millisecond
	// firstRequestBound is how long a stopping server waits for the first request on
	// a connection: callers send theirs with the connection.
	firstRequestBound = 500 * time.Millisecond
)

// Server is an HTTP server that answers every request that it has accepted, also
// those that arrive while it stops.
type Server struct {
	*http.Server

	mu        sync.Mutex
	listeners []net.Listener
	// accepting counts the listeners that still take connections.
	accepting int
	// opened holds when connections that have not sent a request were opened, and
	// active those that have one under way.
	opened map[net.Conn]time.Time
	active map[net.Conn]bool
}

// NewServer returns a server for h that speaks HTTP/1.1 and unencrypted
// HTTP/2.
func NewServer(h http.Handler) *Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &Server{opened: make(map[net.Conn]time.Time), active: make(map[net.Conn]bool)}
	s.Server = &http.Server{
		Handler:           h,
		Protocols:         &p,
		ReadHeaderTimeout: headerBound,
		IdleTimeout:       idleBound,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ConnContext:       withConn,
		ConnState:         s.track,
	}
	return s
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	trackState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opened, c)
	delete(s.active, c)
	switch state {
	case http.StateNew:
		s.opened[c] = time.Now()
	case http.StateActive:
		s.active[c] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// Serve accepts connections on l until Stop or Close is called.
func (s *Server) Serve(l net.Listener) error {
	s.accept(l, 1)
	defer s.accept(l, -1)
	err := s.Server.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) accept(l net.Listener, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting += n
	if n > 0 {
		s.listeners = append(s.listeners, l)
	}
}

// Stop ends the server once every request that has arrived is answered, or when ctx
// is done. http.Server.Shutdown alone closes connections unanswered whose request
// it reads after it was called.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	l := s.listeners
	s.mu.Unlock()
	for _, k := range l {
		_ = k.Close()
	}
	s.SetKeepAlivesEnabled(false)
	for s.busy(time.Now()) && sleeper.Sleep(ctx, stopPoll) {
	}
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func (s *Server) busy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepting > 0 || len(s.active) > 0 {
		return true
	}
	for _, t := range s.opened {
		if now.Sub(t) < firstRequestBound {
			return true
		}
	}
	return false
}
