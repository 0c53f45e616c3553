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

// TestEndlessAnswersAreAborted has a target send bytes until its connection is closed.
// The caller must not receive them as a complete answer, and the connection to the
// target must be closed, and its slot released, soon after the deadline.
func TestEndlessAnswersAreAborted(t *testing.T) {
	const left = 700 * time.Millisecond
	tests := []struct {
		name string
		head func(id string) string
		part string
		// period is the pause between the parts.
		period time.Duration
		// settled means that the head suffices to decide the outcome.
		settled bool
	}{
		{"a head", func(string) string { return "HTTP/1.1 200 OK\r\nX-A: " }, strings.Repeat("a", 4096), 0, false},
		{"a head, slowly", func(string) string { return "HTTP/1.1 200 OK\r\n" }, "X-A: a\r\n", 10 * time.Millisecond, false},
		{"interim responses", func(string) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n", 0, false},
		{"interim responses, slowly", func(string) string { return "" }, "HTTP/1.1 102 Processing\r\n\r\n", 100 * time.Millisecond, false},
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
		// Targets that send at full speed would slow each other down in parallel.
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
			status, body, err := ask(t, client, address, "1", left)
			if err == nil && status < http.StatusMultipleChoices {
				t.Errorf("got a complete answer with status %d and %d bytes", status, len(body))
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
				t.Error("the connection to the target is still open after the deadline")
			}
			awaitIdle(t, gate)
		})
	}
}

func awaitIdle(t *testing.T, g *gatekeeper.Gate) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); g.Running() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d requests still occupy slots", g.Running())
			return
		}
	}
}

// TestAnswersToStalledCallersAreAborted requests an endless answer and reads none of it.
// The target's slot must be released soon after the deadline.
func TestAnswersToStalledCallersAreAborted(t *testing.T) {
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

// TestEndlessAnswersUseBoundedMemory runs 20 concurrent requests for 5 s against a target
// with endless heads and bodies. Heap and stacks must grow by at most 64 MB for each
// node on the path.
func TestEndlessAnswersUseBoundedMemory(t *testing.T) {
	const bound = 64 << 20
	eachHop(t, "heads and bodies", false, func(t *testing.T, remote bool) {
		nodes := uint64(1)
		if remote {
			nodes = 2
		}
		base, peak := measureEndless(t, remote)
		if peak > base+nodes*bound {
			t.Errorf("%d MB in use at the peak, %d MB before, %d nodes", peak>>20, base>>20, nodes)
		}
	})
}

// measureEndless returns the memory in use before the requests and at the peak, in bytes.
func measureEndless(t *testing.T, remote bool) (base, peak uint64) {
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
	base = memoryInUse()
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
		peak = max(peak, memoryInUse())
	}
	return base, peak
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// discard sends a request and discards the body of its answer.
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
