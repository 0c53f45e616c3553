package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
)

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
	if err := checkAnswer(r, c, p); err != nil {
		_ = r.Body.Close()
		return nil, err
	}
	return r, nil
}

// checkAnswer returns the refusal that another node answered with, or an error
// if the answer is to another request.
func checkAnswer(r *http.Response, c call, p gossiper.Endpoint) error {
	if id := r.Header.Get(RequestHeader); id != c.request {
		return judge.Error(judge.Interrupted, judge.MayHaveRun, "node %s answered request %q instead", p.Node, id)
	}
	if r.Header.Get(gateVerdictHeader) != "" {
		return gateError(r, p)
	}
	return nil
}

// gateError turns the refusal of another node's gate into an error.
func gateError(r *http.Response, p gossiper.Endpoint) error {
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
