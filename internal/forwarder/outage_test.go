package forwarder

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// TestUnreachableNodesAreTriedWhenOtherTargetsDrain covers the seconds after a
// partition has healed: the only target on a reachable node drains, and the node of the
// other target is still recorded as unreachable.
func TestUnreachableNodesAreTriedWhenOtherTargetsDrain(t *testing.T) {
	tests := []struct {
		name   string
		refuse func(g *gatekeeper.Gate)
		status int
		runs   int32
	}{
		{"left", func(g *gatekeeper.Gate) { g.Drain() }, http.StatusOK, 1},
		{"full", func(g *gatekeeper.Gate) { g.Limit(router.Limits{}) }, http.StatusServiceUnavailable, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			defer s.Close()
			far := s.Listener.Addr().String()
			var r registrar.Registrar
			r.Announce(registrar.Announcement{Service: "s", Address: far, Instance: "j"}, testLimits, time.Now())
			p := httptest.NewServer(NewGate(&r, noCrashes{}, DefaultDialect, &meter.Traffic{}))
			defer p.Close()
			const near = "127.0.0.1:1"
			e, gate := newEntry(t, near, testLimits)
			v := gossiper.NewView([]gossiper.Member{
				{Node: "n", PeerAddress: "127.0.0.1:1", Targets: []gossiper.Target{{Service: "s", Address: near, Slots: 4}}},
				{Node: "other", PeerAddress: p.Listener.Addr().String(), Targets: []gossiper.Target{{Service: "s", Address: far, Slots: 4}}},
			})
			e.view = func() *gossiper.View { return v }
			e.outages.add(p.Listener.Addr().String(), time.Now())
			c.refuse(gate)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil))
			if w.Code != c.status || runs.Load() != c.runs {
				t.Errorf("status %d after %d runs, expected %d after %d: %s", w.Code, runs.Load(), c.status, c.runs, w.Body)
			}
		})
	}
}
