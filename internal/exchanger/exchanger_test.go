package exchanger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

const idHeader = "X-Id"

// serve accepts connections and calls f for each with a function that reads the
// next request.
func serve(t *testing.T, f func(c net.Conn, next func() (*http.Request, bool))) (address string, accepted *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				f(c, func() (*http.Request, bool) {
					r, err := http.ReadRequest(b)
					if err != nil {
						return nil, false
					}
					_, _ = io.Copy(io.Discard, r.Body)
					return r, true
				})
			}()
		}
	}()
	return l.Addr().String(), accepted
}

func newTestClient(readTimeout time.Duration) *Client {
	return New(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, ReadTimeout: readTimeout, MaxIdle: 4}, &meter.Traffic{})
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x?q=1", Host: "h", Header: http.Header{idHeader: {id}}, IDHeader: idHeader, ID: id, Repeatable: true}
}

// exchangeOnce returns the body of the response.
func exchangeOnce(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r, err := c.Do(ctx, address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimSpace(string(rune('0'+n/10)) + string(rune('0'+n%10)))
}

func TestResponsesAreMatchedToRequests(t *testing.T) {
	tests := []struct {
		name string
		// first and second are the target's responses to the first and the
		// second request on a connection.
		first, second string
		want          string
		fails         bool
		// connections is the number of connections opened for two exchanges.
		connections int32
	}{
		{"both responses on one connection", okResponse("1", "one"), okResponse("2", "two"), "two", false, 1},
		{"extra bytes after the first response", okResponse("1", "one") + "HTTP/1.1 200 OK\r\n", okResponse("2", "two"), "", true, 2},
		{"stale response before the expected one", okResponse("1", "one"), okResponse("1", "stale") + okResponse("2", "two"), "two", false, 1},
		{"only a stale response", okResponse("1", "one"), okResponse("1", "stale"), "", true, 1},
		{"response without request ID", okResponse("1", "one"), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo", "", true, 1},
		{"not an HTTP response", okResponse("1", "one"), "\x00\x01rubbish\r\n\r\n", "", true, 1},
		{"truncated body", okResponse("1", "one"), strings.TrimSuffix(okResponse("2", "two"), "o"), "", true, 1},
		{"interim response before the expected one", okResponse("1", "one"), "HTTP/1.1 102 Processing\r\n\r\n" + okResponse("2", "two"), "two", false, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, n := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				r, ok := next()
				if !ok {
					return
				}
				if r.Header.Get(idHeader) == "1" {
					_, _ = io.WriteString(k, c.first)
					if _, ok = next(); !ok {
						return
					}
				}
				_, _ = io.WriteString(k, c.second)
			})
			x := newTestClient(0)
			if b, err := exchangeOnce(t, x, a, "1"); err != nil || b != "one" {
				t.Fatalf("first exchange: %q, %v", b, err)
			}
			// Let the bytes after the first response arrive.
			time.Sleep(20 * time.Millisecond)
			b, err := exchangeOnce(t, x, a, "2")
			if c.name == "extra bytes after the first response" {
				if err != nil || b != "two" {
					t.Errorf("got %q, %v on a new connection", b, err)
				}
			} else if b != c.want && err == nil || (err != nil) != c.fails {
				t.Errorf("got %q, %v", b, err)
			}
			if g := n.Load(); g != c.connections {
				t.Errorf("%d connections, want %d", g, c.connections)
			}
		})
	}
}

func TestResetFailsCloseDelimitedBody(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				_, _ = next()
				_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n\r\nhalf")
				time.Sleep(20 * time.Millisecond)
				if n, ok := k.(*net.TCPConn); ok && c.reset {
					_ = n.SetLinger(0)
				}
			})
			b, err := exchangeOnce(t, newTestClient(0), a, "1")
			if (err != nil) != c.reset {
				t.Errorf("got %q, %v", b, err)
			}
		})
	}
}

func TestErrorsReportWhetherRequestWasSent(t *testing.T) {
	// Listen on another address, since later listeners of this test may get the
	// port that is freed here.
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := l.Addr().String()
	_ = l.Close()
	breaking, _ := serve(t, func(_ net.Conn, next func() (*http.Request, bool)) { _, _ = next() })
	silent, _ := serve(t, func(_ net.Conn, next func() (*http.Request, bool)) {
		_, _ = next()
		time.Sleep(3 * time.Second)
	})
	tests := []struct {
		name, address string
		timeout       time.Duration
		want          Error
	}{
		{"connection refused", unused, time.Second, Error{Cause: Unreachable, Refused: true}},
		{"connection closed", breaking, time.Second, Error{Cause: Broken, Sent: true}},
		{"read timeout", silent, time.Second, Error{Cause: TimedOut, Sent: true}},
		{"context deadline", silent, 50 * time.Millisecond, Error{Cause: Canceled, Sent: true}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			_, err := newTestClient(200*time.Millisecond).Do(ctx, c.address, newRequest("1"))
			var x *Error
			if !errors.As(err, &x) {
				t.Fatalf("got %v", err)
			}
			if x.Cause != c.want.Cause || x.Sent != c.want.Sent || x.Refused != c.want.Refused {
				t.Errorf("got cause %s, sent %v, refused %v", x.Cause, x.Sent, x.Refused)
			}
		})
	}
}

func TestClosedIdleConnectionsAreNotReused(t *testing.T) {
	a, n := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
		r, ok := next()
		if ok {
			_, _ = io.WriteString(k, okResponse(r.Header.Get(idHeader), "x"))
		}
	})
	c := newTestClient(0)
	for _, id := range []string{"1", "2", "3"} {
		if _, err := exchangeOnce(t, c, a, id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if g := n.Load(); g != 3 {
		t.Errorf("%d connections, want 3", g)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", time.Minute},
		{"timeout=10", 7 * time.Second},
		{"max=5, timeout=1", 700 * time.Millisecond},
		{"timeout=x", time.Minute},
		{"timeout=-1", time.Minute},
	}
	for _, c := range tests {
		h := http.Header{}
		if c.header != "" {
			h.Set("Keep-Alive", c.header)
		}
		if g := keepAliveTimeout(h, time.Minute); g != c.want {
			t.Errorf("%q: got %s, want %s", c.header, g, c.want)
		}
	}
}
