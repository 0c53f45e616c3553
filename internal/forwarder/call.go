package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/arbiter"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// call is one attempt of a request, addressed to one target.
type call struct {
	hop

	method   string
	host     string
	uri      string
	header   http.Header
	body     io.Reader
	length   int64
	request  string
	deadline time.Time
	// mark is when deadline was set.
	mark sleeper.Mark
	// kind is known at the entry only.
	kind arbiter.Kind
}

// unexpired fails once the deadline has passed, also where the process or its VM
// stood still since the call was made: the timers that watch the deadline may not
// have run yet, and those of a VM that was suspended are late.
func (c call) unexpired() error {
	now := time.Now()
	if now.Before(c.deadline) && now.Add(c.mark.Suspended()).Before(c.deadline) {
		return nil
	}
	return judge.Error(judge.TimedOut, judge.NotRun, "the deadline passed before the call was handed over")
}

// ticket is what the gate of the target is told.
func (c call) ticket() gatekeeper.Ticket {
	t := gatekeeper.Ticket{
		Class:     c.class,
		Nested:    c.nested,
		Priority:  c.priority,
		Deadline:  c.deadline,
		Immediate: c.immediate,
	}
	if c.objective > 0 {
		t.Objective = time.Now().Add(c.objective)
	}
	return t
}

// end is when the whole answer must have been passed on, or zero.
func (c call) end() time.Time {
	if c.bounded {
		return c.deadline
	}
	return time.Time{}
}

// exchange is the request to be sent for c. The answer holds the request's
// identifier in idHeader, unless that is empty.
func (c call) exchange(idHeader string) *exchanger.Request {
	return &exchanger.Request{
		Method:     c.method,
		URI:        c.uri,
		Host:       c.host,
		Header:     c.header,
		Body:       c.body,
		Length:     c.length,
		IDHeader:   idHeader,
		ID:         c.request,
		Repeatable: c.repeatable,
	}
}

// limitUntilAnswer returns a context that ends at deadline unless release is
// called first; cancel ends it at any time.
func limitUntilAnswer(ctx context.Context, deadline time.Time) (context.Context, func(), context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	release := func() { t.Stop() }
	return ctx, release, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// classify gives a failed exchange with who a verdict.
func classify(ctx context.Context, err error, who string) error {
	v := judge.MayHaveRun
	var x *exchanger.Error
	if errors.As(err, &x) && !x.Sent {
		v = judge.NotRun
	}
	switch {
	case judge.Is(context.Cause(ctx), errOverdue):
		return judge.Wrap(err, errOverdue, v, "%s: the answer is overdue", who)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return judge.Wrap(err, judge.TimedOut, v, "%s: no answer before the deadline", who)
	case x != nil && x.Cause == exchanger.Unreachable:
		return judge.Wrap(err, errUnreachable, judge.NotRun, "%s", who)
	}
	return judge.Wrap(err, judge.Interrupted, v, "%s", who)
}

// errUnreachable reports that no connection could be opened.
var errUnreachable = judge.Unavailable.NewSubtype("unreachable")
