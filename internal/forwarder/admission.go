package forwarder

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/admitter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/pacer"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
)

// admission holds the admitter of an entry and counts its decisions. Its zero value is
// ready to use.
type admission struct {
	admitter admitter.Admitter
	rejected atomic.Uint64
	// loggedAt is when a decision was last logged, in Unix nanoseconds.
	loggedAt atomic.Int64
}

// admissionLogInterval limits the log lines about rejections of an entry.
const admissionLogInterval = time.Second

// ShareLoads sets whether loads are shared between nodes. If they are, the admitter
// decides on requests instead of the arbiter and the throttler.
func (e *Entry) ShareLoads(on bool) {
	e.gate.sharing.Store(on)
}

// sharesLoads reports whether loads are shared between nodes.
func (e *Entry) sharesLoads() bool {
	return e.gate.sharing.Load()
}

// Shed returns the number of requests that the admitter rejected.
func (e *Entry) Shed() uint64 {
	return e.admission.rejected.Load()
}

// serveAdmitted runs a request unless a resource that it needs is short and others lose
// more by being rejected.
func (e *Entry) serveAdmitted(j *job) (*answer, error) {
	q := j.admission(j.arrived)
	d := e.admission.admitter.Decide(q, rand.Float64(), j.arrived)
	if !d.Admitted {
		j.retryAfter = d.RetryAfter
		e.admission.note(j, d)
		return nil, classifier.Error(classifier.Overloaded, classifier.NotRun, "%s is short, and route %q gives way", d.Resource, j.route.Name)
	}
	a, err := e.runKeyed(j)
	refused := classifier.Is(err, classifier.Overloaded) && !classifier.Is(err, errRejected)
	e.pressure.note(refused)
	now := time.Now()
	switch {
	case j.nested && classifier.Is(err, classifier.Overloaded):
		e.gate.inFlight.markCalleeOverloaded(j.id)
		if refused {
			e.gate.inFlight.markRefusedBy(j.id, j.service.Name)
		}
	case !j.nested && refused:
		j.retryAfter = e.admission.admitter.Postpone(j.admission(now), j.result(a, err).RefusedBy, rand.Float64(), now)
	}
	e.admission.admitter.Record(q, j.result(a, err), now)
	return a, err
}

// admission returns the description of the request for the admitter.
func (j *job) admission(now time.Time) admitter.Request {
	return admitter.Request{
		Claim: admitter.Claim{
			Objective:   j.route.Objective - j.triedBefore - now.Sub(j.arrived),
			NoObjective: j.route.Objective <= 0,
			Left:        j.deadline.Sub(now),
			Returning:   j.triedBefore > 0,
		},
		Route:     j.kind().Name,
		Service:   j.service.Name,
		Workspace: j.workspaceName(),
		Rank:      j.rank(),
		Nested:    j.nested,
	}
}

// result returns how an admitted request ended.
func (j *job) result(a *answer, err error) admitter.Result {
	r := admitter.Result{Work: j.usualWork, Callees: j.callees}
	switch {
	case err == nil:
		r.Bytes = max(a.length, 0)
		r.RefusedBy = a.refusedBy
		r.Failed = a.calleeOverloaded
	case classifier.Is(err, errLinkBusy):
		r.RefusedBy = admitter.LinkOf(j.service.Name)
	case classifier.Is(err, classifier.Overloaded) && !classifier.Is(err, errRejected):
		r.RefusedBy = j.service.Name
	}
	return r
}

// chance tells whether a failed request counts as one that nobody else retries. Where loads
// are shared only nested calls do, so that repeats are spent on them first while a service
// rejects much: one saves the work of its parent.
func (e *Entry) chance(j *job) retrier.Chance {
	if e.sharesLoads() && !j.nested {
		return retrier.CallerRetries
	}
	return j.chance()
}

// observeReport passes what a gate reports with its response to the admitter.
func (e *Entry) observeReport(j *job, service string, t report) {
	e.admission.admitter.Observe(service, t.load.Running+t.load.Waiting, t.load.Slots, time.Now())
	if t.load.Duration > 0 {
		j.usualWork = t.load.Duration
	}
	j.callees = t.callees
}

func (a *admission) note(j *job, d admitter.Decision) {
	a.rejected.Add(1)
	now := time.Now().UnixNano()
	if l := a.loggedAt.Load(); now-l > int64(admissionLogInterval) && a.loggedAt.CompareAndSwap(l, now) {
		klog.InfoS("Requests give way to others", "resource", d.Resource, "request", j.id, "route", j.route.Name,
			"retryAfter", d.RetryAfter.Round(time.Millisecond), "rejected", a.rejected.Load())
	}
}

// reserve reserves the link for the answer to c.
func (g *Gate) reserve(c call) (*pacer.Reservation, error) {
	work := g.load(c).Duration
	if !g.sharing.Load() {
		return g.uplink.Reserve(c.class, c.objective, work)
	}
	r, err := g.uplink.ReserveWithin(c.class, c.objective, time.Until(c.deadline), work)
	if err != nil {
		w, _ := classifier.WaitOf(err)
		return nil, classifier.WithWait(classifier.Error(errLinkBusy, classifier.VerdictOf(err), "%s", messageOf(err)), w)
	}
	return r, nil
}
