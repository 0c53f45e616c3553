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
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// job is one request on its way through the entry.
type job struct {
	request  *http.Request
	id       string
	arrived  time.Time
	profile  *holder.Profile
	route    router.Route
	service  router.Service
	body     *body
	deadline time.Time
	// mark is when deadline was set.
	mark sleeper.Mark
	// bounded says that deadline bounds the whole answer: the caller or the
	// operator of the route has set it.
	bounded bool
	// triedBefore is how long the caller is taken to have tried before.
	triedBefore time.Duration
	// nested says that the target beside this node made the request on behalf
	// of another one that it runs.
	nested bool
	// refused holds the targets whose gates did not take the request, and ran
	// those that may have run it.
	refused map[string]bool
	sentTo  map[string]bool
	// refusedForLoad says that a gate refused the request for load.
	refusedForLoad bool
	// sends counts the attempts that may have reached a target.
	sends int
	// retryGranted says that a retry was granted after an attempt that may have run.
	retryGranted bool
	// mayHaveRun says that an attempt may have run.
	mayHaveRun bool
	// print is the print of equal requests.
	print quarantiner.Fingerprint
	// key is the caller's idempotency key, empty when the request may be
	// repeated anyway.
	key string
	// ctx ends with the caller, unless the request is to go on without it.
	ctx context.Context
	// target is the one that was tried last, and failure why it failed.
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

// prepare finds the route and reads the body. It returns false with a refusal.
func (e *Entry) prepare(w http.ResponseWriter, j *job) (Refusal, bool) {
	if e.refusing.Load() {
		return notRun(Draining, "node %s is draining", e.node), false
	}
	if ambiguous(j.request) {
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
	if !j.findKey() {
		return notRun(BadRequest, "%s has more than %d bytes", KeyHeader, maxKeyBytes), false
	}
	e.setDeadline(j)
	var again bool
	if j.nested, again = e.gate.inFlight.extends(j.id, j.service.Name, j.arrived); again {
		e.budget.Spend(j.service.Name, e.nodes())
	}
	if f, ok := j.readBody(w, *e.service.Load()); !ok {
		return f, false
	}
	if e.gate.warden.Blocked(j.print) {
		return refusalOf(quarantined()), false
	}
	return Refusal{}, true
}

func notRun(r Reason, format string, args ...any) Refusal {
	return Refusal{Reason: r, Verdict: judge.NotRun, Message: fmt.Sprintf(format, args...)}
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

// setDeadline takes the earliest of the caller's, the route's and the
// service's deadlines.
func (e *Entry) setDeadline(j *job) {
	d := j.service.Timeout
	if j.route.Timeout > 0 {
		d = j.route.Timeout
		j.bounded = true
	}
	if l, ok := parseLeft(j.request.Header, e.dialect.Deadline); ok {
		j.triedBefore = e.patience.triedBefore(j.route.Name, l)
		d = min(d, l)
		j.bounded = true
	}
	j.deadline = j.arrived.Add(min(d, maxCallDeadline))
	j.mark = sleeper.NewMark()
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

func (j *job) repeatable() bool {
	return j.route.Repeatable(j.request.Method)
}

// end is when the whole answer must have been passed on, or zero.
func (j *job) end() time.Time {
	if j.bounded {
		return j.deadline
	}
	return time.Time{}
}

// left is the time until the deadline, 0 when there is none yet.
func (j *job) left() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return max(time.Until(j.deadline), 0)
}

// kind is the kind of requests that j belongs to.
func (j *job) kind() arbiter.Kind {
	k := arbiter.Kind{Name: j.route.Name, Priority: j.route.Priority}
	for _, d := range j.route.Destinations {
		k.Services = append(k.Services, d.Service)
	}
	return k
}

// withOverallVerdict makes err speak for all attempts, not only for the last one.
func (j *job) withOverallVerdict(err error) error {
	if !j.mayHaveRun || judge.Of(err) == judge.MayHaveRun {
		return err
	}
	return judge.Wrap(err, judge.Interrupted, judge.MayHaveRun, "an earlier attempt may have run")
}

// call makes a call to endpoint p.
func (e *Entry) call(j *job, p gossiper.Endpoint) call {
	r := j.request
	h := r.Header.Clone()
	stripHop(h)
	repeated := h.Get(RetryHeader) != "" || j.sends > 0
	e.dialect.strip(h)
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
			priority:    j.route.Priority,
			nested:      j.nested,
			repeatable:  j.repeatable(),
			repeat:      j.sends > 0,
			bounded:     j.bounded,
			fingerprint: j.print,
		},
		method:   r.Method,
		host:     r.Host,
		uri:      rawURI(r),
		header:   h,
		body:     j.body.reader(),
		length:   j.body.length,
		request:  j.id,
		deadline: j.deadline,
		mark:     j.mark,
		kind:     j.kind(),
	}
	if j.route.Objective > 0 {
		c.objective = max(j.route.Objective-j.triedBefore-time.Since(j.arrived), time.Millisecond)
	}
	if !c.repeatable {
		c.attempt = j.id + "." + strconv.FormatUint(mathrand.Uint64(), 36)
	}
	return c
}

// requestID keeps the caller's identifier if it is usable, or makes one.
func requestID(id string) string {
	if id != "" && len(id) <= maxRequestID {
		return id
	}
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// rawURI returns the path and query as they were sent.
func rawURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// cleanPath refuses paths that targets may read differently from the router.
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
