package connector

import (
	"net"
	"sync/atomic"
	"time"
)

// lastAccepts is how long a listener that is closed still takes the connections
// that the kernel has completed for it: closing it at once would reset them, with
// requests that their callers have sent already.
const lastAccepts = 50 * time.Millisecond

// AcceptAll returns l, which accepts what has arrived before it closes.
func AcceptAll(l net.Listener) net.Listener {
	d, ok := l.(deadlineListener)
	if !ok {
		return l
	}
	return &lastListener{deadlineListener: d}
}

type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

type lastListener struct {
	deadlineListener

	closing atomic.Bool
}

// Accept implements net.Listener.
func (l *lastListener) Accept() (net.Conn, error) {
	c, err := l.deadlineListener.Accept()
	if err != nil && l.closing.Load() {
		_ = l.deadlineListener.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// Close implements net.Listener. It does not wait: net/http holds a lock meanwhile
// that it needs to accept connections.
func (l *lastListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	// Nobody may be accepting any more.
	time.AfterFunc(2*lastAccepts, func() { _ = l.deadlineListener.Close() })
	return l.SetDeadline(time.Now().Add(lastAccepts))
}
