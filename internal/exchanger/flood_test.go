package exchanger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxAllocatedBytes limits the allocations of one exchange, whatever its target
// sends: a VM has 112 MB of memory and a node about a hundred concurrent
// exchanges.
const maxAllocatedBytes = 4 << 20

// endlessResponses are sent by faulty targets: begin is sent once, then repeat
// until the client closes the connection.
var endlessResponses = []struct {
	name, begin, repeat string
	// validHeader says that the header is valid, so that only the body can
	// fail.
	validHeader bool
}{
	{"status line too long", "HTTP/1.1 200 ", "a", false},
	{"not an HTTP response", "", "\x00\x01\x02", false},
	{"empty lines", "", "\r\n", false},
	{"long header line", "HTTP/1.1 200 OK\r\nX-A: ", "a", false},
	{"many header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
	{"many continuation lines", "HTTP/1.1 200 OK\r\nX-A: b", "\r\n c", false},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
	{"stale responses", "", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 1\r\n\r\nx", false},
	{"stale chunked response", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", false},
	{"stale response without length", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\n\r\n", "abcd", false},
	{"long chunk extension", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x", true},
	{"many chunk extensions", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" + "\r\na\r\n", true},
	{"long trailer line", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x", true},
	{"many trailer lines", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", true},
	{"long chunk size", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
}

// writeEndlessly writes in blocks of about 4 KB until the client closes the
// connection, for 10 s at most.
func writeEndlessly(k net.Conn, begin, repeat string) {
	_, err := io.WriteString(k, begin)
	b := []byte(strings.Repeat(repeat, 4096/len(repeat)+1))
	for end := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(end); {
		_, err = k.Write(b)
	}
}

func TestEndlessResponsesUseBoundedMemory(t *testing.T) {
	for _, c := range endlessResponses {
		t.Run(c.name, func(t *testing.T) {
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				if _, ok := next(); ok {
					writeEndlessly(k, c.begin, c.repeat)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			start := time.Now()
			n := allocated(func() {
				r, err := newTestClient(time.Second).Do(ctx, a, newRequest("1"))
				if c.validHeader && err == nil {
					_, err = io.Copy(io.Discard, r.Body)
					_ = r.Body.Close()
				}
				var x *Error
				if err == nil || (!c.validHeader && (!errors.As(err, &x) || x.Cause == Canceled || !x.Sent)) {
					t.Errorf("got %v", err)
				}
			})
			if n > maxAllocatedBytes {
				t.Errorf("allocated %d bytes", n)
			}
			if d := time.Since(start); d > 2*time.Second {
				t.Errorf("read the response for %s", d)
			}
		})
	}
}

// allocated returns the bytes allocated while f runs, including those of other
// goroutines.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLargeValidResponsesAreAccepted checks that valid responses below the
// limits are accepted.
func TestLargeValidResponsesAreAccepted(t *testing.T) {
	tests := []struct {
		name, sent string
	}{
		{"many header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 1000) + idHeader + ": 1\r\nContent-Length: 1\r\n\r\nx"},
		{"long header line", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 32<<10) + "\r\n" + idHeader + ": 1\r\nContent-Length: 1\r\n\r\nx"},
		{"burst of interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + okResponse("1", "x")},
		{"stale responses", strings.Repeat(okResponse("9", "stale"), 20) + okResponse("1", "x")},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				_, _ = next()
				_, _ = io.WriteString(k, c.sent)
			})
			if b, err := exchangeOnce(t, newTestClient(time.Second), a, "1"); err != nil || b != "x" {
				t.Errorf("got %q, %v", b, err)
			}
		})
	}
}

// TestDrainIsBounded drains bodies that arrive slowly, endlessly or quickly,
// and checks that only a quick one keeps its connection.
func TestDrainIsBounded(t *testing.T) {
	tests := []struct {
		name, header string
		period       time.Duration
		kept         bool
	}{
		{"slowly", "Content-Length: 60000\r\n", 20 * time.Millisecond, false},
		{"chunked without end", "Transfer-Encoding: chunked\r\n", 0, false},
		{"long", "Content-Length: 900000\r\n", 0, false},
		{"soon", "Content-Length: 12\r\n", 0, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, n := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				for {
					if _, ok := next(); !ok {
						return
					}
					_, err := io.WriteString(k, "HTTP/1.1 503 Service Unavailable\r\n"+idHeader+": 1\r\n"+c.header+"\r\n")
					for i := 0; err == nil && (!c.kept || i < 2); i++ {
						time.Sleep(c.period)
						_, err = io.WriteString(k, "1\r\na\r\n")
					}
				}
			})
			x := newTestClient(time.Second)
			start := time.Now()
			for range 2 {
				r, err := x.Do(t.Context(), a, newRequest("1"))
				if err != nil {
					t.Fatal(err)
				}
				r.Drain()
			}
			if d := time.Since(start); d > time.Second {
				t.Errorf("draining took %s", d)
			}
			if kept := n.Load() == 1; kept != c.kept {
				t.Errorf("opened %d connections for two exchanges", n.Load())
			}
		})
	}
}
