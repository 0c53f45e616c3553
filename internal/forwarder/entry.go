package forwarder

import (
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/deduplicator"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/retrier"
)

const (
	logPrefix       = "forwarder: "
	requestIDBytes  = 8
	maxRequestID    = 64
	maxCallDeadline = time.Hour
)

// Entry takes requests from callers and brings back whole answers.
type Entry struct {
	holder    *holder.Holder
	view      func() *gossiper.View
	gate      *Gate
	transport http.RoundTripper
	balancer  balancer.Balancer
	budget    retrier.Budget
	keys      deduplicator.Table[*answer]
	trusted   func(service string) time.Time
	stats     *Stats

	node       string
	dataCenter string
	profile    atomic.Pointer[string]
	draining   atomic.Bool
}

// Where names the node that an entry belongs to and its profile.
type Where struct {
	Node       string
	DataCenter string
	Profile    string
}

// Mesh is what an entry knows of the other nodes.
type Mesh interface {
	// View returns the mesh as it is known now.
	View() *gossiper.View
	// Trusted returns since when the others have taken this node for a home of
	// a service's keys.
	Trusted(service string) time.Time
}

// NewEntry returns an entry that reaches other nodes through t.
func NewEntry(h *holder.Holder, m Mesh, g *Gate, t http.RoundTripper, s *Stats, w Where) *Entry {
	e := &Entry{
		holder:     h,
		view:       m.View,
		trusted:    m.Trusted,
		gate:       g,
		transport:  t,
		stats:      s,
		node:       w.Node,
		dataCenter: w.DataCenter,
	}
	e.profile.Store(&w.Profile)
	return e
}

// UseProfile changes the profile that routes requests.
func (e *Entry) UseProfile(name string) {
	e.profile.Store(&name)
}

// Profile returns the name of the profile that routes requests.
func (e *Entry) Profile() string {
	return *e.profile.Load()
}

// Drain makes the entry refuse new requests.
func (e *Entry) Drain() {
	e.draining.Store(true)
}

// Ejected returns how many targets are left alone for their failures.
func (e *Entry) Ejected() int {
	return e.balancer.Ejected(time.Now())
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stats.Requests.Add(1)
	j := newJob(r)
	w.Header().Set(RequestHeader, j.id)
	if f, ok := e.prepare(w, j); !ok {
		e.refuse(w, j, f)
		return
	}
	w.Header().Set(ProfileHeader, j.profile.Name+"@"+j.profile.Digest.Short())
	a, err := e.runKeyed(j)
	if err != nil {
		e.refuse(w, j, refusalOf(err))
		return
	}
	if err := a.write(w); err != nil {
		e.stats.Cut.Add(1)
		klog.Warningf(logPrefix+"Request %s: The answer was cut short: %v", j.id, err)
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) refuse(w http.ResponseWriter, j *job, f Refusal) {
	f.Request = j.id
	if f.Reason == Draining {
		w.Header().Set("Connection", "close")
	}
	e.stats.refused(f.Verdict)
	klog.V(1).Infof(logPrefix+"Request %s: Refused, %s, %s: %s", j.id, f.Reason, f.Verdict, f.Message)
	f.write(w)
}

// Draining reports whether new requests are refused.
func (e *Entry) Draining() bool {
	return e.draining.Load()
}
