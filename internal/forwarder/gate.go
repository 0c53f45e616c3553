package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/loadsharer"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/pacer"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// targetDialTimeout is far above the time that a connection within one VM takes.
	targetDialTimeout = 250 * time.Millisecond
	// targetIdleTimeout is the idle timeout for targets that do not state how long they
	// keep idle connections.
	targetIdleTimeout = 4 * time.Second
	// maxUnsafeIdle is the maximum idle time of a connection that is reused for a
	// request which must not be repeated: if the target closes the connection at the
	// same moment, it is unknown whether the request has run.
	maxUnsafeIdle            = time.Second
	maxIdleTargetConnections = 64
	defaultDeadline          = 5 * time.Second
	// maxTargetSends is the maximum number of times that a gate sends a call to its target.
	maxTargetSends = 2
	// interimResponseInterval is the interval at which a gate sends interim responses to the
	// entry while it waits for the target. It is about the duration of an ordinary
	// request, so that most requests need none.
	interimResponseInterval = 120 * time.Millisecond
)

// Gate sends calls to the targets beside this node.
type Gate struct {
	registrar    *registrar.Registrar
	client       *exchanger.Client
	crashTracker CrashTracker
	dialect      Dialect
	ledger       ledger
	inFlight     workload
	uplink       pacer.Uplink
	usage        slotUsage
	speeds       loadsharer.Gauge
	// sharing means that loads are shared between nodes.
	sharing atomic.Bool
}

// NewGate returns a gate for the targets in r that reports crashes to w.
func NewGate(r *registrar.Registrar, w CrashTracker, d Dialect, t *meter.Traffic) *Gate {
	o := exchanger.Options{
		DialTimeout: targetDialTimeout,
		IdleTimeout: targetIdleTimeout,
		UnsafeIdle:  maxUnsafeIdle,
		MaxIdle:     maxIdleTargetConnections,

		DistinctRequests: true,
	}
	return &Gate{registrar: r, crashTracker: w, dialect: d, client: exchanger.New(o, t), ledger: ledger{since: time.Now()}}
}

// SetUplinkRate limits the answers that the gate accepts to send to other nodes by the
// rate of their link. The function traffic returns the count of all bytes on it.
func (g *Gate) SetUplinkRate(bytesPerSecond float64, traffic func() uint64) {
	g.uplink.BytesPerSecond = bytesPerSecond
	g.uplink.Traffic = traffic
}

// Sweep closes connections to targets that have been idle for too long.
func (g *Gate) Sweep(now time.Time) {
	g.client.CloseExpired(now)
}

// Connections returns how many connections to targets were opened and how often
// connections were reused.
func (g *Gate) Connections() exchanger.Stats {
	return g.client.Stats()
}

var (
	// errRejected reports that a target stated in its answer that it did not run a call.
	errRejected = classifier.Overloaded.NewSubtype("rejected")
	// errLinkBusy reports that the link of a target's node cannot deliver an answer in
	// time. Its reason on the wire is that of its supertype.
	errLinkBusy = classifier.Overloaded.NewSubtype("link_busy")
	// errForeignAnswer reports an answer that is not the target's own: it lacks the
	// signature or has a content encoding that was not requested.
	errForeignAnswer = classifier.Interrupted.NewSubtype("spoiled")
	// errOverdue reports that a target took far longer than usual to answer.
	errOverdue = classifier.Interrupted.NewSubtype("overdue")
)

// do waits for a slot, sends c to its target and returns the answer, with the rest
// of a large one still to be streamed. The error carries a verdict.
func (g *Gate) do(ctx context.Context, c call) (*answer, error) {
	t, ok := g.registrar.Find(c.service, c.target)
	if !ok || t.Down {
		return nil, classifier.Error(classifier.NotFound, classifier.NotRun, "gate: no target of %s at %s", c.service, c.target)
	}
	ctx, limit, cancel := limitUntilAnswer(ctx, c.deadline)
	k := c.ticket()
	k.ByLoss = g.sharing.Load()
	p, err := t.Gate.Enter(ctx, k)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &heldSlot{pass: p, usage: &g.usage, objective: k.Objective, since: time.Now()}
	a, err := g.run(ctx, c, t)
	if err == nil && !c.bounded {
		a, err = limit.accept(ctx, a, "gate: target "+c.target)
	}
	if err != nil || a.rest == nil {
		r := resultOf(ctx, a, err)
		s.release(r, r)
		cancel()
		return a, err
	}
	a.rest = &slotReleasingBody{ReadCloser: a.rest, slot: s, cancel: cancel}
	return a, nil
}

