package receiver

import (
	"sync/atomic"
	"time"
)

// Defaults of the limits.
const (
	DefaultMaxHeaderBytes = 64 << 10
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
)

// Limits limits what the clients of a server may send. A zero field means the default.
type Limits struct {
	// MaxHeaderBytes limits the request line, and the header lines together.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a request; zero leaves that to the handler.
	MaxBodyBytes int64
	// HeaderTimeout is the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// WithDefaults returns the limits with the default of each field that is zero.
func (l Limits) WithDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Stats counts what servers have rejected. Its zero value is ready to use.
type Stats struct {
	// EvictedIdle and EvictedSlow count the connections closed in favour of others.
	EvictedIdle atomic.Uint64
	EvictedSlow atomic.Uint64
	// Overflowing counts the connections accepted beyond the limit.
	Overflowing atomic.Uint64
	// Malformed counts requests rejected by 400, 501 or 505, and connections closed
	// because what they sent is no request.
	Malformed atomic.Uint64
	// TooLarge counts requests rejected by 413 or 431, TooSlow those by 408.
	TooLarge atomic.Uint64
	TooSlow  atomic.Uint64
	// OverBudget counts requests rejected by 503 for lack of memory.
	OverBudget atomic.Uint64
	// HangUps counts callers that closed their connections while requests ran.
	HangUps atomic.Uint64
	// Pipelined counts requests that were read while earlier ones ran.
	Pipelined atomic.Uint64
	// AcceptFailures counts failed attempts to accept a connection.
	AcceptFailures atomic.Uint64
}
