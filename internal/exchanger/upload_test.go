package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// TestInterimResponsesDuringUploads guards against requests that fail because their bodies
// take long to send: the peer's interim responses pile up meanwhile, although no more of
// them are sent in a second than may be.
func TestInterimResponsesDuringUploads(t *testing.T) {
	const upload = time.Second
	tests := []struct {
		name    string
		interim int
		fails   bool
	}{
		{"within the rate", interimBurst + interimPerSecond/2, false},
		{"beyond the rate", 4 * interimBurst, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := peer(t, func(k net.Conn, r *http.Request) {
				_, _ = io.WriteString(k, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", c.interim))
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(k, okResponse("1", "x"))
			})
			q := newRequest("1")
			q.Method, q.Length = http.MethodPost, -1
			q.Body = io.MultiReader(strings.NewReader("a"), slowReader(upload), strings.NewReader("b"))
			r, err := New(Options{DialTimeout: time.Second, ReadTimeout: time.Second}, &meter.Traffic{}).Do(t.Context(), address, q)
			if err == nil {
				_ = r.Body.Close()
			}
			if (err != nil) != c.fails || errors.Is(err, errTooManyResponses) != c.fails {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestPartsOfEarlyResponsesAreNotComplete guards against the part of a response that is
// taken for all of it: a response without a length that came before the body of the request
// had been written, and whose connection was then reset. The socket reports the reset to
// the writer, and the reader sees an end like any other.
func TestPartsOfEarlyResponsesAreNotComplete(t *testing.T) {
	const sent = 3000
	tests := []struct {
		name  string
		pause time.Duration
		end   func(k *net.TCPConn)
		// length is the one that the response states, -1 for none.
		length int
		whole  bool
	}{
		{"reset at once", 0, func(k *net.TCPConn) { _ = k.SetLinger(0) }, -1, false},
		{"reset later", 30 * time.Millisecond, func(k *net.TCPConn) { _ = k.SetLinger(0) }, -1, false},
		{"closed with unread bytes", 0, func(*net.TCPConn) {}, -1, false},
		{"closed later with unread bytes", 30 * time.Millisecond, func(*net.TCPConn) {}, -1, false},
		{"reset after a part of the length", 30 * time.Millisecond, func(k *net.TCPConn) { _ = k.SetLinger(0) }, sent + 1, false},
		{"reset after the whole length", 30 * time.Millisecond, func(k *net.TCPConn) { _ = k.SetLinger(0) }, sent, true},
		{"ended in order", 0, func(k *net.TCPConn) {
			_ = k.CloseWrite()
			_, _ = io.Copy(io.Discard, k)
		}, -1, true},
	}
	for _, c := range tests {
		for _, upload := range []int64{4 << 20, -1} {
			t.Run(fmt.Sprintf("%s, upload of length %d", c.name, upload), func(t *testing.T) {
				t.Parallel()
				address := peer(t, func(k net.Conn, _ *http.Request) {
					head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
					if c.length >= 0 {
						head += fmt.Sprintf("Content-Length: %d\r\n", c.length)
					}
					_, _ = io.WriteString(k, head+"\r\n"+strings.Repeat("x", sent))
					time.Sleep(c.pause)
					if n, ok := k.(*net.TCPConn); ok {
						c.end(n)
					}
				})
				q := newRequest("1")
				q.Method, q.Length = http.MethodPost, upload
				q.Body = io.LimitReader(zeros{}, 4<<20)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				r, err := newTestClient(time.Second).Do(ctx, address, q)
				var n int64
				if err == nil {
					n, err = io.Copy(io.Discard, r.Body)
					_ = r.Body.Close()
				}
				if c.whole && (err != nil || n != sent) || !c.whole && err == nil {
					t.Errorf("got %d bytes, %v", n, err)
				}
			})
		}
	}
}

// slowReader is a part of a body that takes a while to arrive and is empty.
type slowReader time.Duration

func (r slowReader) Read([]byte) (int, error) {
	time.Sleep(time.Duration(r))
	return 0, io.EOF
}

// TestPeersThatStopReading guards against requests that wait until their deadline for the
// response of a peer that does not read their body: the body was given up after writeTimeout,
// so that it cannot run. A response that was sent before is returned.
func TestPeersThatStopReading(t *testing.T) {
	const slack = time.Second
	for _, interim := range []bool{false, true} {
		for _, responds := range []bool{false, true} {
			t.Run(fmt.Sprintf("interim %v, responds %v", interim, responds), func(t *testing.T) {
				t.Parallel()
				address := stoppingPeer(t, interim, responds)
				q := newRequest("1")
				q.Method, q.Length = http.MethodPost, 64<<20
				q.Body = io.LimitReader(zeros{}, q.Length)
				ctx, cancel := context.WithTimeout(t.Context(), writeTimeout+3*slack)
				defer cancel()
				began := time.Now()
				r, err := New(Options{DialTimeout: time.Second, ReadTimeout: time.Second}, &meter.Traffic{}).Do(ctx, address, q)
				if err == nil {
					_ = r.Body.Close()
				}
				if d := time.Since(began); (err == nil) != responds || d > writeTimeout+slack {
					t.Errorf("ended after %s: %v", d, err)
				}
				var x *Error
				if errors.As(err, &x) && (x.Cause != TimedOut || x.Silent > writeTimeout == interim) {
					t.Errorf("cause %s, silent for %s", x.Cause, x.Silent)
				}
			})
		}
	}
}

// stoppingPeer starts a peer that reads no body. It responds first, or sends interim
// responses, and returns its address.
func stoppingPeer(t *testing.T, interim, responds bool) string {
	t.Helper()
	return peer(t, func(k net.Conn, _ *http.Request) {
		if responds {
			_, _ = io.WriteString(k, okResponse("1", "x"))
		}
		var err error
		for end := time.Now().Add(2*writeTimeout + time.Second); err == nil && time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
			if interim && !responds {
				_, err = io.WriteString(k, "HTTP/1.1 102 Processing\r\n\r\n")
			}
		}
	})
}

// peer starts a peer that calls f with its first connection once it has read the head of a
// request there, and returns its address.
func peer(t *testing.T, f func(k net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		k, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = k.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(k)); err == nil {
			f(k, r)
		}
	}()
	return l.Addr().String()
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