func resultOf(ctx context.Context, a *answer, err error) gatekeeper.Result {
	switch {
	case err == nil && a.status < http.StatusInternalServerError:
		return gatekeeper.Answered
	case err == nil:
		return gatekeeper.Failed
	case classifier.Is(err, errOverdue):
		return gatekeeper.Failed
	case ctx.Err() != nil, classifier.VerdictOf(err) == classifier.NotRun, classifier.Is(err, errIncomplete), classifier.Is(err, classifier.TimedOut):
		return gatekeeper.Abandoned
	}
	return gatekeeper.Failed
}

// run sends c to target t, unless equal requests have crashed targets. If the
// connection breaks, it checks whether the target has crashed.
func (g *Gate) run(ctx context.Context, c call, t registrar.Target) (*answer, error) {
	if g.crashTracker.Blocked(c.fingerprint) {
		return nil, quarantined()
	}
	n := t.Gate.Running()
	ctx, overdue := g.limitOverdue(ctx, c, t)
	defer overdue.lift()
	a, err := g.send(ctx, c, t, overdue)
	if err == nil {
		g.clear(c.service, c.fingerprint)
		return a, nil
	}
	if !mayBeCrash(err) || ctx.Err() != nil || !g.crashed(ctx, c.target) {
		return nil, err
	}
	n = max(n, t.Gate.Running())
	klog.InfoS("Target crashed while it ran a request", "request", c.request, "target", c.target, "instance", t.Instance, "running", n)
	if c.fingerprint != unknownFingerprint {
		g.crashTracker.Strike(c.service, quarantiner.Strike{
			Fingerprint: c.fingerprint,
			Crash:       crashID(c.target, t.AnnouncedAt),
			Shared:      n > 1,
		})
	}
	g.registrar.MarkDown(c.target)
	return nil, classifier.Wrap(err, errCrashed, classifier.MayHaveRun, "gate: target %s crashed", c.target)
}

// limitOverdue returns a context that ends when the answer to c is overdue, if c is
// abandoned in this case and enough time is left to try another target.
func (g *Gate) limitOverdue(ctx context.Context, c call, t registrar.Target) (context.Context, *cutoff) {
	d, ok := t.Gate.Overdue(c.class)
	if !c.abandonOverdue || !ok || time.Until(c.deadline) < 2*d {
		return ctx, nil
	}
	ctx, l, _ := cutOff(ctx, d, errOverdue.New("no answer after %s", d))
	return ctx, l
}

// mayBeCrash reports whether err may be due to a crash of the target during a call.
func mayBeCrash(err error) bool {
	return classifier.Is(err, classifier.Interrupted) && !classifier.Is(err, errForeignAnswer) && !classifier.Is(err, errIncomplete) && classifier.VerdictOf(err) == classifier.MayHaveRun
}

// clear withdraws the strikes against a request that was answered.
func (g *Gate) clear(service string, f quarantiner.Fingerprint) {
	if g.crashTracker.Suspected(f) {
		g.crashTracker.Strike(service, quarantiner.Strike{Fingerprint: f, Cleared: true})
	}
}

