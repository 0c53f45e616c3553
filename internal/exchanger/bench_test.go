package exchanger

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkExchange makes exchanges with a small answer on one kept connection.
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
		a := []byte(answer("1", "an answer"))
		for err == nil {
			if _, err = c.Read(p); err == nil {
				_, err = c.Write(a)
			}
		}
	}()
	c := newClient(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		r, err := c.Do(b.Context(), l.Addr().String(), request("1"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Status != http.StatusOK {
			b.Fatalf("status %d", r.Status)
		}
	}
}
