package forwarder

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/deduplicator"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	logPrefix       = "forwarder: "
	requestIDBytes  = 8
	maxRequestID    = 64
	maxCallDeadline = time.Hour
)

// Entry takes requests from callers and brings back whole answers.
type Entry struct {
	holder    *holder.Holder
	view      func() *gossiper.View
	gate      *Gate
	transport http.RoundTripper
	balancer  balancer.Balancer
	budget    retrier.Budget
	keys      deduplicator.Table[*answer]
	trusted   func(service string) time.Time
	stats     *Stats

	node       string
	dataCenter string
	profile    atomic.Pointer[string]
	draining   atomic.Bool
}

// Where names the node that an entry belongs to and its profile.
type Where struct {
	Node       string
	DataCenter string
	Profile    string
}

// Mesh is what an entry knows of the other nodes.
type Mesh interface {
	// View returns the mesh as it is known now.
	View() *gossiper.View
	// Trusted returns since when the others have taken this node for a home of
	// a service's keys.
	Trusted(service string) time.Time
}

// NewEntry returns an entry that reaches other nodes through t.
func NewEntry(h *holder.Holder, m Mesh, g *Gate, t http.RoundTripper, s *Stats, w Where) *Entry {
	e := &Entry{
		holder:     h,
		view:       m.View,
		trusted:    m.Trusted,
		gate:       g,
		transport:  t,
		stats:      s,
		node:       w.Node,
		dataCenter: w.DataCenter,
	}
	e.profile.Store(&w.Profile)
	return e
}

// UseProfile changes the profile that routes requests.
func (e *Entry) UseProfile(name string) {
	e.profile.Store(&name)
}

// Profile returns the name of the profile that routes requests.
func (e *Entry) Profile() string {
	return *e.profile.Load()
}

// Drain makes the entry refuse new requests.
func (e *Entry) Drain() {
	e.draining.Store(true)
}

// Ejected returns how many targets are left alone for their failures.
func (e *Entry) Ejected() int {
	return e.balancer.Ejected(time.Now())
}

// job is one request on its way through the entry.
type job struct {
	request  *http.Request
	id       string
	profile  *holder.Profile
	route    router.Route
	service  router.Service
	body     *body
	deadline time.Time
	tried    map[string]bool
	// ran says that an attempt may have run.
	ran   bool
	print quarantiner.Fingerprint
	// key is the caller's idempotency key, empty when the request may be
	// repeated anyway.
	key string
	ctx context.Context
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stats.Requests.Add(1)
	j := newJob(r)
	w.Header().Set(RequestHeader, j.id)
	if f, ok := e.prepare(w, j); !ok {
		e.refuse(w, j, f)
		return
	}
	w.Header().Set(ProfileHeader, j.profile.Name+"@"+j.profile.Digest.Short())
	a, err := e.runKeyed(j)
	if err != nil {
		e.refuse(w, j, refusalOf(err))
		return
	}
	if err := a.write(w); err != nil {
		e.stats.Cut.Add(1)
		klog.Warningf(logPrefix+"Request %s: The answer was cut short: %v", j.id, err)
		panic(http.ErrAbortHandler)
	}
}

func newJob(r *http.Request) *job {
	return &job{request: r, ctx: r.Context(), id: requestID(r.Header), tried: make(map[string]bool)}
}

func (e *Entry) refuse(w http.ResponseWriter, j *job, f Refusal) {
	f.Request = j.id
	if f.Reason == Draining {
		w.Header().Set("Connection", "close")
	}
	e.stats.refused(f.Verdict)
	klog.V(1).Infof(logPrefix+"Request %s: Refused, %s, %s: %s", j.id, f.Reason, f.Verdict, f.Message)
	f.write(w)
}

