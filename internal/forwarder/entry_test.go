package forwarder

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// singleNodeMesh is a mesh of one node, named "n", with one target of service "s".
type singleNodeMesh struct{ view *gossiper.View }

func (m singleNodeMesh) View() *gossiper.View       { return m.view }
func (m singleNodeMesh) HomeSince(string) time.Time { return time.Time{} }

// viewOf returns the view of a mesh of one node with a target.
func viewOf(target string, l router.Limits) func() *gossiper.View {
	m := gossiper.Member{Node: "n", PeerAddress: "127.0.0.1:1", Targets: []gossiper.Target{{Service: "s", Address: target, Slots: l.Slots}}}
	v := gossiper.NewView([]gossiper.Member{m})
	return func() *gossiper.View { return v }
}

// newEntry returns an entry that sends all requests to one target beside its node, and
// the target's gate.
func newEntry(t testing.TB, target string, l router.Limits) (*Entry, *gatekeeper.Gate) {
	t.Helper()
	var r registrar.Registrar
	r.Announce(registrar.Announcement{Service: "s", Address: target, Instance: "i"}, l, time.Now())
	var h holder.Holder
	p := holder.NewProfile(encoder.HashProfile(router.Profile{
		Name: "p",
		Services: []router.Service{{
			Name: "s", Timeout: 2 * time.Second, Limits: l,
			Retry: router.RetryPolicy{MaxAttempts: 3, BudgetPercent: 20},
		}},
		Routes: []router.Route{
			{Name: "r", PathPrefix: "/", Priority: 1, Destinations: []router.Destination{{Service: "s", Weight: 1}}},
			{Name: "t", PathPrefix: "/less-urgent/", Priority: 2, Destinations: []router.Destination{{Service: "s", Weight: 1}}},
		},
	}))
	s := accepter.State{Generation: 1}.WithEntries([]accepter.Entry{{Profile: "p", Version: 1, Digest: p.Digest}})
	if o, err := h.Offer(s, []*holder.Profile{p}); o != holder.Applied {
		t.Fatalf("offering the configuration returned %s: %v", o, err)
	}
	var c meter.Traffic
	e := NewEntry(Dependencies{
		Holder:     &h,
		Mesh:       singleNodeMesh{viewOf(target, l)()},
		Gate:       NewGate(&r, noCrashes{}, DefaultDialect, &c),
		Peers:      connector.NewPeers(&c, ""),
		Stats:      &Stats{},
		RequestLog: logger.NewLines(),
	}, DefaultDialect, Identity{Node: "n", Profile: "p", Service: "s"})
	g, ok := r.Find("s", target)
	if !ok {
		t.Fatal("the target is not registered")
	}
	return e, g.Gate
}

// occupy waits for the only slot of a gate, holds it for d, and sets the length of the
// queue to 0.
func occupy(t *testing.T, g *gatekeeper.Gate, l router.Limits, d time.Duration) {
	t.Helper()
	go func() {
		p, err := g.Enter(t.Context(), gatekeeper.Ticket{Nested: true, Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			t.Error(err)
			return
		}
		time.Sleep(d)
		p.Leave(gatekeeper.Abandoned)
	}()
	for g.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.Queue = 0
	g.Limit(l)
}

// TestGrantedRetryIsOfferedUntilItsDeadline breaks the connection of the first attempt
// while a more urgent request waits for the only slot. A request that may have run and
// whose retry was granted must wait for a slot. One that must not be repeated fails.
func TestGrantedRetryIsOfferedUntilItsDeadline(t *testing.T) {
	tests := []struct {
		name, method string
		status, runs int
	}{
		{"repeatable", http.MethodGet, http.StatusOK, 2},
		{"at most once", http.MethodPost, http.StatusBadGateway, 1},
	}
	limits := router.Limits{Slots: 1, Connections: 4, Queue: 1, MaxBodyBytes: 1 << 10}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			var gate *gatekeeper.Gate
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if runs.Add(1) > 1 {
					return
				}
				occupy(t, gate, limits, 200*time.Millisecond)
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			var e *Entry
			e, gate = newEntry(t, s.Listener.Addr().String(), limits)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), c.method, "/x", nil))
			if w.Code != c.status || int(runs.Load()) != c.runs {
				t.Errorf("status %d after %d runs, expected %d after %d: %s", w.Code, runs.Load(), c.status, c.runs, w.Body)
			}
		})
	}
}

// TestThrottledRequestsDoNotCountAsRefused sends urgent requests while the only target is
// full for a moment. Only the first is refused by the gate, and the entry throttles the
// others. This must not make the entry refuse less urgent requests afterwards.
func TestThrottledRequestsDoNotCountAsRefused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
	}))
	defer s.Close()
	limits := router.Limits{Slots: 1, Connections: 4, Queue: 1, MaxBodyBytes: 1 << 10}
	e, gate := newEntry(t, s.Listener.Addr().String(), limits)
	request := func(path string) int {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
		return w.Code
	}
	if c := request("/urgent"); c != http.StatusOK {
		t.Fatalf("status %d", c)
	}
	p, err := gate.Enter(t.Context(), gatekeeper.Ticket{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	closed := limits
	closed.Queue = 0
	gate.Limit(closed)
	for range 8 {
		if c := request("/urgent"); c != http.StatusServiceUnavailable {
			t.Fatalf("status %d from a full target", c)
		}
	}
	p.Leave(gatekeeper.Abandoned)
	gate.Limit(limits)
	for i := range 20 {
		if c := request("/less-urgent/x"); c != http.StatusOK {
			t.Fatalf("less urgent request %d got status %d", i, c)
		}
	}
}

// TestGrantedRetryFailsImmediatelyWithoutTargets breaks the connection of the first
// attempt after the only target has begun to drain. The caller must not have to wait
// until its deadline, since no target can become available.
func TestGrantedRetryFailsImmediatelyWithoutTargets(t *testing.T) {
	var gate *gatekeeper.Gate
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		gate.Drain()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	var e *Entry
	e, gate = newEntry(t, s.Listener.Addr().String(), router.Limits{Slots: 1, Connections: 4, Queue: 1, MaxBodyBytes: 1 << 10})
	w := httptest.NewRecorder()
	begun := time.Now()
	e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil))
	if d := time.Since(begun); w.Code != http.StatusBadGateway || d > time.Second {
		t.Errorf("status %d after %s, expected %d immediately: %s", w.Code, d, http.StatusBadGateway, w.Body)
	}
}
