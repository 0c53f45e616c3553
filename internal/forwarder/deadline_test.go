package forwarder

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// TestPausedProcessesDoNotUseAnOldDeadline sends calls whose deadline passed while the
// process or its VM was suspended, before the timers of the deadline have fired. They
// must not reach a target, and the answer must say that they have not run.
func TestPausedProcessesDoNotUseAnOldDeadline(t *testing.T) {
	now := time.Now()
	total := sleeper.UpdateSuspension()
	tests := []struct {
		name     string
		deadline time.Time
		mark     sleeper.Timestamp
		runs     int32
	}{
		{"in time", now.Add(time.Minute), sleeper.TimestampOf(now, now, total), 1},
		{"the process was paused", now.Add(-time.Second), sleeper.TimestampOf(now, now, total), 0},
		{"the VM was suspended", now.Add(5 * time.Second), sleeper.TimestampOf(now, now.Add(-10*time.Second), total-10*time.Second), 0},
		{"the time of day jumped", now.Add(5 * time.Second), sleeper.TimestampOf(now, now.Add(-time.Hour), total), 1},
	}
	for _, c := range tests {
		for _, remote := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				var runs atomic.Int32
				s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
				defer s.Close()
				a := s.Listener.Addr().String()
				e, _ := newEntry(t, a, testLimits)
				p := gossiper.Endpoint{Node: "n", PeerAddress: "127.0.0.1:1"}
				if remote {
					h := httptest.NewServer(e.gate)
					defer h.Close()
					p = gossiper.Endpoint{Node: "other", PeerAddress: h.Listener.Addr().String()}
					e.peers = connector.NewPeers(&meter.Traffic{}, "")
				}
				k := newCall(a, http.MethodPost, "x", false)
				k.deadline, k.mark = c.deadline, c.mark
				_, err := e.send(t.Context(), k, p)
				if runs.Load() != c.runs || (c.runs == 0 && (classifier.VerdictOf(err) != classifier.NotRun || !classifier.Is(err, classifier.TimedOut))) {
					t.Errorf("%d runs, %v", runs.Load(), err)
				}
			})
		}
	}
}
