package forwarder

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/arbiter"
	"github.com/dragonflydoor/dragonflydoor/internal/authenticator"
	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/deduplicator"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
	"github.com/dragonflydoor/dragonflydoor/internal/postponer"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/stager"
	"github.com/dragonflydoor/dragonflydoor/internal/throttler"
)

const (
	requestIDBytes  = 8
	maxRequestID    = 64
	maxCallDeadline = time.Hour
)

// Entry receives requests from callers, forwards them to targets and returns the
// answers.
type Entry struct {
	holder       *holder.Holder
	view         func() *gossiper.View
	gate         *Gate
	peers        *exchanger.Client
	balancer     balancer.Balancer
	budget       retrier.Budget
	spreader     router.WeightedBalancer
	keys         deduplicator.Table[*answer]
	trustedSince func(service string) time.Time
	stats        *Stats
	lines        *logger.Lines
	// caps is nil if workspaces have no caps.
	caps    Caps
	dialect Dialect

	node           string
	dataCenter     string
	profile        atomic.Pointer[string]
	service        atomic.Pointer[string]
	pressure       pressure
	callerTimeouts callerTimeouts
	outages        outages
	arbiter        arbiter.Arbiter
	stager         *stager.Stager
	throttler      throttler.Throttler
	credentials    credentials
	admission      admission
	// stopping closes callers' connections after each answer, and refusing rejects
	// new requests.
	stopping atomic.Bool
	refusing atomic.Bool
}

// Identity identifies the node of an entry, and its profile and service.
type Identity struct {
	Node       string
	DataCenter string
	Profile    string
	// Service is the service whose targets run beside the node.
	Service string
}

// Mesh gives an entry access to the membership of the mesh.
type Mesh interface {
	// View returns the current view of the members and their targets.
	View() *gossiper.View
	// HomeSince returns the time since which the other nodes have accepted this node
	// as a home of the service's idempotency keys.
	HomeSince(service string) time.Time
}

// Dependencies are the dependencies of an entry.
type Dependencies struct {
	Holder *holder.Holder
	Mesh   Mesh
	Gate   *Gate
	// Peers is the client for calls to other nodes.
	Peers *exchanger.Client
	Stats *Stats
	// Caps limits the requests of workspaces; nil for no limit.
	Caps       Caps
	RequestLog *logger.Lines
	// Currency tells how current the configuration is, and Revocation how current it has
	// to be for a request with a key. Without a Currency it always is.
	Currency   Currency
	Revocation authenticator.Revocation
	// RetryPercent and RetrySlack limit the retries of all nodes together.
	RetryPercent int
	RetrySlack   float64
	// Stager chooses between versions of targets; nil means that all are used.
	Stager *stager.Stager
}

// NewEntry returns an entry that uses the dependencies p.
func NewEntry(p Dependencies, d Dialect, w Identity) *Entry {
	e := &Entry{
		holder:       p.Holder,
		view:         p.Mesh.View,
		trustedSince: p.Mesh.HomeSince,
		gate:         p.Gate,
		peers:        p.Peers,
		stats:        p.Stats,
		lines:        p.RequestLog,
		budget:       retrier.Budget{Percent: p.RetryPercent, Slack: p.RetrySlack},
		credentials:  credentials{currency: p.Currency, revocation: p.Revocation},
		caps:         p.Caps,
		stager:       p.Stager,
		dialect:      d,
		node:         w.Node,
		dataCenter:   w.DataCenter,
	}
	e.SetLocalService(w.Service)
	e.profile.Store(&w.Profile)
	return e
}

// nodes returns the number of nodes that share the retry budget.
func (e *Entry) nodes() int {
	return e.view().Usable()
}

// SetLocalService sets the service whose targets run beside the node.
func (e *Entry) SetLocalService(service string) {
	e.service.Store(&service)
}

// SetProfile sets the profile that routes requests.
func (e *Entry) SetProfile(name string) {
	e.profile.Store(&name)
}

// Profile returns the name of the profile that routes requests.
func (e *Entry) Profile() string {
	return *e.profile.Load()
}

// Stop makes the entry close callers' connections after each answer, so that callers
// connect to another node.
func (e *Entry) Stop() {
	e.stopping.Store(true)
}

// Refuse makes the entry reject new requests and close callers' connections.
func (e *Entry) Refuse() {
	e.stopping.Store(true)
	e.refusing.Store(true)
}

