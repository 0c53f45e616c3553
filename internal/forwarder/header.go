// Package forwarder forwards callers' requests to targets: from the caller to the entry
// node, from there to the node beside the target, and to the target.
package forwarder

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers between callers, nodes and targets.
const (
	// VerdictHeader tells the caller whether a refused request may have run.
	VerdictHeader = "Dragonflydoor-Verdict"
	// RequestHeader identifies a request on all its hops.
	RequestHeader = "Dragonflydoor-Request"
	// DeadlineHeader carries the time left for a request, in milliseconds.
	DeadlineHeader = "Dragonflydoor-Deadline-Ms"
	// ProfileHeader tells the caller which profile and version routed it.
	ProfileHeader = "Dragonflydoor-Profile"
	// RetryHeader marks a request that is already a retry, so that nodes
	// downstream do not retry it again.
	RetryHeader = "Dragonflydoor-Retry"

	// KeyHeader is the caller's idempotency key: requests with the same key run
	// at most once (IETF draft "The Idempotency-Key HTTP Header Field").
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader marks a stored answer that is sent again.
	ReplayedHeader = "Dragonflydoor-Replayed"

	// WorkspaceHeader carries the name of a request's workspace to the target.
	WorkspaceHeader = "Dragonflydoor-Workspace"

	// HopHeader carries metadata of a call between nodes.
	HopHeader = "Dragonflydoor-Hop"

	ownPrefix = "Dragonflydoor-"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// stripHopByHop removes the headers that apply to a single connection.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopByHopHeaders {
		delete(h, n)
	}
}

// stripReserved removes headers that only nodes may set.
func (d *Dialect) stripReserved(h http.Header) {
	delete(h, HopHeader)
	if d.Reserved == "" {
		return
	}
	for n := range h {
		if strings.HasPrefix(n, d.Reserved) {
			delete(h, n)
		}
	}
}

// formatLeft formats the time left until deadline for a deadline header.
func formatLeft(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}

// parseLeft parses a deadline header. It returns false if it is missing or invalid.
func parseLeft(h http.Header, name string) (time.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(name), 10, 32)
	if err != nil || n <= 0 {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}