// send sends c to its target. If a reused connection breaks before any byte of the
// request was sent, it tries a second time. An answer that has begun is not overdue.
func (g *Gate) send(ctx context.Context, c call, t registrar.Target, overdue *cutoff) (*answer, error) {
	if c.attempt != "" && !g.ledger.send(c.attempt, time.Now()) {
		return nil, classifier.Error(classifier.Interrupted, classifier.NotRun, "gate: the entry has settled the attempt")
	}
	if g.dialect.Instance != "" && t.Instance != "" {
		c.header.Set(g.dialect.Instance, t.Instance)
	}
	g.setWorkspace(c)
	defer g.inFlight.begin(c.request, c.class, c.repeat)()
	for n := 1; ; n++ {
		if err := c.unexpired(); err != nil {
			return nil, err
		}
		c.header.Set(g.dialect.Deadline, formatLeft(c.deadline, time.Now()))
		q := c.exchange(g.dialect.Request)
		q.IDOptional = !g.dialect.EchoesRequest
		begun := g.begin(c)
		r, err := g.client.Do(ctx, c.target, q)
		if err == nil && !overdue.lift() {
			_ = r.Body.Close()
			return nil, classify(ctx, context.Cause(ctx), "gate: target "+c.target)
		}
		if err == nil {
			g.observe(c, r, begun)
			return g.checkAndRead(ctx, c, r)
		}
		var x *exchanger.Error
		if n >= maxTargetSends || !errors.As(err, &x) || !x.Reused || x.Cause != exchanger.Broken || x.Sent {
			g.unregisterRefusing(c, x)
			return nil, classify(ctx, err, "gate: target "+c.target)
		}
		g.client.CloseIdle(c.target)
	}
}

// unregisterRefusing unregisters a target that refuses connections.
func (g *Gate) unregisterRefusing(c call, x *exchanger.Error) {
	if x != nil && x.Refused && g.registrar.MarkDown(c.target) {
		klog.InfoS("Target refuses connections", "request", c.request, "target", c.target, "service", c.service)
	}
}

// checkAndRead checks an answer and reads all of it unless it is large.
func (g *Gate) checkAndRead(ctx context.Context, c call, r *exchanger.Response) (*answer, error) {
	if err := g.check(c, r); err != nil {
		r.Drain()
		return nil, err
	}
	a, err := bufferAnswer(r, c.method)
	if err != nil {
		return nil, classify(ctx, err, "gate: answer of "+c.target)
	}
	stripHopByHop(a.header)
	g.dialect.stripReserved(a.header)
	a.calleeOverloaded = a.status >= http.StatusInternalServerError && g.inFlight.calleeOverloaded(c.request)
	if a.calleeOverloaded {
		a.refusedBy = g.inFlight.refusedBy(c.request)
	}
	return a, nil
}

// check returns an error for answers which state that the target did not run the
// request, and for those that are not the target's own.
func (g *Gate) check(c call, r *exchanger.Response) error {
	d := &g.dialect
	if d.NotRun != "" && r.Header.Get(d.NotRun) != "" {
		return classifier.Error(errRejected, classifier.NotRun, "gate: target %s rejected the request with status %d", c.target, r.Status)
	}
	if d.Instance != "" && r.Status == http.StatusMisdirectedRequest {
		klog.InfoS("Address belongs to another target", "request", c.request, "target", c.target, "service", c.service)
		g.registrar.MarkDown(c.target)
		return classifier.Error(classifier.NotFound, classifier.NotRun, "gate: another target has the address %s", c.target)
	}
	if d.Signature == "" || r.Status >= http.StatusMultipleChoices {
		return nil
	}
	if r.Header.Get(d.Signature) == "" {
		return classifier.Error(errForeignAnswer, classifier.MayHaveRun, "gate: target %s gave an answer without a signature", c.target)
	}
	if e := r.Header.Get("Content-Encoding"); e != "" {
		return classifier.Error(errForeignAnswer, classifier.MayHaveRun, "gate: target %s gave an answer with the encoding %q that nobody asked for", c.target, e)
	}
	return nil
}

