package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
)

// TestAnswersWithoutEndAreGivenUp has a target send bytes until its connection is
// closed. The caller never takes them for a whole answer, the target is left at
// the deadline or before, and neither node uses much memory.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const left = 700 * time.Millisecond
	tests := []struct {
		name string
		head func(id string) string
		part string
		// period is the pause between the parts.
		period time.Duration
		// settled says that the head tells all.
		settled bool
	}{
		{"a head", func(string) string { return "HTTP/1.1 200 OK\r\nX-A: " }, strings.Repeat("a", 4096), 0, false},
		{"a head, slowly", func(string) string { return "HTTP/1.1 200 OK\r\n" }, "X-A: a\r\n", 10 * time.Millisecond, false},
		{"signs of life", func(string) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n", 0, false},
		{"signs of life, slowly", func(string) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n", 100 * time.Millisecond, false},
		{"chunks", func(id string) string { return signed(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", 0, false},
		{"chunks, slowly", func(id string) string { return signed(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "1\r\na\r\n", 10 * time.Millisecond, false},
		{"no length", func(id string) string { return signed(id) + "\r\n" }, strings.Repeat("a", 4096), 0, false},
		{"no length, slowly", func(id string) string { return signed(id) + "\r\n" }, "a", 10 * time.Millisecond, false},
		{"a large length, slowly", func(id string) string { return signed(id) + "Content-Length: 9000000\r\n\r\n" }, "a", 10 * time.Millisecond, false},
		{"a rejection", func(id string) string {
			return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		}, "1\r\na\r\n", 10 * time.Millisecond, true},
	}
	for _, c := range tests {
		// Floods at full speed would slow each other down.
		eachHop(t, c.name, c.period > 0, func(t *testing.T, remote bool) {
			ended := make(chan struct{}, 16)
			target := rawTarget(t, func(k net.Conn, head string) {
				_, err := io.WriteString(k, c.head(headerOf(head, "X-Id")))
				for err == nil {
					time.Sleep(c.period)
					_ = k.SetWriteDeadline(time.Now().Add(5 * time.Second))
					_, err = io.WriteString(k, c.part)
				}
				ended <- struct{}{}
			})
			address, gate := twoNodes(t, echoDialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			begun := time.Now()
			status, body, err := ask(t, client, address, http.MethodPost, "1", left)
			if err == nil && status < http.StatusMultipleChoices {
				t.Errorf("got status %d and %d bytes as a whole answer", status, len(body))
			}
			bound := left + 500*time.Millisecond
			if c.settled {
				bound = left / 2
			}
			if d := time.Since(begun); d > bound {
				t.Errorf("the caller waited for %s", d)
			}
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Error("the target is still read")
			}
			awaitIdle(t, gate)
		})
	}
}

func awaitIdle(t *testing.T, g *gatekeeper.Gate) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); g.Running() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d requests still hold slots", g.Running())
			return
		}
	}
}

// TestCallersWhoDoNotReadLoseTheirStream asks for an answer without end and reads
// none of it. The target's slot is free again soon after the deadline.
func TestCallersWhoDoNotReadLoseTheirStream(t *testing.T) {
	eachHop(t, "not at all", false, func(t *testing.T, remote bool) {
		target := rawTarget(t, func(k net.Conn, head string) {
			_, err := io.WriteString(k, signed(headerOf(head, "X-Id"))+"Transfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(k, "1000\r\n"+strings.Repeat("a", 4096)+"\r\n")
			}
		})
		address, gate := twoNodes(t, echoDialect, target, remote)
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Left: 500\r\n\r\n")
		time.Sleep(700 * time.Millisecond)
		awaitIdle(t, gate)
	})
}

// TestFloodLeavesMemory has twenty requests meet endless heads and bodies for 5 s.
// The heap stays within 64 MB of what it was, for each node that they pass.
func TestFloodLeavesMemory(t *testing.T) {
	const bound = 64 << 20
	eachHop(t, "heads and bodies", false, func(t *testing.T, remote bool) {
		nodes := uint64(1)
		if remote {
			nodes = 2
		}
		base, peak := flood(t, remote)
		if peak > base+nodes*bound {
			t.Errorf("%d MB in use, %d MB at rest, %d nodes", peak>>20, base>>20, nodes)
		}
	})
}

// flood returns the bytes in use before and at the peak.
func flood(t *testing.T, remote bool) (base, peak uint64) {
	t.Helper()
	var n atomic.Int32
	target := rawTarget(t, func(k net.Conn, head string) {
		h, p := "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 4096)
		if n.Add(1)%2 == 0 {
			h, p = signed(headerOf(head, "X-Id"))+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+p+"\r\n"
		}
		_, err := io.WriteString(k, h)
		for b := []byte(p); err == nil; {
			_, err = k.Write(b)
		}
	})
	address, _ := twoNodes(t, echoDialect, target, remote)
	runtime.GC()
	base = inUse()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for i := range 20 {
		go func() {
			for k := 0; ctx.Err() == nil; k++ {
				_, _ = discard(ctx, client, address, fmt.Sprintf("%d-%d", i, k))
			}
		}()
	}
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		peak = max(peak, inUse())
	}
	return base, peak
}

func inUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// discard asks for an answer and throws it away as it comes.
func discard(ctx context.Context, client *http.Client, address, id string) (int64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Left", "500")
	a, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	return io.Copy(io.Discard, a.Body)
}
