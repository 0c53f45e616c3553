package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

// Reason is a code for the cause of a failed request.
type Reason string

// Reasons for failed requests.
const (
	BadRequest Reason = "bad_request"
	// Incomplete means that the caller did not send the whole request.
	Incomplete Reason = "incomplete"
	// Unreachable means that the node beside the target is unreachable.
	Unreachable Reason = "unreachable"
	// Rejected means that the target stated that it did not run the request.
	Rejected Reason = "rejected"
	// Overdue means that the target took far longer than usual.
	Overdue Reason = "overdue"
	// Spoiled means that the answer is not the target's own.
	Spoiled Reason = "spoiled"
	// Unauthenticated means that the request carries no key of a workspace.
	Unauthenticated Reason = "unauthenticated"
	// Unconfirmed means that the configuration is not known to be the newest one.
	Unconfirmed Reason = "unconfirmed"
	// ParentUnknown means that the request carries no key and may be nested in one that
	// the node does not know or has given up.
	ParentUnknown Reason = "parent_unknown"
	// OverCap means that the request's workspace has used up its cap.
	OverCap      Reason = "over_cap"
	TooLarge     Reason = "too_large"
	NoRoute      Reason = "no_route"
	NoTarget     Reason = "no_target"
	NoProfile    Reason = "no_profile"
	Draining     Reason = "draining"
	Overloaded   Reason = "overloaded"
	DeadlinePast Reason = "deadline"
	Broken       Reason = "broken"
	// Crashed means that the target crashed while it ran the request.
	Crashed Reason = "crashed"
	// Quarantined means that equal requests have crashed targets.
	Quarantined Reason = "quarantined"
	// NotHome means that another node is the home of the idempotency key.
	NotHome Reason = "not_home"
	// KeyUncertain means that an earlier home of the key may have run the request.
	KeyUncertain Reason = "key_uncertain"
	// KeyMismatch means that the key was used with another request.
	KeyMismatch Reason = "key_mismatch"
)

// Refusal is the answer to a request that failed.
type Refusal struct {
	Reason  Reason
	Verdict classifier.Verdict
	Message string
	Request string
	// Wait is the expected time until there is capacity, or zero if it is unknown.
	// RetryAfter is the time after which the caller should retry.
	Wait       time.Duration
	RetryAfter time.Duration
}

type refusalJSON struct {
	Error refusalBodyJSON `json:"error"`
}

type refusalBodyJSON struct {
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
	Message string `json:"message"`
	Request string `json:"request,omitempty"`
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	switch r.Reason {
	case BadRequest:
		return http.StatusBadRequest
	case Unauthenticated:
		return http.StatusUnauthorized
	case OverCap:
		return http.StatusTooManyRequests
	case Incomplete:
		return http.StatusRequestTimeout
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case NoRoute:
		return http.StatusNotFound
	case KeyUncertain:
		return http.StatusConflict
	case KeyMismatch:
		return http.StatusUnprocessableEntity
	default:
	}
	switch {
	case r.Verdict == classifier.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == DeadlinePast:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// closesConnection reports whether the caller's connection is closed after the refusal. A
// caller whose body was not read to its end would otherwise get its answer only once it has
// sent the rest, or after a time limit.
func (r Refusal) closesConnection() bool {
	switch r.Reason {
	case Draining, BadRequest, Incomplete, TooLarge:
		return true
	default:
		return false
	}
}

// write sends the refusal to the caller.
func (r Refusal) write(w http.ResponseWriter, d Dialect) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if d.Verdict != "" {
		h.Set(d.Verdict, r.Verdict.String())
	}
	r.challenge(h, d)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(r.RetryAfter, d.FractionalRetryAfter))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(refusalJSON{Error: refusalBodyJSON{
		Reason:  string(r.Reason),
		Verdict: r.Verdict.String(),
		Message: r.Message,
		Request: r.Request,
	}})
}

// formatRetryAfter formats d in seconds: whole ones (RFC 9110, section 10.2.3), or with
// milliseconds for callers that accept them.
func formatRetryAfter(d time.Duration, fine bool) string {
	if fine {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refusalOf returns the refusal that reports err to a caller.
func refusalOf(err error) Refusal {
	w, _ := classifier.WaitOf(err)
	return Refusal{Reason: reasonOf(err), Verdict: classifier.VerdictOf(err), Message: messageOf(err), Wait: w}
}

// errorTypes maps error types to reasons, with subtypes before their supertypes.
var errorTypes = []struct {
	reason    Reason
	errorType *errorx.Type
}{
	{Crashed, errCrashed},
	{OverCap, errOverCap},
	{Quarantined, errQuarantined},
	{NotHome, errNotHome},
	{KeyUncertain, errKeyUncertain},
	{KeyMismatch, errKeyMismatch},
	{TooLarge, errTooLarge},
	{Rejected, errRejected},
	{Spoiled, errForeignAnswer},
	{Overdue, errOverdue},
	{Unreachable, errUnreachable},
	{Overloaded, classifier.Overloaded},
	{DeadlinePast, classifier.TimedOut},
	{NoTarget, classifier.NotFound},
	{NoTarget, errNoTarget},
	{Draining, classifier.Unavailable},
	{BadRequest, classifier.Invalid},
	{Broken, classifier.Interrupted},
}

func reasonOf(err error) Reason {
	for _, k := range errorTypes {
		if classifier.Is(err, k.errorType) {
			return k.reason
		}
	}
	return Broken
}

// errorTypeOf returns the type of errors with reason r.
func errorTypeOf(r Reason) *errorx.Type {
	for _, k := range errorTypes {
		if k.reason == r {
			return k.errorType
		}
	}
	return classifier.Interrupted
}

func messageOf(err error) string {
	if x := errorx.Cast(err); x != nil {
		return x.Message()
	}
	return err.Error()
}
