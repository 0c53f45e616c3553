package connector

import (
	"net"
	"sync/atomic"
	"time"
)

// drainPeriod is how long a closed listener still accepts the connections that
// the kernel has already completed. Closing it at once would reset them,
// together with requests that their callers have already sent.
const drainPeriod = 50 * time.Millisecond

// After drainPeriod, connections are accepted until none arrives within drainStep, and at
// most until maxDrainPeriod: a busy machine may have left the process waiting meanwhile.
const (
	drainStep      = drainPeriod / 2
	maxDrainPeriod = 10 * drainPeriod
)

// AcceptAll wraps l so that Close first accepts the pending connections.
func AcceptAll(l net.Listener) net.Listener {
	d, ok := l.(deadlineListener)
	if !ok {
		return l
	}
	return &drainingListener{deadlineListener: d}
}

type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

type drainingListener struct {
	deadlineListener

	closing atomic.Bool
	closed  atomic.Bool
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.deadlineListener.Accept()
	if err != nil && l.closing.Load() && !l.closed.Load() {
		_ = l.SetDeadline(time.Now().Add(drainStep))
		c, err = l.deadlineListener.Accept()
	}
	if err != nil && l.closing.Load() {
		_ = l.deadlineListener.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// Close implements net.Listener. It does not block: net/http calls it with a
// lock held that is needed to accept connections.
func (l *drainingListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	// Close the listener even if Accept is no longer called.
	time.AfterFunc(maxDrainPeriod, func() {
		l.closed.Store(true)
		_ = l.deadlineListener.Close()
	})
	return l.SetDeadline(time.Now().Add(drainPeriod))
}
