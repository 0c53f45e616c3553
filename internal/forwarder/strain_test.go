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

// TestRefusedCallsAreRetriedInsteadOfTheirParents has a target that makes a nested call
// for each request. If that call is refused, as when most targets of the called service
// shed load, the call must be retried but not its parent, which would run and call again
// at the expense of the same retry budget. Failures of the target itself are retried.
func TestRefusedCallsAreRetriedInsteadOfTheirParents(t *testing.T) {
	const attempts = 3
	tests := []struct {
		name string
		// call is the status of the answer to the nested call. The target makes none if
		// it is zero.
		call          int
		runs, repeats int32
	}{
		{"the target itself failed", 0, attempts, 0},
		{"the nested call was refused", http.StatusServiceUnavailable, 1, attempts},
		{"the nested call failed", http.StatusInternalServerError, attempts, attempts * attempts},
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
				address, beside := nestedCallNodes(t, s.Listener.Addr().String(), remote)
				entry.Store(&beside)
				client := &http.Client{Timeout: 3 * time.Second}
				status, _, err := get(t, client, address, "X-Id", "parent")
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

// nestedCallNodes starts an entry and the node beside its only target, which is another
// node if remote is set. It returns the addresses for callers of both.
func nestedCallNodes(t testing.TB, target string, remote bool) (address, beside string) {
	t.Helper()
	near, _ := newEntry(t, target, testLimits)
	near.dialect, near.gate.dialect = echoDialect, echoDialect
	beside = serveEntry(t, near)
	if !remote {
		return beside, beside
	}
	p := httptest.NewServer(near.gate)
	t.Cleanup(p.Close)
	far, _ := newEntry(t, target, testLimits)
	far.dialect, far.gate.dialect = echoDialect, echoDialect
	m := gossiper.Member{Node: "other", PeerAddress: p.Listener.Addr().String(), Targets: []gossiper.Target{{Service: "s", Address: target, Slots: 4}}}
	v := gossiper.NewView([]gossiper.Member{m})
	far.view = func() *gossiper.View { return v }
	return serveEntry(t, far), beside
}

func serveEntry(t testing.TB, e *Entry) string {
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
