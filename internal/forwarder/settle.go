package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

const (
	// settleTimeout covers a new connection and a few round trips to the gate of an
	// attempt whose connection was lost.
	settleTimeout = 400 * time.Millisecond
	// maxSettleLead covers a round trip between busy nodes; one took over 40 ms on a loaded
	// machine. An attempt that has not begun so shortly before its deadline is given up, so
	// that its caller learns in time that it has not run. settleLeadDivisor limits the lead
	// of attempts with little time to a fraction of it.
	maxSettleLead     = 50 * time.Millisecond
	settleLeadDivisor = 8
)

// errNotBegun reports that a gate had not sent an attempt to its target shortly before
// the deadline, and will not send it any more.
var errNotBegun = classifier.TimedOut.NewSubtype("not_begun")

// uncertainAttempt is an attempt that may have run as far as the entry knows.
type uncertainAttempt struct {
	call     call
	endpoint gossiper.Endpoint
	// sent means that its gate is known to have sent it to the target.
	sent bool
}

// recordUncertain records that attempt c failed with err. remote means that its gate is
// on another node.
func (j *job) recordUncertain(c call, p gossiper.Endpoint, err error, remote bool) {
	if classifier.VerdictOf(err) == classifier.NotRun {
		return
	}
	// A failure that a gate reports comes from its target. A caller whose body cannot be read
	// to its end gets its answer at once, without a question to the gate.
	s := !remote || !failedExchange(err) || classifier.Is(err, errIncomplete)
	j.uncertain = append(j.uncertain, uncertainAttempt{call: c, endpoint: p, sent: s})
}

// failedExchange reports whether err is due to a failed exchange with another node.
// errors.As does not see the cause of an error that classifier.Wrap has given a type.
func failedExchange(err error) bool {
	for err != nil {
		var x *exchanger.Error
		if errors.As(err, &x) {
			return true
		}
		k := errorx.Cast(err)
		if k == nil {
			return false
		}
		err = k.Cause()
	}
	return false
}

// settleUncertain withdraws the verdict that a failed request may have run if none of
// its attempts has reached a target, nor will any.
func (e *Entry) settleUncertain(j *job) {
	if !j.mayHaveRun || len(j.uncertain) == 0 || j.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithDeadline(j.ctx, j.deadline)
	defer cancel()
	for _, u := range j.uncertain {
		if u.sent || !e.settle(ctx, u.call, u.endpoint) {
			return
		}
	}
	j.mayHaveRun = false
	j.failure = classifier.Wrap(j.failure, errUnreachable, classifier.NotRun, "no gate had begun the call")
}

// settleBeforeDeadline returns a context that ends shortly before the deadline of c if
// the gate of p has not sent c to its target by then.
func (e *Entry) settleBeforeDeadline(ctx context.Context, c call, p gossiper.Endpoint) (context.Context, func()) {
	if c.attempt == "" {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	left := time.Until(c.deadline)
	t := time.AfterFunc(left-min(maxSettleLead, left/settleLeadDivisor), func() {
		if e.settle(ctx, c, p) {
			cancel(errNotBegun.New("not begun before the deadline"))
		}
	})
	return ctx, func() { t.Stop() }
}

// settle asks the gate of a call whether the call may have run. It reports true if it
// has not run and the gate will not run it later.
func (e *Entry) settle(ctx context.Context, c call, p gossiper.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	q := call{
		hop:     hop{purpose: toSettle, attempt: c.attempt, repeatable: true},
		method:  http.MethodPost,
		uri:     "/",
		host:    c.host,
		request: c.request,
		header:  http.Header{e.dialect.Request: {c.request}},
	}
	if c.repeatable {
		q.purpose = toCancel
	}
	if !c.begun.IsZero() {
		q.age = time.Since(c.begun) + c.mark.Suspended()
	}
	q.header.Set(HopHeader, q.format())
	r, err := e.peers.Do(ctx, p.PeerAddress, q.exchange(e.dialect.Request))
	if err != nil {
		klog.InfoS("Attempt could not be settled", "request", c.request, "node", p.Node, "cause", err)
		return false
	}
	defer func() { _ = r.Body.Close() }()
	t, ok := parseReport(r.Header.Get(HopHeader))
	_, _ = bufferAnswer(r, q.method)
	return ok && t.refused && t.verdict == classifier.NotRun && t.reason == Broken
}
