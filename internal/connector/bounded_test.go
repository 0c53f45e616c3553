package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// allocated returns the bytes that f allocates, with what runs beside it.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessRequestsAreCutOff sends requests without end to a server whose handler
// takes bodies of a kilobyte.
func TestEndlessRequestsAreCutOff(t *testing.T) {
	const maxMemory = 8 << 20
	tests := []struct {
		name, begin, repeat string
	}{
		{"a request line", "GET /", "a"},
		{"a header line", "GET / HTTP/1.1\r\nHost: h\r\nX-A: ", "a"},
		{"header lines", "GET / HTTP/1.1\r\nHost: h\r\n", "X-A: b\r\n"},
		{"a body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"a chunk extension", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a"},
		{"trailer lines", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	}
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<10)); err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		}
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(KeepHeads(l)) }()
	defer func() { _ = s.Close() }()
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			k, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = k.Close() }()
			b := []byte(strings.Repeat(c.repeat, 4096/len(c.repeat)))
			begun := time.Now()
			n := allocated(func() {
				_, err = io.WriteString(k, c.begin)
				for err == nil && time.Since(begun) < 5*time.Second {
					_, err = k.Write(b)
				}
			})
			if err == nil {
				t.Error("the request is still read")
			}
			if n > maxMemory {
				t.Errorf("%d bytes were allocated", n)
			}
		})
	}
}

// TestEndlessControlMessagesAreCutOff has a peer answer without end, and a node send
// a message without end.
func TestEndlessControlMessagesAreCutOff(t *testing.T) {
	const maxMemory = 8 * maxControlBytes
	filler := bytes.Repeat([]byte{0}, 64<<10)
	pour := func(w io.Writer, end time.Time) {
		for time.Now().Before(end) {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
	}
	t.Run("an answer", func(t *testing.T) {
		s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			pour(w, time.Now().Add(5*time.Second))
		}))
		p := httptest.NewUnstartedServer(s.Handler)
		p.Config = s.Server
		p.Start()
		defer p.Close()
		c := NewDialer(NewTransport(&meter.Traffic{}, "")).Dial(p.Listener.Addr().String())
		begun := time.Now()
		n := allocated(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := c.Status(ctx, &messenger.StatusRequest{}); err == nil {
				t.Error("the answer was taken")
			}
		})
		if d := time.Since(begun); n > maxMemory || d > 4*time.Second {
			t.Errorf("%d bytes were allocated in %s", n, d)
		}
	})
	t.Run("a message", func(t *testing.T) {
		var read int64
		h := BoundMessages(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			read, _ = io.Copy(io.Discard, r.Body)
		}))
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.LimitReader(neverEnding{}, 4*maxControlBytes))
		h.ServeHTTP(httptest.NewRecorder(), r)
		if read > maxControlBytes {
			t.Errorf("%d bytes were read", read)
		}
	})
}

type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }
