package forwarder

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/arbiter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// call is one attempt of a request, addressed to one target.
type call struct {
	hop

	method   string
	host     string
	uri      string
	header   http.Header
	body     *body
	request  string
	deadline time.Time
	// mark is the time at which deadline was set.
	mark sleeper.Timestamp
	// begun is the time of the attempt at the entry.
	begun time.Time
	// kind is only set at the entry; nodes do not send it to each other.
	kind arbiter.Kind
	// job is the request of the call. It is only set at the entry, where loads are shared.
	job *job
}

// unexpired returns an error if the deadline has passed. It does not rely on timers:
// after a pause of the process they may not have fired yet, and after a suspension
// of the VM they fire late.
func (c call) unexpired() error {
	now := time.Now()
	if now.Before(c.deadline) && now.Add(c.mark.Suspended()).Before(c.deadline) {
		return nil
	}
	return classifier.Error(classifier.TimedOut, classifier.NotRun, "the deadline passed before the call was handed over")
}

// ticket returns the ticket with which c enters the target's gate.
func (c call) ticket() gatekeeper.Ticket {
	t := gatekeeper.Ticket{
		Class:     c.class,
		Nested:    c.nested,
		Priority:  c.priority,
		Deadline:  c.deadline,
		Immediate: c.immediate,
		Returning: c.returning,
	}
	if c.objective > 0 {
		t.Objective = time.Now().Add(c.objective)
	}
	return t
}

// answerDeadline returns the time by which the whole answer must have been written, or zero if
// there is no limit.
func (c call) answerDeadline() time.Time {
	if c.bounded {
		return c.deadline
	}
	return time.Time{}
}

// exchange returns a request to send for c, with a reader of its own for the body. The
// answer has to repeat the request's
// identifier in idHeader, unless idHeader is empty.
func (c call) exchange(idHeader string) *exchanger.Request {
	return &exchanger.Request{
		Method:     c.method,
		URI:        c.uri,
		Host:       c.host,
		Header:     c.header,
		Body:       c.body.reader(),
		Length:     c.body.size(),
		IDHeader:   idHeader,
		ID:         c.request,
		Repeatable: c.repeatable,
	}
}

// limitUntilAnswer returns a context that ends at deadline unless the cutoff is lifted, and a
// function that ends it.
func limitUntilAnswer(ctx context.Context, deadline time.Time) (context.Context, *cutoff, context.CancelFunc) {
	ctx, l, cancel := cutOff(ctx, time.Until(deadline), context.DeadlineExceeded)
	return ctx, l, func() {
		l.lift()
		cancel(context.Canceled)
	}
}

// classify gives the error of a failed exchange with who a type and a verdict.
func classify(ctx context.Context, err error, who string) error {
	v := classifier.MayHaveRun
	var x *exchanger.Error
	if errors.As(err, &x) && !x.Sent {
		v = classifier.NotRun
	}
	switch {
	case x != nil && x.Cause == exchanger.Incomplete:
		return classifyIncomplete(x, v, who)
	case classifier.Is(context.Cause(ctx), errNotBegun):
		return classifier.Wrap(err, errNotBegun, classifier.NotRun, "%s: not begun before the deadline", who)
	case classifier.Is(context.Cause(ctx), errOverdue):
		return classifier.Wrap(err, errOverdue, v, "%s: the answer is overdue", who)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return classifier.Wrap(err, classifier.TimedOut, v, "%s: no answer before the deadline", who)
	case x != nil && x.Cause == exchanger.Unreachable:
		return classifier.Wrap(err, errUnreachable, classifier.NotRun, "%s", who)
	}
	return classifier.Wrap(err, classifier.Interrupted, v, "%s", who)
}

var (
	// errUnreachable reports that no connection could be opened.
	errUnreachable = classifier.Unavailable.NewSubtype("unreachable")
	// errIncomplete reports that the rest of a body could not be read while it was passed
	// on, which is no failure of a target. errTooLarge reports that it exceeded the limit.
	errIncomplete = classifier.Interrupted.NewSubtype("incomplete")
	errTooLarge   = errIncomplete.NewSubtype("too_large")
)

// classifyIncomplete gives the error of an exchange whose body could not be read a type.
func classifyIncomplete(x *exchanger.Error, v classifier.Verdict, who string) error {
	var m *http.MaxBytesError
	switch {
	case errors.As(x, &m):
		return classifier.Wrap(x, errTooLarge, v, "%s: the body has more than %d bytes", who, m.Limit)
	case errors.Is(x, os.ErrDeadlineExceeded):
		return classifier.Wrap(x, classifier.TimedOut, v, "%s: the body did not arrive before the deadline", who)
	}
	return classifier.Wrap(x, errIncomplete, v, "%s: the body could not be read", who)
}
