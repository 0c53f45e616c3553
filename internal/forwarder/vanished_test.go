package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// silentAddress returns an address at which connection attempts get no answer, as at
// that of a VM that has vanished: the queue of a listener that accepts nothing is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(s) })
	if err := syscall.Bind(s, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(s, 0); err != nil {
		t.Fatal(err)
	}
	n, err := syscall.Getsockname(s)
	if err != nil {
		t.Fatal(err)
	}
	a := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.(*syscall.SockaddrInet4).Port}).String()
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
		cancel()
		if err != nil {
			return a
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener accepts every connection")
	return ""
}

// newEntryBesideBusyTarget returns an entry with two targets. The one beside it looks
// busy, so that the other one, on the node at the peer address, is tried first.
func newEntryBesideBusyTarget(t *testing.T, peer string) *Entry {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(s.Close)
	beside := s.Listener.Addr().String()
	e, _ := newEntry(t, beside, testLimits)
	v := gossiper.NewView([]gossiper.Member{
		{Node: "other", PeerAddress: peer, DataCenter: e.dataCenter, Targets: []gossiper.Target{{Service: "s", Address: "127.0.0.1:2", Slots: 4}}},
		{Node: "n", PeerAddress: "127.0.0.1:1", DataCenter: e.dataCenter, Targets: []gossiper.Target{{Service: "s", Address: beside, Slots: 4}}},
	})
	e.view = func() *gossiper.View { return v }
	for _, p := range v.Service("s") {
		for range 30 {
			if p.Node != "other" {
				e.balancer.Start(p, time.Now())
			}
		}
	}
	return e
}

// TestCallsLeaveVanishedNodesInTime has a call whose deadline is shorter than the time
// in which connections to nodes usually fail, as calls between targets have, and a VM
// that vanished a moment ago. The call must be made at the other target in time.
func TestCallsLeaveVanishedNodesInTime(t *testing.T) {
	const left = 400 * time.Millisecond
	e := newEntryBesideBusyTarget(t, silentAddress(t))
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
	r.Header.Set("Dragonflydoor-Deadline-Ms", "400")
	began := time.Now()
	e.ServeHTTP(w, r)
	if d := time.Since(began); w.Code != http.StatusOK || d >= left || d < left/connectTimeDivisor/2 {
		t.Errorf("status %d after %s, expected 200 after a connection was given up: %s", w.Code, d, w.Body)
	}
	if l := e.outages.list(time.Now()); len(l) != 0 {
		t.Errorf("%v is taken for unreachable after an attempt that was cut short", l)
	}
}

// TestSilentNodesAreAvoided has a node that takes requests and sends nothing, as a VM that
// is frozen. The first call fails at its deadline, which is shorter than the timeout of
// reads; the next one must be made elsewhere.
func TestSilentNodesAreAvoided(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	frozen := l.Addr().String()
	e := newEntryBesideBusyTarget(t, frozen)
	for i, want := range []int{http.StatusGatewayTimeout, http.StatusOK} {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
		r.Header.Set("Dragonflydoor-Deadline-Ms", "400")
		e.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("call %d: status %d, expected %d: %s", i+1, w.Code, want, w.Body)
		}
	}
	if l := e.outages.list(time.Now()); len(l) != 1 || l[0] != frozen {
		t.Errorf("%v is taken for unreachable, expected %s", l, frozen)
	}
}
