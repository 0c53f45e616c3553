package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
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
	address, _ := nestedCallNodes(b, s.Listener.Addr().String(), true)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address+"/x", nil)
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
