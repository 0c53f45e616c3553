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
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

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
	ran bool
	// print is the fingerprint of equal requests.
	print quarantiner.Fingerprint
	// key is the caller's idempotency key, empty when the request may be
	// repeated anyway.
	key string
	// ctx ends with the caller, unless the request is to go on without it.
	ctx context.Context
}

func newJob(r *http.Request) *job {
	return &job{request: r, ctx: r.Context(), id: requestID(r.Header), tried: make(map[string]bool)}
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

// verdict makes err speak for all attempts, not only for the last one.
func (j *job) verdict(err error) error {
	if !j.ran || judge.Of(err) == judge.MayHaveRun {
		return err
	}
	return judge.Wrap(err, judge.Interrupted, judge.MayHaveRun, "an earlier attempt may have run")
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
