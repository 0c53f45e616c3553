package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/stager"
)

const (
	// maxImmediateOffers is the number of gates that are asked for a free slot, and
	// maxQueuedOffers the number that are asked for a place in their queue.
	maxImmediateOffers = 2
	maxQueuedOffers    = 2
	// reofferInterval is a fraction of the usual request duration: by then some
	// target is likely to have a free slot.
	reofferInterval = 30 * time.Millisecond
	// maxRefusalMessageBytes is the length above which another gate's refusal message
	// is replaced by its reason.
	maxRefusalMessageBytes = 200
	// answerHopTime is the time that an answer takes from the gate to the entry. Gates
	// get a deadline that is earlier by it, so that their refusals arrive in time.
	answerHopTime = 5 * time.Millisecond
	// connectTimeDivisor limits the wait for a connection to a node to a fraction of
	// the time that a call has left, but not to less than minConnectTimeout.
	connectTimeDivisor = 4
	minConnectTimeout  = 20 * time.Millisecond
)

// errNoTarget reports that no target is left to try.
var errNoTarget = classifier.Unavailable.NewSubtype("no_target")

// run makes attempts until one is answered or no retry is allowed.
func (e *Entry) run(j *job) (*answer, error) {
	e.budget.Deposit(j.service, e.nodes())
	defer e.countRepeats(j)
	var failure *answer
	for {
		a, err := e.offer(j)
		if j.retryGranted && notSent(err) && classifier.Is(err, classifier.Overloaded) && j.body.replayable() && e.waitToReoffer(j) {
			continue
		}
		if err == nil && (a.status < http.StatusInternalServerError || !j.repeatable()) {
			failure.discard()
			return a, nil
		}
		if err == nil {
			failure.discard()
			failure = a
		}
		if !e.shouldRetry(j, a, err) {
			break
		}
		j.retryGranted = j.mayHaveRun
		e.stats.Retries.Add(1)
	}
	if failure != nil {
		return failure, nil
	}
	e.settleUncertain(j)
	return nil, j.withOverallVerdict(j.failure)
}

// waitToReoffer waits for reofferInterval before a request that may have run is
// offered again, and reports whether there is time for it. The retry has been charged
// to the budget, so the request is offered until its deadline instead of failing for
// lack of a free slot. If no target is reachable it fails immediately.
func (e *Entry) waitToReoffer(j *job) bool {
	clear(j.refused)
	return time.Until(j.deadline) > 2*reofferInterval && sleeper.Sleep(j.ctx, reofferInterval)
}

// shouldRetry reports whether a request that failed with err, or got the error
// response a if err is nil, is sent to another target.
func (e *Entry) shouldRetry(j *job, a *answer, err error) bool {
	v := classifier.MayHaveRun
	if err != nil {
		j.failure = err
		v = classifier.VerdictOf(err)
	}
	t := retrier.Attempt{
		Number:     j.sends,
		Verdict:    v,
		Idempotent: j.repeatable(),
		Replayable: j.body.replayable(),
	}
	switch {
	case classifier.Is(err, errCrashed), classifier.Is(err, errQuarantined), classifier.Is(err, errNoTarget), notSent(err):
		return false
	case j.ctx.Err() != nil || time.Until(j.deadline) < max(answerHopTime, e.balancer.Typical(j.route.Name)/2):
		// Few requests take less than half of the usual duration.
		return false
	case e.dialect.Reserved == ownPrefix && j.request.Header.Get(RetryHeader) != "":
		return false
	case err == nil && (e.pressure.high() || a.calleeOverloaded):
		// An error response may be caused by an overload of the target or of a service
		// that it calls, and a retry would add load. A refused call to that service
		// has been retried on its own, which is cheaper.
		return false
	}
	if !t.Allowed(j.route.Attempts(j.service)) {
		return false
	}
	return classifier.Is(err, errOverdue) || e.budget.Withdraw(j.service, e.chance(j), e.nodes(), time.Now())
}

// notSent reports whether no gate sent the request to its target, so that trying
// another one adds no load to targets.
func notSent(err error) bool {
	return err != nil && classifier.VerdictOf(err) == classifier.NotRun && !classifier.Is(err, errRejected)
}

// offer asks one gate after another to accept the request: first those that seem to
// have a free slot, without queueing, then for a place in a queue. It asks no other one
// once the rest of a body that is not kept has been passed on.
func (e *Entry) offer(j *job) (*answer, error) {
	var refusal error
	o := e.newOffers(j)
	for {
		p, immediate, t, ok := o.begin()
		if !ok {
			break
		}
		a, err := e.attempt(j, p, t, immediate)
		if immediate {
			e.balancer.NoteQuestion(!classifier.Is(err, classifier.Overloaded) || classifier.Is(err, errRejected))
		}
		if !notSent(err) || classifier.Is(err, errQuarantined) {
			return a, err
		}
		refusal = shorterWait(refusal, err)
		if j.ctx.Err() != nil || !j.body.replayable() || !time.Now().Before(j.deadline.Add(-answerHopTime)) {
			break
		}
	}
	if refusal == nil {
		refusal = classifier.Error(errNoTarget, classifier.NotRun, "service %q has no target to try", j.service.Name)
	}
	return nil, refusal
}

