package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// TestKeysAreLeftToTargets guards against requests that are refused for a header which the
// dialect does not know: where it names no header for idempotency keys, the caller's is
// passed on, and each request runs.
func TestKeysAreLeftToTargets(t *testing.T) {
	const requests = 3
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(KeyHeader) == "k" {
			runs.Add(1)
		}
	}))
	defer s.Close()
	e, _ := newEntry(t, s.Listener.Addr().String(), router.Limits{Slots: 4, Connections: 4})
	e.dialect.Key = ""
	for i := range requests {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x", nil)
		r.Header.Set(KeyHeader, "k")
		r.Header.Set(RequestHeader, strconv.Itoa(i))
		e.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			t.Errorf("request %d was answered %d: %s", i, w.Code, w.Body)
		}
	}
	if n := runs.Load(); n != requests {
		t.Errorf("%d requests ran with their key, expected %d", n, requests)
	}
}
