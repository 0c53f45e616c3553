package forwarder

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestDuplicateAnswersAreDiscarded has a target send a second copy of each answer on the
// same connection, either immediately or when the next request has arrived. The copy
// must not become the answer to another request.
func TestDuplicateAnswersAreDiscarded(t *testing.T) {
	whole := func(id string) string {
		return signed(id) + "Content-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
	}
	tests := []struct {
		name    string
		dialect Dialect
		// late sends the copy before the next answer instead of after its own.
		late bool
	}{
		{"after the answer", echoDialect, false},
		{"before the next answer", echoDialect, true},
		{"after the answer, default dialect", DefaultDialect, false},
		{"before the next answer, default dialect", DefaultDialect, true},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			target := rawTarget(t, duplicateAnswers(c.dialect.Request, whole, c.late))
			address, _ := twoNodes(t, c.dialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			served := 0
			for i := range 20 {
				id := "r" + strconv.Itoa(i)
				status, body, err := get(t, client, address, c.dialect.Request, id)
				if err == nil && status == http.StatusOK {
					served++
					if body != id {
						t.Fatalf("request %q got the answer %q", id, body)
					}
				}
			}
			if served < 15 {
				t.Errorf("%d of 20 requests were served", served)
			}
		})
	}
}

// duplicateAnswers returns a handler that answers with the identifier in header and
// sends each answer twice.
func duplicateAnswers(header string, whole func(id string) string, late bool) func(net.Conn, string) {
	var mu sync.Mutex
	last := make(map[net.Conn]string)
	return func(k net.Conn, head string) {
		id := headerOf(head, header)
		a := strings.Replace(whole(id), "X-Id", header, 1)
		mu.Lock()
		before := last[k]
		last[k] = a
		mu.Unlock()
		if late {
			_, _ = io.WriteString(k, before+a)
			return
		}
		_, _ = io.WriteString(k, a+a)
	}
}

func get(t *testing.T, client *http.Client, address, header, id string) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(header, id)
	a, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// TestLateRejectionIsNotTheVerdictOfAResend has a target reject each request once, and
// send the rejection again before its next response on the connection. A request that is
// sent to the target again runs, and its caller must not be told that it has not.
func TestLateRejectionIsNotTheVerdictOfAResend(t *testing.T) {
	const requests = 8
	eachHop(t, "rejected once", true, func(t *testing.T, remote bool) {
		var mu sync.Mutex
		arrived, runs := make(map[string]int), make(map[string]int)
		late := make(map[net.Conn]string)
		target := rawTarget(t, func(k net.Conn, head string) {
			id := headerOf(head, echoDialect.Request)
			mu.Lock()
			defer mu.Unlock()
			_, _ = io.WriteString(k, late[k])
			delete(late, k)
			if arrived[id]++; arrived[id] == 1 {
				late[k] = "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				_, _ = io.WriteString(k, late[k])
				return
			}
			runs[id]++
			_, _ = io.WriteString(k, signed(id)+"Content-Length: 0\r\n\r\n")
		})
		address, _ := twoNodes(t, echoDialect, target, remote)
		client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
		for i := range requests {
			id := "r" + strconv.Itoa(i)
			status, _, err := ask(t, client, address, id, time.Second)
			mu.Lock()
			if err != nil || runs[id] > 1 || (status == http.StatusServiceUnavailable && runs[id] > 0) {
				t.Errorf("request %s: status %d, %v; it arrived %d times and ran %d times", id, status, err, arrived[id], runs[id])
			}
			mu.Unlock()
		}
		mu.Lock()
		defer mu.Unlock()
		if len(runs) == 0 {
			t.Error("no request was sent to the target again")
		}
	})
}
