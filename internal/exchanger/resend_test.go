package exchanger

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

func newDistinctClient() *Client {
	return New(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, DistinctRequests: true}, &meter.Traffic{})
}

// TestLateCopyIsNotTheResponseToAResend guards against the second copy of a response that
// arrives late: the same request, sent again meanwhile, must get its own response.
func TestLateCopyIsNotTheResponseToAResend(t *testing.T) {
	tests := []struct {
		name string
		// ids are the requests in the order in which they are sent, and repeated the one
		// whose first response is sent again.
		ids      []string
		repeated string
		// after is the number of the request, from 0, before whose response on the same
		// connection the copy is sent.
		after int
	}{
		{"at once", []string{"1", "1"}, "1", 1},
		{"twice", []string{"1", "1", "1"}, "1", 1},
		{"after another request", []string{"1", "2", "1"}, "1", 2},
		{"before another request", []string{"1", "2", "1", "2"}, "1", 1},
		{"after two others", []string{"1", "2", "3", "2", "1"}, "2", 3},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var mu sync.Mutex
			sent := 0
			a, _ := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
				var copied string
				for served := 0; ; served++ {
					r, ok := next()
					if !ok {
						return
					}
					id := r.Header.Get(idHeader)
					mu.Lock()
					body := itoa(sent)
					sent++
					mu.Unlock()
					if served == c.after {
						_, _ = io.WriteString(k, copied)
					}
					o := okResponse(id, body)
					if id == c.repeated && copied == "" {
						copied = o
					}
					_, _ = io.WriteString(k, o)
				}
			})
			x := newDistinctClient()
			for i, id := range c.ids {
				if b, err := exchangeOnce(t, x, a, id); err != nil || b != itoa(i) {
					t.Errorf("request %d, with ID %s: got %q, %v", i, id, b, err)
				}
			}
		})
	}
}

// TestConnectionsRememberBoundedRequests checks that a connection is closed once it holds
// the most IDs that it may, and that an ID is sent once on a connection until then.
func TestConnectionsRememberBoundedRequests(t *testing.T) {
	var mu sync.Mutex
	var carried [][]string
	a, accepted := serve(t, func(k net.Conn, next func() (*http.Request, bool)) {
		mu.Lock()
		n := len(carried)
		carried = append(carried, nil)
		mu.Unlock()
		for {
			r, ok := next()
			if !ok {
				return
			}
			id := r.Header.Get(idHeader)
			mu.Lock()
			carried[n] = append(carried[n], id)
			mu.Unlock()
			_, _ = io.WriteString(k, okResponse(id, "x"))
		}
	})
	c := newDistinctClient()
	for i := range 2*maxDistinctRequests + 1 {
		if _, err := exchangeOnce(t, c, a, strconv.Itoa(i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := accepted.Load(); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
	for i := range 64 {
		if _, err := exchangeOnce(t, c, a, strconv.Itoa(2*maxDistinctRequests-i%2)); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i, l := range carried {
		slices.Sort(l)
		if d := slices.Compact(slices.Clone(l)); len(l) > maxDistinctRequests || len(d) != len(l) {
			t.Errorf("connection %d carried %d requests, %d different ones", i, len(l), len(d))
		}
	}
}
