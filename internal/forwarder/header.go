// Package forwarder carries callers' requests to targets: from the caller to
// the entry node, from there to the node beside the target, and to the target.
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
	// RetryHeader marks a request that is a repetition already, so that nodes
	// further down do not repeat it again.
	RetryHeader = "Dragonflydoor-Retry"

	// KeyHeader is the caller's idempotency key: requests with the same key run
	// at most once (IETF draft "The Idempotency-Key HTTP Header Field").
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader marks an answer that was given before.
	ReplayedHeader = "Dragonflydoor-Replayed"

	// The headers below are only used between nodes.
	gateServiceHeader     = "Dragonflydoor-Gate-Service"
	gateTargetHeader      = "Dragonflydoor-Gate-Target"
	gateFingerprintHeader = "Dragonflydoor-Gate-Fingerprint"
	gateProfileHeader     = "Dragonflydoor-Gate-Profile"
	gateVerdictHeader     = "Dragonflydoor-Gate-Verdict"
	gateReasonHeader      = "Dragonflydoor-Gate-Reason"

	ownPrefix = "Dragonflydoor-"
)

// hopHeaders are meant for one connection (RFC 9110, section 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHop removes what is meant for one connection only.
func stripHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
}

// stripOwn removes headers that only nodes may set.
func stripOwn(h http.Header) {
	for n := range h {
		if strings.HasPrefix(n, ownPrefix) {
			delete(h, n)
		}
	}
}

// formatLeft returns the time left until deadline for DeadlineHeader.
func formatLeft(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}

// parseLeft reads DeadlineHeader; it returns false when there is none.
func parseLeft(h http.Header) (time.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(DeadlineHeader), 10, 32)
	if err != nil || n <= 0 {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}
