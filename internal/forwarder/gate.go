package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
)

const (
	// GatePath is the prefix of calls on a node's peer address.
	GatePath = "/call"

	targetDialBound   = 500 * time.Millisecond
	targetIdleBound   = 30 * time.Second
	targetHeaderBytes = 256 << 10
	defaultDeadline   = 5 * time.Second
)

// Gate hands calls to the targets beside this node.
type Gate struct {
	registrar *registrar.Registrar
	transport *http.Transport
	warden    Warden
}

// NewGate returns the gate of the targets in r, which reports crashes to w.
func NewGate(r *registrar.Registrar, w Warden, t *meter.Traffic) *Gate {
	return &Gate{
		registrar: r,
		warden:    w,
		transport: &http.Transport{
			DialContext:            t.Dialer(&net.Dialer{Timeout: targetDialBound}),
			MaxIdleConnsPerHost:    registrar.MaxIdleConnections,
			IdleConnTimeout:        targetIdleBound,
			MaxResponseHeaderBytes: targetHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// do hands c to its target. The error carries a verdict.
func (g *Gate) do(ctx context.Context, c call) (*http.Response, error) {
	t, ok := g.registrar.Find(c.service, c.target)
	if !ok {
		return nil, judge.Error(judge.NotFound, judge.NotRun, "gate: no target of %s at %s", c.service, c.target)
	}
	ctx, release, cancel := limitUntilAnswer(ctx, c.deadline)
	leave, err := t.Gate.Enter(ctx, c.deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	r, err := g.run(ctx, c, t)
	if err != nil {
		cancel()
		leave()
		return nil, err
	}
	release()
	stripHop(r.Header)
	stripOwn(r.Header)
	r.Body = &leavingBody{ReadCloser: r.Body, leave: leave, cancel: cancel}
	return r, nil
}

// run sends c to target t, unless equal requests have crashed targets, and
// finds out whether a broken call was a crash.
func (g *Gate) run(ctx context.Context, c call, t registrar.Target) (*http.Response, error) {
	if g.warden.Blocked(c.fingerprint) {
		return nil, quarantined()
	}
	n := t.Gate.Running()
	r, err := g.send(ctx, c)
	if err == nil {
		g.clear(c.service, c.fingerprint)
		return r, nil
	}
	if !judge.Is(err, judge.Interrupted) || judge.Of(err) == judge.NotRun || ctx.Err() != nil || !crashed(ctx, c.target) {
		return nil, err
	}
	n = max(n, t.Gate.Running())
	klog.Warningf("gate: Target %s crashed while it ran request %s.", c.target, c.request)
	if c.fingerprint != unknownFingerprint {
		g.warden.Strike(c.service, quarantiner.Strike{
			Fingerprint: c.fingerprint,
			Crash:       crashID(c.target, t.Announced),
			Shared:      n > 1,
		})
	}
	g.registrar.Remove(c.target)
	return nil, judge.Wrap(err, errCrashed, judge.MayHaveRun, "gate: target %s crashed", c.target)
}

// clear takes strikes back from a request that was answered.
func (g *Gate) clear(service string, f quarantiner.Fingerprint) {
	if g.warden.Suspected(f) {
		g.warden.Strike(service, quarantiner.Strike{Fingerprint: f, Cleared: true})
	}
}

func (g *Gate) send(ctx context.Context, c call) (*http.Response, error) {
	var f flight
	c.header = c.header.Clone()
	c.header.Set(DeadlineHeader, formatLeft(c.deadline, time.Now()))
	r, err := g.transport.RoundTrip(c.newRequest(f.trace(ctx), c.target, ""))
	if err == nil {
		return r, nil
	}
	v := f.exclusiveVerdict()
	if refused(err) {
		klog.Warningf("gate: Target %s refuses connections.", c.target)
		g.registrar.Remove(c.target)
	}
	return nil, classify(ctx, err, v, "gate: target "+c.target)
}

// refused reports whether nothing listens at the address any more.
func refused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial" && !o.Timeout()
}

// classify turns a transport error into one with a verdict.
func classify(ctx context.Context, err error, v judge.Verdict, who string) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return judge.Wrap(err, judge.TimedOut, v, "%s: no answer before the deadline", who)
	}
	return judge.Wrap(err, judge.Interrupted, v, "%s", who)
}

// leavingBody gives the slot back once the answer has been read.
type leavingBody struct {
	io.ReadCloser

	leave  func()
	cancel context.CancelFunc
	once   sync.Once
}

// Read implements io.Reader.
func (b *leavingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.leave)
	}
	return n, err
}

// Close implements io.Closer.
func (b *leavingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.leave)
	b.cancel()
	return err
}

// ServeHTTP takes a call from another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := g.accept(r, GatePath)
	w.Header().Set(RequestHeader, c.request)
	a, err := g.do(r.Context(), c)
	if err != nil {
		refuseToNode(w, err)
		return
	}
	defer func() { _ = a.Body.Close() }()
	copyHeader(w.Header(), a.Header)
	w.Header().Set(RequestHeader, c.request)
	setLength(w.Header(), a.ContentLength)
	w.WriteHeader(a.StatusCode)
	if err := stream(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// accept reads a call that another node made of a request, below a prefix.
func (g *Gate) accept(r *http.Request, prefix string) call {
	u := *r.URL
	u.Path = strings.TrimPrefix(u.Path, prefix)
	u.RawPath = strings.TrimPrefix(u.RawPath, prefix)
	h := r.Header.Clone()
	c := call{
		method:      r.Method,
		host:        r.Host,
		uri:         &u,
		header:      h,
		body:        r.Body,
		length:      r.ContentLength,
		request:     h.Get(RequestHeader),
		service:     h.Get(gateServiceHeader),
		target:      h.Get(gateTargetHeader),
		deadline:    time.Now().Add(defaultDeadline),
		fingerprint: parseFingerprint(h.Get(gateFingerprintHeader)),
	}
	if d, ok := parseLeft(h); ok {
		c.deadline = time.Now().Add(d)
	}
	h.Del(gateServiceHeader)
	h.Del(gateTargetHeader)
	h.Del(gateFingerprintHeader)
	h.Del(gateProfileHeader)
	return c
}

// refuseToNode tells the entry node why a call failed.
func refuseToNode(w http.ResponseWriter, err error) {
	f := refusalOf(err)
	w.Header().Set(gateVerdictHeader, f.Verdict.String())
	w.Header().Set(gateReasonHeader, string(f.Reason))
	w.WriteHeader(f.Status())
	_, _ = io.WriteString(w, f.Message)
}
