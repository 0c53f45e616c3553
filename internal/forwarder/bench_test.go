package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// BenchmarkRemoteCall measures a call from an entry over another node's gate to a
// target, with the caller and the target.
func BenchmarkRemoteCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "y")
		_, _ = w.Write(make([]byte, 400))
	}))
	defer s.Close()
	target := s.Listener.Addr().String()
	near, _ := newEntry(b, target, testLimits)
	near.dialect, near.gate.dialect = echoDialect, echoDialect
	p := httptest.NewServer(near.gate)
	defer p.Close()
	far, _ := newEntry(b, target, testLimits)
	far.dialect, far.gate.dialect = echoDialect, echoDialect
	v := gossiper.NewView([]gossiper.Member{{
		Node: "other", PeerAddress: p.Listener.Addr().String(),
		Targets: []gossiper.Target{{Service: "s", Address: target, Slots: 4}},
	}})
	far.view = func() *gossiper.View { return v }
	e := httptest.NewServer(far)
	defer e.Close()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, e.URL+"/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("X-Id", strconv.Itoa(n))
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
}
