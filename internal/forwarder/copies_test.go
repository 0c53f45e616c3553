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

// TestLateCopiesReachNobody has a target send a second copy of each answer on its
// connection: at once, or when the next request has arrived.
func TestLateCopiesReachNobody(t *testing.T) {
	whole := func(id string) string {
		return signed(id) + "Content-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
	}
	tests := []struct {
		name    string
		dialect Dialect
		// late sends the copy before the next answer, and not behind its own one.
		late bool
	}{
		{"behind the answer", echoDialect, false},
		{"when the next request has come", echoDialect, true},
		{"behind the answer, own interface", DefaultDialect, false},
		{"when the next request has come, own interface", DefaultDialect, true},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			target := rawTarget(t, lateCopies(c.dialect.Request, whole, c.late))
			address, _ := twoNodes(t, c.dialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			served := 0
			for i := range 20 {
				id := "r" + strconv.Itoa(i)
				status, body, err := askAs(t, client, address, c.dialect.Request, id)
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

// lateCopies answers with the identifier in header and sends copies.
func lateCopies(header string, whole func(id string) string, late bool) func(net.Conn, string) {
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

func askAs(t *testing.T, client *http.Client, address, header, id string) (status int, body string, err error) {
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
