package router

import "time"

// ClientLimits limits what callers send to a node, and for how long a node waits for
// them. A zero field means the node's default.
type ClientLimits struct {
	// MaxHeaderBytes limits the header lines of a request together.
	MaxHeaderBytes int64
	// HeaderTimeout is the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// WithClientLimits returns the profile with its limits for callers replaced by l.
func (p Profile) WithClientLimits(l ClientLimits) Profile {
	p.ClientLimits = l
	return p
}