// Draining reports whether Stop or Refuse was called.
func (e *Entry) Draining() bool {
	return e.stopping.Load()
}

// Ejected returns the number of targets that get no requests because of failures.
func (e *Entry) Ejected() int {
	return e.balancer.Ejected(time.Now())
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stats.Requests.Add(1)
	j := e.newJob(r)
	w.Header().Set(e.dialect.Request, j.id)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if f, ok := e.prepare(w, j); !ok {
		e.refuse(w, j, f)
		return
	}
	if e.dialect.Profile != "" {
		w.Header().Set(e.dialect.Profile, j.profile.Name+"@"+j.profile.Digest.Short())
	}
	a, err := e.serveWithinCap(j)
	if err != nil {
		e.refuse(w, j, refusalOf(err))
		return
	}
	e.stats.observe(time.Since(j.arrived))
	e.lines.Info("Request answered", "request", j.id, "route", j.route.Name, "target", j.target, "status", a.status,
		"sends", j.sends, "took", time.Since(j.arrived).Round(time.Microsecond), "generation", e.holder.Current().Generation())
	if err := a.write(w, j.answerDeadline()); err != nil {
		e.stats.AnswersCut.Add(1)
		klog.InfoS("Answer was cut short", "request", j.id, "target", j.target, "cause", err)
		panic(http.ErrAbortHandler)
	}
}

// serve runs a request unless requests of a higher priority were refused for load by
// its services, or its service has just refused a request of the same kind.
func (e *Entry) serve(j *job) (*answer, error) {
	if e.sharesLoads() {
		return e.serveAdmitted(j)
	}
	k := j.kind()
	throttleKind := throttler.Kind{Service: j.service.Name, Class: k.Name, Returning: j.triedBefore > 0}
	if !j.nested {
		if s, ok := e.arbiter.Allow(k, j.arrived); !ok {
			e.arbiter.Note(k, s, j.arrived)
			return nil, classifier.Error(classifier.Overloaded, classifier.NotRun, "service %q refuses requests that are more urgent than those of route %q", s, j.route.Name)
		}
		// A throttled request is not reported to the arbiter, since no service has
		// refused it.
		if w, ok := e.throttler.Allow(throttleKind, j.arrived); !ok {
			return nil, classifier.WithWait(classifier.Error(classifier.Overloaded, classifier.NotRun, "service %q has just refused a request of route %q", j.service.Name, j.route.Name), w)
		}
	}
	a, err := e.runKeyed(j)
	refused := classifier.Is(err, classifier.Overloaded) && !classifier.Is(err, errRejected)
	e.pressure.note(refused)
	switch {
	case j.nested:
		if classifier.Is(err, classifier.Overloaded) {
			e.gate.inFlight.markCalleeOverloaded(j.id)
		}
	case refused:
		e.arbiter.Note(k, j.service.Name, time.Now())
		w, _ := classifier.WaitOf(err)
		e.throttler.Refuse(throttleKind, w, time.Now())
	default:
		e.arbiter.Note(k, "", time.Now())
	}
	return a, err
}

func (e *Entry) refuse(w http.ResponseWriter, j *job, f Refusal) {
	f.Request = j.id
	if f.closesConnection() {
		w.Header().Set("Connection", "close")
	}
	e.stats.refused(f, time.Since(j.arrived), j.route.Objective)
	switch {
	case f.Reason == OverCap:
		f.RetryAfter = f.Wait
	case f.Status() != http.StatusServiceUnavailable:
	case j.retryAfter > 0:
		f.RetryAfter = j.retryAfter
	case f.Reason == Rejected:
		f.RetryAfter = postponer.AfterRejection(rand.Float64())
	default:
		f.RetryAfter = postponer.After(f.Wait, j.left(), rand.Float64())
	}
	e.lines.Info("Request refused", "request", j.id, "route", j.route.Name, "target", j.target, "reason", f.Reason,
		"verdict", f.Verdict, "cause", f.Message, "sends", j.sends, "retryAfter", f.RetryAfter.Round(time.Millisecond),
		"took", time.Since(j.arrived).Round(time.Microsecond), "left", j.left().Round(time.Millisecond),
		"wait", f.Wait.Round(time.Millisecond), "gone", j.ctx.Err() != nil, "generation", e.holder.Current().Generation())
	f.write(w, e.dialect)
}