// prepare finds the route and reads the body. It returns false with a refusal.
func (e *Entry) prepare(w http.ResponseWriter, j *job) (Refusal, bool) {
	if e.draining.Load() {
		return notRun(Draining, "node %s is draining", e.node), false
	}
	if !cleanPath(j.request.URL.Path) {
		return notRun(BadRequest, "the path has empty, \".\" or \"..\" segments"), false
	}
	n := e.Profile()
	j.profile = e.holder.Current().Serving(n)
	if j.profile == nil {
		return notRun(NoProfile, "profile %q is not in force", n), false
	}
	if !j.findRoute() {
		return notRun(NoRoute, "no route of profile %q matches", j.profile.Name), false
	}
	if !j.findKey() {
		return notRun(BadRequest, "%s has more than %d bytes", KeyHeader, maxKeyBytes), false
	}
	j.setDeadline(time.Now())
	if f, ok := j.readBody(w); !ok {
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

func (j *job) findRoute() bool {
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
	d, ok := t.Choose(mathrand.Float64())
	if !ok {
		return false
	}
	j.route = t
	j.service, ok = j.profile.Service(d.Service)
	return ok
}

// setDeadline takes the earliest of the caller's, the route's and the
// service's deadlines.
func (j *job) setDeadline(now time.Time) {
	d := j.service.Timeout
	if j.route.Timeout > 0 {
		d = min(d, j.route.Timeout)
	}
	if l, ok := parseLeft(j.request.Header); ok {
		d = min(d, l)
	}
	j.deadline = now.Add(min(d, maxCallDeadline))
}

func (j *job) readBody(w http.ResponseWriter) (Refusal, bool) {
	b, err := readBody(w, j.request, j.service.Limits.MaxBodyBytes, j.deadline)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return notRun(TooLarge, "the body has more than %d bytes", m.Limit), false
	}
	if err != nil {
		return notRun(BadRequest, "the body could not be read: %v", err), false
	}
	j.body = b
	j.print = j.fingerprint()
	return Refusal{}, true
}

func (j *job) idempotent() bool {
	return j.route.Idempotent || retrier.SafeMethod(j.request.Method)
}

// run makes attempts until one is answered or no other is allowed.
func (e *Entry) run(j *job) (*answer, error) {
	e.budget.Deposit(j.service)
	for n := 1; ; n++ {
		a, err := e.attempt(j, n)
		if err == nil {
			return a, nil
		}
		j.ran = j.ran || judge.Of(err) == judge.MayHaveRun
		if !e.again(j, n, err) {
			return nil, j.verdict(err)
		}
		e.stats.Retries.Add(1)
	}
}

// verdict makes err speak for all attempts, not only for the last one.
func (j *job) verdict(err error) error {
	if !j.ran || judge.Of(err) == judge.MayHaveRun {
		return err
	}
	return judge.Wrap(err, judge.Interrupted, judge.MayHaveRun, "an earlier attempt may have run")
}

func (e *Entry) again(j *job, n int, err error) bool {
	a := retrier.Attempt{
		Number:     n,
		Verdict:    judge.Of(err),
		Idempotent: j.idempotent(),
		Replayable: j.body.replayable(),
	}
	if judge.Is(err, errCrashed) || judge.Is(err, errQuarantined) {
		return false
	}
	if judge.Is(err, errNoTarget) || j.ctx.Err() != nil || !time.Now().Before(j.deadline) {
		return false
	}
	if j.request.Header.Get(RetryHeader) != "" {
		return false
	}
	return a.Allowed(j.service.Retry) && e.budget.Withdraw(j.service)
}

// errNoTarget reports that there is nothing left to try.
var errNoTarget = judge.Unavailable.NewSubtype("no_target")

// attempt makes one call and returns its whole answer, or the start of a
// large one.
func (e *Entry) attempt(j *job, n int) (*answer, error) {
	p, ok := e.pick(j)
	if !ok {
		return nil, judge.Error(errNoTarget, judge.NotRun, "service %q has no target to try", j.service.Name)
	}
	j.tried[p.Address] = true
	end := e.balancer.Start(p, time.Now())
	ctx, release, cancel := limitUntilAnswer(j.ctx, j.deadline)
	a, err := e.exchange(ctx, j, p, n)
	end(outcomeOf(err), time.Now())
	if err != nil {
		cancel()
		return nil, err
	}
	release()
	return a.closing(cancel), nil
}

// pick chooses a target that was not tried yet, or else one that was: a new
// connection may do better.
func (e *Entry) pick(j *job) (gossiper.Endpoint, bool) {
	p, ok := e.pickUntried(j)
	if ok || len(j.tried) == 0 {
		return p, ok
	}
	clear(j.tried)
	return e.pickUntried(j)
}

// pickUntried chooses a target of the service, or of its fallbacks when it
// has none.
func (e *Entry) pickUntried(j *job) (gossiper.Endpoint, bool) {
	v := e.view()
	for range len(j.profile.Services) {
		l := v.Service(j.service.Name)
		if p, ok := e.balancer.Pick(l, e.dataCenter, j.tried, time.Now()); ok {
			return p, true
		}
		s, ok := j.profile.Service(j.service.Fallback)
		if !ok {
			break
		}
		j.service = s
	}
	return gossiper.Endpoint{}, false
}

func (e *Entry) exchange(ctx context.Context, j *job, p gossiper.Endpoint, n int) (*answer, error) {
	c := j.call(p, n)
	r, err := e.send(ctx, c, p)
	if err != nil {
		return nil, err
	}
	a, err := hold(r)
	if err != nil {
		return nil, classify(ctx, err, judge.MayHaveRun, "answer of "+p.Address)
	}
	stripOwn(a.header)
	return a, nil
}

// call makes the call of attempt n to endpoint p.
func (j *job) call(p gossiper.Endpoint, n int) call {
	r := j.request
	h := r.Header.Clone()
	stripHop(h)
	repeated := h.Get(RetryHeader) != "" || n > 1
	stripOwn(h)
	h.Del("Expect")
	if repeated {
		h.Set(RetryHeader, "1")
	}
	h.Set(RequestHeader, j.id)
	return call{
		method:      r.Method,
		host:        r.Host,
		uri:         r.URL,
		header:      h,
		body:        j.body.reader(),
		length:      j.body.length,
		request:     j.id,
		service:     p.Service,
		target:      p.Address,
		deadline:    j.deadline,
		fingerprint: j.print,
	}
}

// send hands c to the gate of endpoint p, here or on another node.
func (e *Entry) send(ctx context.Context, c call, p gossiper.Endpoint) (*http.Response, error) {
	if p.Node == e.node {
		return e.gate.do(ctx, c)
	}
	c.header.Set(gateServiceHeader, c.service)
	c.header.Set(gateTargetHeader, c.target)
	c.header.Set(gateFingerprintHeader, formatFingerprint(c.fingerprint))
	c.header.Set(DeadlineHeader, formatLeft(c.deadline, time.Now()))
	var f flight
	r, err := e.transport.RoundTrip(c.newRequest(f.trace(ctx), p.PeerAddress, GatePath))
	if err != nil {
		return nil, classify(ctx, err, f.sharedVerdict(), "node "+p.Node)
	}
	if id := r.Header.Get(RequestHeader); id != c.request {
		_ = r.Body.Close()
		return nil, judge.Error(judge.Interrupted, judge.MayHaveRun, "node %s answered request %q instead", p.Node, id)
	}
	if v := r.Header.Get(gateVerdictHeader); v != "" {
		return nil, gateError(r, p)
	}
	return r, nil
}

// gateError turns the refusal of another node's gate into an error.
func gateError(r *http.Response, p gossiper.Endpoint) error {
	defer func() { _ = r.Body.Close() }()
	v := judge.Parse(r.Header.Get(gateVerdictHeader))
	w := Reason(r.Header.Get(gateReasonHeader))
	return judge.Error(kindOf(w), v, "target %s of node %s: %s", p.Address, p.Node, w)
}

func outcomeOf(err error) balancer.Outcome {
	switch {
	case err == nil:
		return balancer.Answered
	case judge.Is(err, errQuarantined):
		return balancer.Answered
	case judge.Is(err, judge.Overloaded):
		return balancer.Shed
	case judge.Is(err, judge.Unavailable), judge.Is(err, judge.NotFound):
		return balancer.Departed
	}
	return balancer.Failed
}

// requestID keeps the caller's identifier if it is usable, or makes one.
func requestID(h http.Header) string {
	if v := h.Get(RequestHeader); v != "" && len(v) <= maxRequestID {
		return v
	}
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// cleanPath refuses paths that targets may read differently from the router.
func cleanPath(p string) bool {
	if p == "" || p == "*" {
		return p == "*"
	}
	for _, s := range strings.Split(strings.TrimSuffix(p[1:], "/"), "/") {
		if s == "." || s == ".." || (s == "" && p != "/") {
			return false
		}
	}
	return true
}

// Draining reports whether new requests are refused.
func (e *Entry) Draining() bool {
	return e.draining.Load()
}
