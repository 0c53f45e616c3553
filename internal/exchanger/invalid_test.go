package exchanger

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestInvalidRequestsAreNotSent guards against requests whose header is not the one that
// was meant: a part with a line break would end a header field or the whole header.
func TestInvalidRequestsAreNotSent(t *testing.T) {
	tests := []struct {
		name   string
		change func(q *Request)
	}{
		{"line break in a value", func(q *Request) { q.Header.Set("X-A", "a\r\n") }},
		{"header within a value", func(q *Request) { q.Header.Set("X-A", "a\r\nContent-Length: 0") }},
		{"single line feed", func(q *Request) { q.Header.Set("X-A", "a\nb") }},
		{"single carriage return", func(q *Request) { q.Header.Set("X-A", "a\rb") }},
		{"NUL in a value", func(q *Request) { q.Header.Set("X-A", "a\x00") }},
		{"line break in a name", func(q *Request) { q.Header["X-A: b\r\nX-B"] = []string{"c"} }},
		{"empty name", func(q *Request) { q.Header[""] = []string{"c"} }},
		{"space in the path", func(q *Request) { q.URI = "/a b" }},
		{"line break in the path", func(q *Request) { q.URI = "/a\r\nX-A: b" }},
		{"no path", func(q *Request) { q.URI = "" }},
		{"line break in the host", func(q *Request) { q.Host = "h\r\nX-A: b" }},
		{"space in the method", func(q *Request) { q.Method = "GET /a" }},
		{"no method", func(q *Request) { q.Method = "" }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, accepted := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				if _, ok := next(); ok {
					_, _ = k.Write([]byte(okResponse("1", "one")))
				}
			})
			q := newRequest("1")
			c.change(q)
			r, err := newTestClient(time.Second).Do(t.Context(), a, q)
			if err == nil {
				_ = r.Body.Close()
			}
			var x *Error
			if !errors.As(err, &x) || x.Cause != Invalid || x.Sent || accepted.Load() != 0 {
				t.Errorf("got %v, %d connections", err, accepted.Load())
			}
		})
	}
}
