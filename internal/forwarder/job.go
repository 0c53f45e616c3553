package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/arbiter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// job is the state of one request at the entry.
type job struct {
	request  *http.Request
	id       string
	arrived  time.Time
	profile  *holder.Profile
	route    router.Route
	service  router.Service
	body     *body
	deadline time.Time
	// mark is the time at which deadline was set.
	mark sleeper.Timestamp
	// bounded means that deadline applies to the whole answer and not only to its
	// start, because the caller or the route has set it.
	bounded bool
	// triedBefore is the estimated time that the caller has spent on earlier attempts.
	triedBefore time.Duration
	// nested means that a target beside this node made the request while it ran
	// another one.
	nested bool
	// workspace is the workspace whose key the request carries, nil if it belongs to none.
	workspace *router.Workspace
	// refused holds the targets whose gates did not accept the request, and sentTo
	// those that the request may have been sent to.
	refused map[string]bool
	sentTo  map[string]bool
	// refusedForLoad means that a gate refused the request because of overload.
	refusedForLoad bool
	// queueing means that gates are asked for a place in their queue, by shared loads.
	queueing bool
	// sends counts the attempts that may have reached a target.
	sends int
	// retryGranted means that a retry was granted after an attempt that may have run.
	retryGranted bool
	// mayHaveRun means that an attempt may have run.
	mayHaveRun bool
	// uncertain holds the attempts of which the entry does not know whether their gates
	// sent them to a target.
	uncertain []uncertainAttempt
	// print is the fingerprint of the request; equal requests have equal ones.
	print quarantiner.Fingerprint
	// key is the caller's idempotency key. It is empty if the caller sent none or the
	// request is repeatable without one.
	key string
	// ctx ends when the caller disconnects, unless the request has to continue.
	ctx context.Context
	// retryAfter is the delay after which the admitter expects the caller back, and
	// usualWork and callees are what a gate reported of requests of the route.
	retryAfter time.Duration
	usualWork  time.Duration
	callees    []string
	// target is the target of the last attempt, and failure the last error.
	target  string
	failure error
}

func (e *Entry) newJob(r *http.Request) *job {
	return &job{
		request: r,
		ctx:     r.Context(),
		id:      requestID(r.Header.Get(e.dialect.Request)),
		arrived: time.Now(),
		refused: make(map[string]bool),
		sentTo:  make(map[string]bool),
	}
}

// prepare validates the request, finds its route and reads its body. It returns
// false and a refusal if one of these fails.
func (e *Entry) prepare(w http.ResponseWriter, j *job) (Refusal, bool) {
	if e.refusing.Load() {
		return notRun(Draining, "node %s is draining", e.node), false
	}
	if hasConflictingLength(j.request) {
		return notRun(BadRequest, "the body has a length and is sent in chunks as well"), false
	}
	if !cleanPath(j.request.URL.Path) {
		return notRun(BadRequest, "the path has empty, \".\" or \"..\" segments"), false
	}
	n := e.Profile()
	j.profile = e.holder.Current().Serving(n)
	if j.profile == nil {
		return notRun(NoProfile, "profile %q is not in force", n), false
	}
	if !e.findRoute(j) {
		return notRun(NoRoute, "no route of profile %q matches", j.profile.Name), false
	}
	if !j.setKey(e.dialect.Key) {
		return notRun(BadRequest, "%s has more than %d bytes", e.dialect.Key, maxKeyBytes), false
	}
	e.setDeadline(j)
	var again bool
	if j.nested, again = e.gate.inFlight.recordNested(j.id, j.service.Name, j.arrived); again {
		e.budget.Spend(j.service.Name, e.nodes())
	}
	if f, ok := e.authenticate(j); !ok {
		return f, false
	}
	if f, ok := j.readBody(w, *e.service.Load()); !ok {
		return f, false
	}
	if e.gate.crashTracker.Blocked(j.print) {
		return refusalOf(quarantined()), false
	}
	return Refusal{}, true
}

func notRun(r Reason, format string, args ...any) Refusal {
	return Refusal{Reason: r, Verdict: classifier.NotRun, Message: fmt.Sprintf(format, args...)}
}

func (e *Entry) findRoute(j *job) bool {
	r := j.request
	t, ok := j.profile.Table.Find(router.Request{
		Host:   r.Host,
		Path:   r.URL.Path,
		Method: r.Method,
		Header: r.Header.Get,
	})
	if !ok {
		return false
	}
	d, ok := e.spreader.Choose(t)
	if !ok {
		return false
	}
	j.route = t
	j.service, ok = j.profile.Service(d.Service)
	return ok
}

