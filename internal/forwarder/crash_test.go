package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// localQuarantine is a CrashTracker for a single node.
type localQuarantine struct{ quarantiner.Quarantine }

func (q *localQuarantine) Blocked(f quarantiner.Fingerprint) bool {
	return q.Quarantine.Blocked(f, time.Now())
}

func (q *localQuarantine) Suspected(f quarantiner.Fingerprint) bool {
	return q.Quarantine.Suspected(f)
}

func (q *localQuarantine) Strike(_ string, s quarantiner.Strike) { q.Add(s, time.Now()) }

// crashingTarget crashes when it runs a request to /crash, and can be started again at its
// address.
type crashingTarget struct {
	mu      sync.Mutex
	server  *httptest.Server
	crashes int
}

func (c *crashingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/crash" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	_ = c.server.Listener.Close()
	if k, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = k.Close()
	}
}

func (c *crashingTarget) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// TestCrashingRequestsAreQuarantined guards against requests that crash targets without
// end, whatever the size of their body and however it is sent.
func TestCrashingRequestsAreQuarantined(t *testing.T) {
	const sends = 6
	for _, size := range []int{0, 100, replayBytes, replayBytes + 1, 4 * replayBytes} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			l := router.Limits{Slots: 4, Connections: 4, Queue: 4, MaxBodyBytes: 1 << 20}
			e, _ := newEntry(t, "127.0.0.1:1", l)
			q := &localQuarantine{}
			e.gate.crashTracker = q
			front := httptest.NewServer(e)
			defer front.Close()
			content := bytes.Repeat([]byte("x"), size)
			crashes := 0
			for i := range sends {
				c := &crashingTarget{}
				c.server = httptest.NewServer(c)
				a := c.server.Listener.Addr().String()
				var r registrar.Registrar
				r.Announce(registrar.Announcement{Service: "s", Address: a, Instance: "i"}, l, time.Now())
				e.gate.registrar = &r
				e.view = viewOf(a, l)
				if s := postTo(t, front.URL+"/crash", strconv.Itoa(i), content, i%2 == 0); s == http.StatusOK {
					t.Errorf("send %d was answered %d", i, s)
				}
				crashes += c.count()
				c.server.Close()
			}
			if want := int(quarantiner.Threshold); crashes != want {
				t.Errorf("%d targets crashed, expected %d", crashes, want)
			}
		})
	}
}
