package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// TestRefusedCallsAreRepeatedInsteadOfTheirParents has a target that needs a call of
// its own for each request. Where that call is turned away, as when most targets of
// the service that it leads to shed load, the call is repeated, and its parent is not:
// that would run again, and call again, for the same budget of repeats. A failure of
// the target's own is repeated.
func TestRefusedCallsAreRepeatedInsteadOfTheirParents(t *testing.T) {
	const attempts = 3
	tests := []struct {
		name string
		// call is what the target's own call is answered with; it makes none when
		// that is zero.
		call          int
		runs, repeats int32
	}{
		{"a failure of its own", 0, attempts, 0},
		{"its call was refused", http.StatusServiceUnavailable, 1, attempts},
		{"its call failed", http.StatusInternalServerError, attempts, attempts * attempts},
	}
	for _, c := range tests {
		for _, remote := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				var runs, calls atomic.Int32
				var entry atomic.Pointer[string]
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					id := r.Header.Get("X-Id")
					w.Header().Set("X-Id", id)
					w.Header().Set("X-Signed", "y")
					if strings.Contains(id, ".") {
						calls.Add(1)
						if c.call == http.StatusServiceUnavailable {
							w.Header().Set("X-Not-Run", "1")
						}
						w.WriteHeader(c.call)
						return
					}
					runs.Add(1)
					if c.call != 0 {
						callFrom(t, *entry.Load(), id+".1")
					}
					w.WriteHeader(http.StatusInternalServerError)
				}))
				defer s.Close()
				address, beside := calledNodes(t, s.Listener.Addr().String(), remote)
				entry.Store(&beside)
				client := &http.Client{Timeout: 3 * time.Second}
				status, _, err := askAs(t, client, address, "X-Id", "parent")
				if err != nil || status != http.StatusInternalServerError {
					t.Errorf("status %d, %v", status, err)
				}
				if runs.Load() != c.runs || calls.Load() != c.repeats {
					t.Errorf("%d runs and %d calls, expected %d and %d", runs.Load(), calls.Load(), c.runs, c.repeats)
				}
			})
		}
	}
}

// calledNodes returns the callers' addresses of an entry and of the node beside its
// only target, which may be another one.
func calledNodes(t *testing.T, target string, remote bool) (address, beside string) {
	t.Helper()
	near, _ := newEntry(t, target, troubleLimits)
	near.dialect, near.gate.dialect = echoDialect, echoDialect
	beside = serveEntry(t, near)
	if !remote {
		return beside, beside
	}
	p := httptest.NewServer(near.gate)
	t.Cleanup(p.Close)
	far, _ := newEntry(t, target, troubleLimits)
	far.dialect, far.gate.dialect = echoDialect, echoDialect
	m := gossiper.Member{Node: "other", PeerAddress: p.Listener.Addr().String(), Targets: []gossiper.Target{{Service: "s", Address: target, Slots: 4}}}
	v := gossiper.NewView([]gossiper.Member{m})
	far.view = func() *gossiper.View { return v }
	return serveEntry(t, far), beside
}

func serveEntry(t *testing.T, e *Entry) string {
	t.Helper()
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func callFrom(t *testing.T, address, id string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Error(err)
		return
	}
	r.Header.Set("X-Id", id)
	a, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = a.Body.Close()
	}
}
