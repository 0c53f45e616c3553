package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestTruncatedAnswersAreNotAccepted truncates a small answer after each of its bytes by
// closing or resetting the connection, for every framing. The caller must not receive
// it as a complete answer.
func TestTruncatedAnswersAreNotAccepted(t *testing.T) {
	tests := []struct {
		name   string
		answer func(id string) string
		reset  bool
		// closes means that the body ends with the connection, so that a truncated body
		// cannot be distinguished from a complete one.
		closes bool
	}{
		{"a Content-Length", func(id string) string { return signed(id) + "Content-Length: 4\r\n\r\nabcd" }, false, false},
		{"a Content-Length, reset", func(id string) string { return signed(id) + "Content-Length: 4\r\n\r\nabcd" }, true, false},
		{"chunks", func(id string) string {
			return signed(id) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
		}, false, false},
		{"chunks, reset", func(id string) string {
			return signed(id) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
		}, true, false},
		{"no length, reset", func(id string) string { return signed(id) + "\r\nabcd" }, true, false},
		{"no length", func(id string) string { return signed(id) + "\r\nabcd" }, false, true},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			target := rawTarget(t, func(k net.Conn, head string) {
				id := headerOf(head, "X-Id")
				cut, _ := strconv.Atoi(id)
				_, _ = io.WriteString(k, c.answer(id)[:cut])
				if n, ok := k.(*net.TCPConn); ok && c.reset {
					// The sent bytes have to arrive before the reset.
					time.Sleep(2 * time.Millisecond)
					_ = n.SetLinger(0)
				}
				_ = k.Close()
			})
			address, _ := twoNodes(t, echoDialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			n := len(c.answer("00"))
			if c.closes {
				n -= len("abcd")
			}
			var g sync.WaitGroup
			for i := range n {
				g.Go(func() {
					status, body, err := ask(t, client, address, fmt.Sprintf("%02d", i), time.Second)
					if err == nil && status < http.StatusInternalServerError {
						t.Errorf("truncated after %d bytes: status %d, body %q", i, status, body)
					}
				})
			}
			g.Wait()
		})
	}
}

// TestLostAnswersAreNotReportedAsNotRun loses or corrupts the answer to a request that
// must not be repeated, at various points. The request must run once, and the caller
// must not get an answer which says that it has not run.
func TestLostAnswersAreNotReportedAsNotRun(t *testing.T) {
	tests := []struct {
		name string
		sent string
	}{
		{"nothing arrives", ""},
		{"a part of the head", "HTTP/1.1 200 OK\r\nX-"},
		{"the head", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\n"},
		{"a part of the body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\nab"},
		{"an invalid answer", "\x00\x01\x02\r\n\r\n"},
		{"an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nX-Signed: y\r\nContent-Length: 0\r\n\r\n"},
		{"a success without signature", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			var runs atomic.Int32
			target := rawTarget(t, func(k net.Conn, _ string) {
				runs.Add(1)
				_, _ = io.WriteString(k, c.sent)
				_ = k.Close()
			})
			address, _ := twoNodes(t, echoDialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			status, _, err := ask(t, client, address, "1", time.Second)
			if err != nil || (status != http.StatusBadGateway && status != http.StatusGatewayTimeout) {
				t.Errorf("status %d, %v", status, err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}