// shorterWait returns the refusal with the shorter wait, and b if a states none.
func shorterWait(a, b error) error {
	if a == nil {
		return b
	}
	x, ok := classifier.WaitOf(a)
	y, k := classifier.WaitOf(b)
	if !ok || (k && y < x) {
		return b
	}
	return a
}

// pick chooses a target that was not tried yet. If there is none and no gate has
// refused the request, it chooses one that was, since a new connection may succeed.
// More reports whether there are other targets to try.
func (e *Entry) pick(j *job) (p gossiper.Endpoint, more bool) {
	tried := make(map[string]bool, len(j.refused)+len(j.sentTo))
	for a := range j.refused {
		tried[a] = true
	}
	for a := range j.sentTo {
		tried[a] = true
	}
	p, more, ok := e.pickUntried(j, tried)
	if ok || len(j.sentTo) == 0 || len(j.refused) > 0 {
		return p, more
	}
	p, more, _ = e.pickUntried(j, nil)
	return p, more
}

// pickUntried chooses a target of the service, or of its fallbacks if it has none.
func (e *Entry) pickUntried(j *job, tried map[string]bool) (p gossiper.Endpoint, more, ok bool) {
	v := e.view()
	q := balancer.Query{
		DataCenter: e.dataCenter,
		Node:       e.node,
		Class:      j.route.Name,
		Objective:  j.route.Objective,
		Queue:      j.queueing,
		Tried:      tried,
	}
	for range len(j.profile.Services) {
		all := e.stager.Filter(j.service.Name, v.Service(j.service.Name), tried, j.sends > 0)
		l := e.outages.withoutUnreachable(all)
		if p, ok = e.balancer.Pick(l, q, time.Now()); ok {
			return p, len(l) > len(tried)+1, true
		}
		if len(l) < len(all) && !j.refusedForLoad {
			// No reachable target is left. A node that was unreachable a moment ago may
			// be reachable again.
			if p, ok = e.balancer.Pick(all, q, time.Now()); ok {
				return p, false, true
			}
		}
		s, found := j.profile.Service(j.service.Fallback)
		if !found {
			break
		}
		j.service = s
	}
	return gossiper.Endpoint{}, false, false
}

// attempt makes one call and returns its answer, with the rest of a large one still
// to be streamed.
func (e *Entry) attempt(j *job, p gossiper.Endpoint, t *stager.Attempt, immediate bool) (*answer, error) {
	j.target = p.Address
	c := e.call(j, p)
	c.immediate = immediate
	// An overdue call is only abandoned if another attempt is certain to be allowed. The
	// rest of a body that is not kept will have been read by then.
	c.abandonOverdue = c.repeatable && j.body.rest == nil && j.sends+1 < j.route.Attempts(j.service) &&
		!e.stopping.Load() && !e.pressure.high() && e.budget.Reserve(j.service.Name, e.nodes())
	end := e.balancer.Start(p, time.Now())
	ctx, limit, cancel := limitUntilAnswer(j.ctx, j.deadline)
	a, err := e.send(ctx, c, p)
	if err == nil && !j.bounded {
		a, err = limit.accept(ctx, a, "target "+p.Address)
	}
	end(outcomeOf(ctx, a, err), time.Now())
	t.Observe(stagedOutcome(ctx, a, err))
	if c.abandonOverdue && !classifier.Is(err, errOverdue) {
		e.budget.Refund(p.Service, e.nodes())
	}
	if err != nil {
		t.Done()
		cancel()
		e.recordFailure(j, p, err)
		j.recordUncertain(c, p, err, p.Node != e.node)
		return nil, err
	}
	j.sends++
	j.sentTo[p.Address] = true
	return a.cancelOnClose(func() { t.Done(); cancel() }), nil
}

// recordFailure logs a failed attempt and records it in j for later attempts.
func (e *Entry) recordFailure(j *job, p gossiper.Endpoint, err error) {
	e.lines.Info("Attempt failed", "request", j.id, "route", j.route.Name, "target", p.Address, "node", p.Node,
		"verdict", classifier.VerdictOf(err), "reason", reasonOf(err), "cause", messageOf(err), "left", time.Until(j.deadline).Round(time.Millisecond))
	if notSent(err) {
		j.refused[p.Address] = true
		j.refusedForLoad = j.refusedForLoad || classifier.Is(err, classifier.Overloaded)
		return
	}
	j.sends++
	j.sentTo[p.Address] = true
	j.mayHaveRun = j.mayHaveRun || classifier.VerdictOf(err) == classifier.MayHaveRun
}