// slotReleasingBody releases the slot when the answer has been read or is closed.
type slotReleasingBody struct {
	io.ReadCloser

	slot   *heldSlot
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.slot.release(gatekeeper.Abandoned, streamResult(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotReleasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.slot.release(gatekeeper.Abandoned, gatekeeper.Abandoned)
	b.cancel()
	return err
}

// ServeHTTP serves a call from another node.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := g.accept(r)
	w.Header().Set(g.dialect.Request, c.request)
	if !ok {
		writeRefusal(w, classifier.Error(classifier.Invalid, classifier.NotRun, "gate: unreadable %s", HopHeader), gatekeeper.Load{})
		return
	}
	switch c.purpose {
	case toSettle, toCancel:
		g.serveSettle(w, c)
		return
	case toCheck:
		return
	default:
	}
	reservation, err := g.reserve(c)
	if err != nil {
		writeRefusal(w, err, g.load(c))
		return
	}
	defer reservation.End()
	// The connection of a node that is frozen or has vanished inside a body stays open.
	c.body.readUntil(c.deadline, w)
	p := startInterimSender(w)
	a, err := g.do(r.Context(), c)
	p.stop()
	l := g.load(c)
	if err != nil {
		writeRefusal(w, err, l)
		return
	}
	if a.length >= 0 {
		reservation.Resize(a.length)
	}
	h := w.Header()
	copyHeader(h, a.header)
	h.Set(g.dialect.Request, c.request)
	h.Set(HopHeader, report{load: l, callees: g.inFlight.callees(c.class, time.Now()), calleeOverloaded: a.calleeOverloaded, refusedBy: a.refusedBy}.format())
	if err := a.write(g.pace(r.Context(), w, a.length), c.answerDeadline()); err != nil {
		klog.InfoS("Answer to another node was cut short", "request", c.request, "target", c.target, "cause", err)
		panic(http.ErrAbortHandler)
	}
}

func (g *Gate) load(c call) gatekeeper.Load {
	t, ok := g.registrar.Find(c.service, c.target)
	if !ok {
		return gatekeeper.Load{}
	}
	l := t.Gate.Load(c.class)
	l.Slowdown = g.speeds.Slowdown(c.target, time.Now())
	return l
}

func (g *Gate) serveSettle(w http.ResponseWriter, c call) {
	v := g.ledger.settle(c.attempt, time.Now(), c.age)
	klog.InfoS("Settled an attempt whose connection was lost", "request", c.request, "attempt", c.attempt, "verdict", v)
	w.Header().Set(HopHeader, report{refused: true, verdict: v, reason: Broken}.format())
}

// accept parses a call from another node. It returns false if HopHeader is invalid.
func (g *Gate) accept(r *http.Request) (call, bool) {
	p, ok := parseHop(r.Header.Get(HopHeader))
	c := call{
		hop:      p,
		method:   r.Method,
		host:     r.Host,
		uri:      rawURI(r),
		header:   r.Header,
		body:     streamedBody(r),
		request:  r.Header.Get(g.dialect.Request),
		deadline: time.Now().Add(defaultDeadline),
		mark:     sleeper.NewTimestamp(),
	}
	if d, ok := parseLeft(r.Header, g.dialect.Deadline); ok {
		c.deadline = time.Now().Add(d)
	}
	stripHopByHop(c.header)
	delete(c.header, HopHeader)
	return c, ok
}

// interimSender sends interim responses (102 Processing) to the entry during a call, so that
// the entry does not take the node for unreachable.
type interimSender struct {
	mu     sync.Mutex
	writer http.ResponseWriter
	timer  *time.Timer
	ended  bool
}

func startInterimSender(w http.ResponseWriter) *interimSender {
	p := &interimSender{writer: w}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(interimResponseInterval, p.sendInterim)
	return p
}

func (p *interimSender) sendInterim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.writer.WriteHeader(http.StatusProcessing)
	p.timer.Reset(interimResponseInterval)
}

func (p *interimSender) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}

// writeRefusal reports the failure of a call to the entry node.
func writeRefusal(w http.ResponseWriter, err error, l gatekeeper.Load) {
	f := refusalOf(err)
	r := report{refused: true, verdict: f.Verdict, reason: f.Reason, load: l, linkBusy: classifier.Is(err, errLinkBusy)}
	r.wait, _ = classifier.WaitOf(err)
	w.Header().Set(HopHeader, r.format())
	w.WriteHeader(f.Status())
	_, _ = io.WriteString(w, f.Message)
}