// setDeadline uses the timeout of the route or, if it has none, of the service. A
// caller's deadline can only shorten it.
func (e *Entry) setDeadline(j *job) {
	d := j.service.Timeout
	if j.route.Timeout > 0 {
		d = j.route.Timeout
		j.bounded = true
	}
	if l, ok := parseLeft(j.request.Header, e.dialect.Deadline); ok {
		j.triedBefore = e.callerTimeouts.triedBefore(j.route.Name, l)
		d = min(d, l)
		j.bounded = true
	}
	j.deadline = j.arrived.Add(min(d, maxCallDeadline))
	j.mark = sleeper.NewTimestamp()
}

func (j *job) readBody(w http.ResponseWriter, origin string) (Refusal, bool) {
	b, err := readBody(w, j.request, j.service.Limits.MaxBodyBytes, j.deadline)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return notRun(TooLarge, "the body has more than %d bytes", m.Limit), false
	}
	if err != nil {
		return notRun(Incomplete, "the body could not be read: %v", err), false
	}
	j.body = b
	j.print = j.computeFingerprint(origin)
	return Refusal{}, true
}

// chance tells whether the caller will retry the request if it fails.
func (j *job) chance() retrier.Chance {
	if j.nested || j.triedBefore > 0 {
		return retrier.LastChance
	}
	return retrier.CallerRetries
}

func (j *job) repeatable() bool {
	return j.route.Repeatable(j.request.Method)
}

// answerDeadline returns the time by which the whole answer must have been written, or zero if
// there is no limit.
func (j *job) answerDeadline() time.Time {
	if j.bounded {
		return j.deadline
	}
	return time.Time{}
}

// left returns the time until the deadline, or 0 if none is set yet.
func (j *job) left() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(time.Until(j.deadline), 0)
}

// kind returns the arbiter's kind of the request.
func (j *job) kind() arbiter.Kind {
	k := arbiter.Kind{Name: j.route.Name, Priority: j.rank()}
	if j.workspace != nil {
		// Requests of one route differ in their priority by that of their workspaces.
		k.Name += "@" + strconv.Itoa(j.workspace.Priority)
	}
	for _, d := range j.route.Destinations {
		k.Services = append(k.Services, d.Service)
	}
	return k
}

// withOverallVerdict gives err the verdict of all attempts instead of the last one.
func (j *job) withOverallVerdict(err error) error {
	if !j.mayHaveRun || classifier.VerdictOf(err) == classifier.MayHaveRun {
		return err
	}
	return classifier.Wrap(err, classifier.Interrupted, classifier.MayHaveRun, "an earlier attempt may have run")
}

// call returns a call of j's request to endpoint p.
func (e *Entry) call(j *job, p gossiper.Endpoint) call {
	r := j.request
	h := r.Header.Clone()
	stripHopByHop(h)
	repeated := h.Get(RetryHeader) != "" || j.sends > 0
	e.dialect.stripReserved(h)
	e.stripCredentials(h, j)
	delete(h, "Expect")
	if repeated && e.dialect.Reserved == ownPrefix {
		h.Set(RetryHeader, "1")
	}
	h.Set(e.dialect.Request, j.id)
	if e.dialect.Origin != "" {
		h.Set(e.dialect.Origin, *e.service.Load())
	}
	if e.dialect.Instance != "" {
		h.Del(e.dialect.Instance)
	}
	c := call{
		hop: hop{
			purpose:     toGate,
			service:     p.Service,
			target:      p.Address,
			class:       j.route.Name,
			priority:    j.rank(),
			nested:      j.nested,
			returning:   e.sharesLoads() && j.triedBefore > 0,
			repeatable:  j.repeatable(),
			repeat:      j.sends > 0,
			bounded:     j.bounded,
			fingerprint: j.print,
			workspace:   j.workspaceName(),
		},
		method:   r.Method,
		host:     r.Host,
		uri:      rawURI(r),
		header:   h,
		body:     j.body,
		request:  j.id,
		deadline: j.deadline,
		mark:     j.mark,
		begun:    time.Now(),
		kind:     j.kind(),
	}
	if j.route.Objective > 0 {
		c.objective = max(j.route.Objective-j.triedBefore-time.Since(j.arrived), time.Millisecond)
	}
	if e.sharesLoads() {
		c.job = j
	}
	c.attempt = j.id + "." + strconv.FormatUint(mathrand.Uint64(), 36)
	return c
}

// requestID returns the caller's identifier if it is usable, or a new one.
func requestID(id string) string {
	if id != "" && len(id) <= maxRequestID {
		return id
	}
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// rawURI returns the path and query as the caller sent them.
func rawURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// cleanPath reports whether targets interpret the path p as the router does: it has
// no empty, "." or ".." segments.
func cleanPath(p string) bool {
	if p == "" || p == "*" {
		return p == "*"
	}
	for s := range strings.SplitSeq(strings.TrimSuffix(p[1:], "/"), "/") {
		if s == "." || s == ".." || (s == "" && p != "/") {
			return false
		}
	}
	return true
}