// send sends c to the gate of endpoint p, on this node or another one.
func (e *Entry) send(ctx context.Context, c call, p gossiper.Endpoint) (*answer, error) {
	c.deadline = c.deadline.Add(-answerHopTime)
	if p.Node == e.node {
		a, err := e.gate.do(ctx, c)
		e.learn(c, p, report{load: e.gate.load(c), callees: e.gate.inFlight.callees(c.class, time.Now())})
		return a, err
	}
	ctx, stop := e.settleBeforeDeadline(ctx, c, p)
	defer stop()
	a, err := e.sendRemote(ctx, c, p)
	if err == nil || c.repeatable || classifier.VerdictOf(err) == classifier.NotRun || !classifier.Is(err, classifier.Interrupted) || classifier.Is(err, errIncomplete) || ctx.Err() != nil {
		return a, err
	}
	if failedExchange(err) && e.settle(ctx, c, p) {
		return nil, classifier.Wrap(err, errUnreachable, classifier.NotRun, "node %s had not begun the call", p.Node)
	}
	return nil, err
}

// connectTimeout returns how long a call with the time left waits for a connection to
// a node. A node that has just vanished does not answer, and the call can still be
// made elsewhere.
func connectTimeout(left time.Duration) time.Duration {
	return max(left/connectTimeDivisor, minConnectTimeout)
}

func (e *Entry) sendRemote(ctx context.Context, c call, p gossiper.Endpoint) (*answer, error) {
	if err := c.unexpired(); err != nil {
		return nil, err
	}
	c.header.Set(HopHeader, c.format())
	c.header.Set(e.dialect.Deadline, formatLeft(c.deadline, time.Now()))
	q := c.exchange(e.dialect.Request)
	q.ConnectTimeout = connectTimeout(time.Until(c.deadline))
	// While the node stops, calls in flight wait for their targets.
	q.NoReadTimeout = e.stopping.Load()
	r, err := e.peers.Do(ctx, p.PeerAddress, q)
	if err != nil {
		e.recordOutage(p, err)
		return nil, classify(ctx, err, "node "+p.Node)
	}
	t, ok := parseReport(r.Header.Get(HopHeader))
	if !ok {
		_ = r.Body.Close()
		return nil, classifier.Error(classifier.Interrupted, classifier.MayHaveRun, "node %s answered without %s", p.Node, HopHeader)
	}
	if t.load != (gatekeeper.Load{}) {
		e.learn(c, p, t)
	}
	a, err := bufferAnswer(r, c.method)
	if t.refused {
		if a != nil {
			t.message = string(a.held)
			a.discard()
		}
		return nil, refusalError(t, p)
	}
	if err != nil {
		return nil, classify(ctx, err, "answer of node "+p.Node)
	}
	stripHopByHop(a.header)
	e.dialect.stripReserved(a.header)
	a.calleeOverloaded, a.refusedBy = t.calleeOverloaded, t.refusedBy
	return a, nil
}

// learn passes what the gate of p reports to the decisions that use it.
func (e *Entry) learn(c call, p gossiper.Endpoint, t report) {
	now := time.Now()
	e.balancer.Learn(p.Address, c.class, t.load, now)
	if c.job != nil {
		e.observeReport(c.job, p.Service, t)
		return
	}
	e.arbiter.Learn(c.kind, t.callees, now)
}

// refusalError converts a refusal by another node's gate to an error.
func refusalError(t report, p gossiper.Endpoint) error {
	m := t.message
	if m == "" || len(m) > maxRefusalMessageBytes {
		m = string(t.reason)
	}
	k := errorTypeOf(t.reason)
	if t.linkBusy {
		k = errLinkBusy
	}
	err := classifier.Error(k, t.verdict, "target %s of node %s: %s", p.Address, p.Node, m)
	if t.wait > 0 {
		err = classifier.WithWait(err, t.wait)
	}
	return err
}

func outcomeOf(ctx context.Context, a *answer, err error) balancer.Outcome {
	switch {
	case err == nil && a.status < http.StatusInternalServerError:
		return balancer.Answered
	case err == nil, classifier.Is(err, errRejected):
		return balancer.Failed
	case classifier.Is(err, errQuarantined):
		return balancer.Answered
	case classifier.Is(err, classifier.Overloaded):
		return balancer.Shed
	case classifier.Is(err, errUnreachable) && ctx.Err() == nil:
		return balancer.Unreachable
	case ctx.Err() != nil, classifier.Is(err, classifier.TimedOut), classifier.Is(err, errOverdue), classifier.Is(err, errIncomplete):
		return balancer.Cancelled
	case classifier.Is(err, classifier.Unavailable), classifier.Is(err, classifier.NotFound):
		return balancer.Departed
	}
	return balancer.Failed
}
