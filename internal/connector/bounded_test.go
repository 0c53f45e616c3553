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

// allocated returns the bytes allocated while f runs, including those of other
// goroutines.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessRequestsAreRejected sends endless requests to a server whose
// handler limits bodies to 1 KB.
func TestEndlessRequestsAreRejected(t *testing.T) {
	const maxMemory = 8 << 20
	tests := []struct {
		name, begin, repeat string
	}{
		{"request line too long", "GET /", "a"},
		{"long header line", "GET / HTTP/1.1\r\nHost: h\r\nX-A: ", "a"},
		{"many header lines", "GET / HTTP/1.1\r\nHost: h\r\n", "X-A: b\r\n"},
		{"endless body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"long chunk extension", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;", "a"},
		{"many trailer lines", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
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
			start := time.Now()
			n := allocated(func() {
				_, err = io.WriteString(k, c.begin)
				for err == nil && time.Since(start) < 5*time.Second {
					_, err = k.Write(b)
				}
			})
			if err == nil {
				t.Error("server still reads the request")
			}
			if n > maxMemory {
				t.Errorf("allocated %d bytes", n)
			}
		})
	}
}

// TestEndlessControlMessagesAreRejected sends an endless response from a peer,
// and an oversized request to a node.
func TestEndlessControlMessagesAreRejected(t *testing.T) {
	const maxMemory = 8 * maxControlMessageBytes
	filler := bytes.Repeat([]byte{0}, 64<<10)
	writeEndlessly := func(w io.Writer, end time.Time) {
		for time.Now().Before(end) {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
	}
	t.Run("endless response", func(t *testing.T) {
		s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			writeEndlessly(w, time.Now().Add(5*time.Second))
		}))
		p := httptest.NewUnstartedServer(s.Handler)
		p.Config = s.Server
		p.Start()
		defer p.Close()
		c := NewDialer(NewTransport(&meter.Traffic{}, "")).Dial(p.Listener.Addr().String())
		start := time.Now()
		n := allocated(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := c.Status(ctx, &messenger.StatusRequest{}); err == nil {
				t.Error("response was accepted")
			}
		})
		if d := time.Since(start); n > maxMemory || d > 4*time.Second {
			t.Errorf("allocated %d bytes in %s", n, d)
		}
	})
	t.Run("oversized request", func(t *testing.T) {
		var read int64
		h := BoundMessages(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			read, _ = io.Copy(io.Discard, r.Body)
		}))
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.LimitReader(endlessReader{}, 4*maxControlMessageBytes))
		h.ServeHTTP(httptest.NewRecorder(), r)
		if read > maxControlMessageBytes {
			t.Errorf("read %d bytes", read)
		}
	})
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
