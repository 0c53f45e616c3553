package exchanger

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkExchange measures exchanges with a small response on one persistent
// connection.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		p := make([]byte, 4096)
		a := []byte(okResponse("1", "small response"))
		for err == nil {
			if _, err = c.Read(p); err == nil {
				_, err = c.Write(a)
			}
		}
	}()
	c := newTestClient(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		r, err := c.Do(b.Context(), l.Addr().String(), newRequest("1"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Status != http.StatusOK {
			b.Fatalf("status %d", r.Status)
		}
	}
}
