package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestStalledBodiesAreAnsweredInTime guards against callers that stall inside a body and are
// waited for beyond their deadline: each gets an answer soon after it, no slot stays held,
// and many of them take little memory.
func TestStalledBodiesAreAnsweredInTime(t *testing.T) {
	const (
		callers   = 200
		left      = 600 * time.Millisecond
		slack     = 500 * time.Millisecond
		maxMemory = 96 << 20
	)
	for _, sent := range []int{100, replayBytes / 2, replayBytes + 1, 2 * replayBytes} {
		eachHop(t, fmt.Sprintf("%d bytes sent", sent), false, func(t *testing.T, remote bool) {
			s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			defer s.Close()
			address, gate := twoNodes(t, DefaultDialect, s.Listener.Addr().String(), remote)
			part := strings.Repeat("x", sent)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			answered := make(chan error, callers)
			for i := range callers {
				go func() { answered <- stall(address, i, part, left, left+slack) }()
			}
			time.Sleep(left / 2)
			runtime.ReadMemStats(&after)
			if m := int64(after.HeapInuse) - int64(before.HeapInuse); m > maxMemory {
				t.Errorf("%d callers that stall take %d MB", callers, m>>20)
			}
			for range callers {
				if err := <-answered; err != nil {
					t.Errorf("%v, %s after the first request", err, time.Since(began).Round(time.Millisecond))
					return
				}
			}
			for end := time.Now().Add(slack); gate.Running() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := gate.Running(); n != 0 {
				t.Errorf("%d slots are held", n)
			}
		})
	}
}

// stall sends a part of a body and waits for an answer other than a success.
func stall(address string, number int, part string, left, wait time.Duration) error {
	k, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = k.Close() }()
	_, _ = fmt.Fprintf(k, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		RequestHeader, number, DeadlineHeader, left.Milliseconds(), 4*replayBytes, part)
	_ = k.SetReadDeadline(time.Now().Add(wait))
	r, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode < http.StatusBadRequest {
		return fmt.Errorf("answered %d", r.StatusCode)
	}
	return nil
}
