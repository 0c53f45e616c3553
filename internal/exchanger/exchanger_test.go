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

// serve accepts connections and hands each to f with a reader of its requests.
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

func newClient(silence time.Duration) *Client {
	return New(Options{DialBound: time.Second, IdleBound: time.Minute, Silence: silence, MaxIdle: 4}, &meter.Traffic{})
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x?q=1", Host: "h", Header: http.Header{idHeader: {id}}, IDHeader: idHeader, ID: id, Repeatable: true}
}

// exchangeOnce returns the body of the answer.
func exchangeOnce(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r, err := c.Do(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return strings.TrimSpace(string(rune('0'+n/10)) + string(rune('0'+n%10)))
}

func TestAnswersAreMatchedToRequests(t *testing.T) {
	tests := []struct {
		name string
		// first and second are what the target writes after the first and the
		// second request of a connection.
		first, second string
		want          string
		fails         bool
		// connections is how many are opened for two exchanges.
		connections int32
	}{
		{"one answer each, on one connection", answer("1", "one"), answer("2", "two"), "two", false, 1},
		{"bytes behind the first answer", answer("1", "one") + "HTTP/1.1 200 OK\r\n", answer("2", "two"), "", true, 2},
		{"the answer to another request lies before the right one", answer("1", "one"), answer("1", "stale") + answer("2", "two"), "two", false, 1},
		{"only the answer to another request", answer("1", "one"), answer("1", "stale"), "", true, 1},
		{"an answer without identifier", answer("1", "one"), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo", "", true, 1},
		{"no answer of the protocol", answer("1", "one"), "\x00\x01rubbish\r\n\r\n", "", true, 1},
		{"a body that ends too early", answer("1", "one"), strings.TrimSuffix(answer("2", "two"), "o"), "", true, 1},
		{"signs of life before the answer", answer("1", "one"), "HTTP/1.1 102 Processing\r\n\r\n" + answer("2", "two"), "two", false, 1},
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
			x := newClient(0)
			if b, err := exchangeOnce(t, x, a, "1"); err != nil || b != "one" {
				t.Fatalf("first exchange: %q, %v", b, err)
			}
			// What lies behind an answer must have arrived.
			time.Sleep(20 * time.Millisecond)
			b, err := exchangeOnce(t, x, a, "2")
			if c.name == "bytes behind the first answer" {
				if err != nil || b != "two" {
					t.Errorf("got %q, %v on a new connection", b, err)
				}
			} else if b != c.want && err == nil || (err != nil) != c.fails {
				t.Errorf("got %q, %v", b, err)
			}
			if g := n.Load(); g != c.connections {
				t.Errorf("%d connections, expected %d", g, c.connections)
			}
		})
	}
}

func TestResetIsNoEndOfAnUnframedBody(t *testing.T) {
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
			b, err := exchangeOnce(t, newClient(0), a, "1")
			if (err != nil) != c.reset {
				t.Errorf("got %q, %v", b, err)
			}
		})
	}
}

func TestFailuresSayWhetherAnythingWasSent(t *testing.T) {
	// Later listeners of this test may be given the port that is freed here, so
	// it is one of another address.
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	_ = l.Close()
	breaking, _ := serve(t, func(_ net.Conn, next func() (*http.Request, bool)) { _, _ = next() })
	silent, _ := serve(t, func(_ net.Conn, next func() (*http.Request, bool)) {
		_, _ = next()
		time.Sleep(3 * time.Second)
	})
	tests := []struct {
		name, address string
		bound         time.Duration
		want          Error
	}{
		{"nothing listens", gone, time.Second, Error{Cause: Unreachable, Refused: true}},
		{"the connection breaks", breaking, time.Second, Error{Cause: Broken, Sent: true}},
		{"nothing arrives", silent, time.Second, Error{Cause: Silent, Sent: true}},
		{"the deadline passes", silent, 50 * time.Millisecond, Error{Cause: Ended, Sent: true}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.bound)
			defer cancel()
			_, err := newClient(200*time.Millisecond).Do(ctx, c.address, request("1"))
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

func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	a, n := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
		r, ok := next()
		if ok {
			_, _ = io.WriteString(k, answer(r.Header.Get(idHeader), "x"))
		}
	})
	c := newClient(0)
	for _, id := range []string{"1", "2", "3"} {
		if _, err := exchangeOnce(t, c, a, id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if g := n.Load(); g != 3 {
		t.Errorf("%d connections, expected 3", g)
	}
}

func TestIdleTime(t *testing.T) {
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
		if g := idleTime(h, time.Minute); g != c.want {
			t.Errorf("%q: got %s, want %s", c.header, g, c.want)
		}
	}
}
