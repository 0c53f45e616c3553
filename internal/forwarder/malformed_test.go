package forwarder

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// TestMalformedAnswersReachNoCaller guards against what is no whole answer of a target and
// reaches the caller as one, from the target beside the node or by way of another node, at once
// or as the answer that is kept for the repeats of a key.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	const upload = 4 << 20
	tests := []struct {
		name, answer string
		// body is the length of the request's body.
		body int
	}{
		{"a part without a length before a reset, during an upload", signed("1") + "\r\n" + strings.Repeat("x", 3000), upload},
		{"a part whose rest the reset discards", signed("1") + "\r\n" + strings.Repeat("x", 2*maxBufferedBytesUnknownLength), upload},
		{"status 000", odd("000", "X-A: b"), 0},
		{"status 000 before a whole answer", "HTTP/1.1 000 None\r\nX-Id: 1\r\n\r\n" + odd("200", "X-A: b"), 0},
		{"status 099", odd("099", "X-A: b"), 0},
		{"status +20", odd("+20", "X-A: b"), 0},
		{"status 600", odd("600", "X-A: b"), 0},
		{"status 101 before a whole answer", "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n" + odd("200", "X-A: b"), 0},
		{"blank in a name", odd("200", "X A: b"), 0},
		{"blank before the colon", odd("200", "X-A : b"), 0},
		{"two blanks before the colon", odd("200", "X-A  : b"), 0},
		{"tab before the colon", odd("200", "X-A\t: b"), 0},
		{"control byte in a name", odd("200", "X-\x01A: b"), 0},
		{"carriage return in a name", odd("200", "X-A\r: b"), 0},
		{"no name", odd("200", ": b"), 0},
		{"control byte in a value", odd("200", "X-A: b\x00c"), 0},
		{"blank after Content-Length", strings.Replace(odd("200", "X-A: b"), "Content-Length:", "Content-Length :", 1), 0},
		{"blank after Transfer-Encoding", signed("1") + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0},
		{"blank in a name of an interim response", "HTTP/1.1 102 Processing\r\nX A: b\r\n\r\n" + odd("200", "X-A: b"), 0},
		{"protocol HTTP/2.0", strings.Replace(odd("200", "X-A: b"), "HTTP/1.1", "HTTP/2.0", 1), 0},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			target := rawTarget(t, func(k net.Conn, _ string) {
				_, _ = io.WriteString(k, c.answer)
				// The answer arrives before the end of the connection, which is a reset if a
				// part of the request's body is unread.
				time.Sleep(20 * time.Millisecond)
				_ = k.Close()
			})
			n := newPathNode(t, "other", target, nil)
			front := n
			if remote {
				front = newPathNode(t, "n", "127.0.0.1:1", nil)
			}
			v := gossiper.NewView([]gossiper.Member{n.member})
			front.entry.view = func() *gossiper.View { return v }
			address := receive(t, front.entry)
			checkBadGateway(t, address, "", c.body)
			if !remote {
				// The other node is the home of no key here.
				checkBadGateway(t, address, "k", c.body)
				checkBadGateway(t, address, "k", c.body)
			}
		})
	}
}

// checkBadGateway sends request "1" with an idempotency key, unless it is empty, and checks
// that the answer is one of the entry's own and promises nothing.
func checkBadGateway(t *testing.T, address, key string, body int) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", bytes.NewReader(make([]byte, body)))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("X-Id", "1")
	if key != "" {
		q.Header.Set("X-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if s := r.Header.Get("X-Signed"); r.StatusCode != http.StatusBadGateway || s != "" {
		t.Errorf("key %q: the caller got %d with %d bytes, signature %q, %v", key, r.StatusCode, len(b), s, err)
	}
	if s := r.Header.Get("X-Verdict"); s != "may_have_run" {
		t.Errorf("key %q: the verdict is %q", key, s)
	}
}

// odd returns an answer to request "1" with a status and a header line of its own.
func odd(status, line string) string {
	return "HTTP/1.1 " + status + " Odd\r\nX-Id: 1\r\nX-Signed: y\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"
}
