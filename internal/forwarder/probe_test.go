package forwarder

import (
	"io"
	"net"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
)

// TestMalformedProbeAnswersNameNoTarget guards against a malformed answer to a health check
// that is taken for the word of a healthy target.
func TestMalformedProbeAnswersNameNoTarget(t *testing.T) {
	const self = "X-Self: i\r\n"
	tests := []struct {
		name, answer string
		fails        bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n" + self + "Content-Length: 0\r\n\r\n", false},
		{"status 000 before a whole answer", "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + self + "Content-Length: 0\r\n\r\n", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\n" + self + "X A: b\r\nContent-Length: 0\r\n\r\n", true},
		{"blank before the colon", "HTTP/1.1 200 OK\r\n" + self + "Content-Length : 0\r\n\r\n", true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := rawTarget(t, func(k net.Conn, _ string) {
				_, _ = io.WriteString(k, c.answer)
				_ = k.Close()
			})
			g := NewGate(&registrar.Registrar{}, noCrashes{}, Dialect{Self: "X-Self"}, &meter.Traffic{})
			a, err := g.Probe(t.Context(), "s", address, "/health")
			if (err != nil) != c.fails || !c.fails && a.Instance != "i" {
				t.Errorf("got %q, %v", a.Instance, err)
			}
		})
	}
}

// TestParseSlots guards against a load header whose slots are not found because it states
// more than three figures.
func TestParseSlots(t *testing.T) {
	tests := []struct {
		header string
		want   int
	}{
		{"2,0,6", 6},
		{"2, 0, 6", 6},
		{"2,0,6,100", 6},
		{"2,0,6,250", 6},
		{"2,0,6,100,7", 6},
		{"", 0},
		{"2,0", 0},
		{"2,0,x", 0},
		{"2,0,-1", 0},
		{"2,0,6,x", 0},
	}
	for _, c := range tests {
		if n := parseSlots(c.header); n != c.want {
			t.Errorf("%q: got %d slots, want %d", c.header, n, c.want)
		}
	}
}
