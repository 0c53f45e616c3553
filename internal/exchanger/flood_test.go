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

// maxFloodMemory is what one exchange may allocate, whatever its target sends: a
// VM has 112 MB and a node some hundred exchanges at once.
const maxFloodMemory = 4 << 20

// floods are bytes of targets in trouble: begin is sent once, and then repeat
// until the client closes.
var floods = []struct {
	name, begin, repeat string
	// reads says that the head is sound, so that only the body can fail.
	reads bool
}{
	{"a status line", "HTTP/1.1 200 ", "a", false},
	{"no protocol", "", "\x00\x01\x02", false},
	{"line ends", "", "\r\n", false},
	{"a header line", "HTTP/1.1 200 OK\r\nX-A: ", "a", false},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
	{"continued header lines", "HTTP/1.1 200 OK\r\nX-A: b", "\r\n c", false},
	{"answers below 200", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
	{"answers to others", "", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 1\r\n\r\nx", false},
	{"an answer to another in chunks", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", false},
	{"an answer to another without length", "HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\n\r\n", "abcd", false},
	{"a chunk extension", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x", true},
	{"chunk extensions", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" + "\r\na\r\n", true},
	{"a trailer line", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x", true},
	{"trailer lines", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", true},
	{"a chunk size", "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
}

// pour writes until the client closes, in parts of some kilobytes.
func pour(k net.Conn, begin, repeat string) {
	_, err := io.WriteString(k, begin)
	b := []byte(strings.Repeat(repeat, 4096/len(repeat)+1))
	for end := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(end); {
		_, err = k.Write(b)
	}
}

func TestFloodsAreEndedInLittleMemory(t *testing.T) {
	for _, c := range floods {
		t.Run(c.name, func(t *testing.T) {
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				if _, ok := next(); ok {
					pour(k, c.begin, c.repeat)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			begun := time.Now()
			n := allocated(func() {
				r, err := newClient(time.Second).Do(ctx, a, request("1"))
				if c.reads && err == nil {
					_, err = io.Copy(io.Discard, r.Body)
					_ = r.Body.Close()
				}
				var x *Error
				if err == nil || (!c.reads && (!errors.As(err, &x) || x.Cause == Ended || !x.Sent)) {
					t.Errorf("got %v", err)
				}
			})
			if n > maxFloodMemory {
				t.Errorf("%d bytes were allocated", n)
			}
			if d := time.Since(begun); d > 2*time.Second {
				t.Errorf("the flood was read for %s", d)
			}
		})
	}
}

// allocated returns the bytes that f allocates, with what runs beside it.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestSoundHeadsAreRead holds what must still pass beside the bounds.
func TestSoundHeadsAreRead(t *testing.T) {
	tests := []struct {
		name, sent string
	}{
		{"many header lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 1000) + idHeader + ": 1\r\nContent-Length: 1\r\n\r\nx"},
		{"a long header line", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 32<<10) + "\r\n" + idHeader + ": 1\r\nContent-Length: 1\r\n\r\nx"},
		{"signs of life in a burst", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + answer("1", "x")},
		{"answers to others", strings.Repeat(answer("9", "stale"), 20) + answer("1", "x")},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				_, _ = next()
				_, _ = io.WriteString(k, c.sent)
			})
			if b, err := exchangeOnce(t, newClient(time.Second), a, "1"); err != nil || b != "x" {
				t.Errorf("got %q, %v", b, err)
			}
		})
	}
}

// TestUnwantedBodiesAreNotAwaited drains answers whose bodies come slowly, without
// end, or soon.
func TestUnwantedBodiesAreNotAwaited(t *testing.T) {
	tests := []struct {
		name, head string
		period     time.Duration
		kept       bool
	}{
		{"slowly", "Content-Length: 60000\r\n", 20 * time.Millisecond, false},
		{"without end", "Transfer-Encoding: chunked\r\n", 0, false},
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
					_, err := io.WriteString(k, "HTTP/1.1 503 Service Unavailable\r\n"+idHeader+": 1\r\n"+c.head+"\r\n")
					for i := 0; err == nil && (!c.kept || i < 2); i++ {
						time.Sleep(c.period)
						_, err = io.WriteString(k, "1\r\na\r\n")
					}
				}
			})
			x := newClient(time.Second)
			begun := time.Now()
			for range 2 {
				r, err := x.Do(t.Context(), a, request("1"))
				if err != nil {
					t.Fatal(err)
				}
				r.Drain()
			}
			if d := time.Since(begun); d > time.Second {
				t.Errorf("unwanted bodies were awaited for %s", d)
			}
			if kept := n.Load() == 1; kept != c.kept {
				t.Errorf("%d connections for two exchanges", n.Load())
			}
		})
	}
}
