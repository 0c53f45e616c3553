package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

var troubleLimits = router.Limits{Slots: 256, Connections: 256, Queue: 4, MaxBodyBytes: 1 << 10}

// echoDialect is one in which targets repeat the identifier and sign.
var echoDialect = Dialect{
	Request: "X-Id", Deadline: "X-Left", NotRun: "X-Not-Run", Signature: "X-Signed",
	EchoesRequest: true, Reserved: "X-Own-",
}

// rawTarget hands each request that arrives to serve, which writes what it likes.
func rawTarget(t *testing.T, serve func(c net.Conn, head string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, serve)
		}
	}()
	return l.Addr().String()
}

func serveRaw(c net.Conn, serve func(c net.Conn, head string)) {
	defer func() { _ = c.Close() }()
	b := make([]byte, 4096)
	head := ""
	for {
		n, err := c.Read(b)
		head += string(b[:n])
		if h, rest, ok := strings.Cut(head, "\r\n\r\n"); ok {
			serve(c, h)
			head = rest
		}
		if err != nil {
			return
		}
	}
}

// headerOf returns a header of a request as it was sent.
func headerOf(head, name string) string {
	for l := range strings.SplitSeq(head, "\r\n") {
		if n, v, ok := strings.Cut(l, ": "); ok && strings.EqualFold(n, name) {
			return v
		}
	}
	return ""
}

// twoNodes returns the server of an entry, and the gate of its only target, which
// is beside another node, or beside the same one.
func twoNodes(t *testing.T, d Dialect, target string, remote bool) (address string, gate *gatekeeper.Gate) {
	t.Helper()
	var traffic meter.Traffic
	e, g := newEntry(t, target, troubleLimits)
	e.dialect = d
	e.gate.dialect = d
	if remote {
		p := httptest.NewUnstartedServer(e.gate)
		p.Config = connector.NewServer(e.gate).Server
		p.Start()
		t.Cleanup(p.Close)
		m := gossiper.Member{Node: "other", PeerAddress: p.Listener.Addr().String(), Targets: []gossiper.Target{{Service: "s", Address: target, Slots: 4}}}
		v := gossiper.ViewOf([]gossiper.Member{m})
		e.view = func() *gossiper.View { return v }
		e.peers = connector.NewPeers(&traffic, "")
	}
	s := httptest.NewUnstartedServer(e)
	s.Config = connector.NewServer(e).Server
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), g
}

// ask sends a request over client and returns what its caller sees: the status, and
// the body if it looks complete.
func ask(t *testing.T, client *http.Client, address, method, id string, left time.Duration) (status int, body string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Left", strconv.Itoa(int(left.Milliseconds())))
	r.Header.Set(DeadlineHeader, strconv.Itoa(int(left.Milliseconds())))
	a, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	return a.StatusCode, string(b), err
}

// eachHop runs f for a target beside the entry's node and for one beside another.
func eachHop(t *testing.T, name string, parallel bool, f func(t *testing.T, remote bool)) {
	t.Helper()
	for _, remote := range []bool{false, true} {
		t.Run(fmt.Sprintf("%s, remote %v", name, remote), func(t *testing.T) {
			if parallel {
				t.Parallel()
			}
			f(t, remote)
		})
	}
}

func signed(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: y\r\n"
}

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
		{"behind the answer, own interface", OwnDialect, false},
		{"when the next request has come, own interface", OwnDialect, true},
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

// TestCutAnswersNeverLookWhole cuts a small answer at each of its bytes, for every
// framing, by a close or a reset.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	tests := []struct {
		name   string
		answer func(id string) string
		reset  bool
		// closes says that the end of the connection ends the body, so that a cut
		// inside the body can not be told from its end.
		closes bool
	}{
		{"a length", func(id string) string { return signed(id) + "Content-Length: 4\r\n\r\nabcd" }, false, false},
		{"a length, reset", func(id string) string { return signed(id) + "Content-Length: 4\r\n\r\nabcd" }, true, false},
		{"chunks", func(id string) string {
			return signed(id) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
		}, false, false},
		{"chunks, reset", func(id string) string {
			return signed(id) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
		}, true, false},
		{"no length, reset", func(id string) string { return signed(id) + "\r\nabcd" }, true, false},
		{"no length", func(id string) string { return signed(id) + "\r\nabcd" }, false, true},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			target := rawTarget(t, func(k net.Conn, head string) {
				id := headerOf(head, "X-Id")
				cut, _ := strconv.Atoi(id)
				_, _ = io.WriteString(k, c.answer(id)[:cut])
				if n, ok := k.(*net.TCPConn); ok && c.reset {
					// What was sent arrives before the reset does.
					time.Sleep(2 * time.Millisecond)
					_ = n.SetLinger(0)
				}
				_ = k.Close()
			})
			address, _ := twoNodes(t, echoDialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			n := len(c.answer("00"))
			if c.closes {
				n -= len("abcd")
			}
			var g sync.WaitGroup
			for i := range n {
				g.Go(func() {
					status, body, err := ask(t, client, address, http.MethodPost, fmt.Sprintf("%02d", i), time.Second)
					if err == nil && status < http.StatusInternalServerError {
						t.Errorf("cut after %d bytes: status %d, body %q", i, status, body)
					}
				})
			}
			g.Wait()
		})
	}
}

// TestLostAnswersAreNoPromise loses the answer of a request that must not be
// repeated, before and behind its head. It runs once, and its caller is not told
// that it did not.
func TestLostAnswersAreNoPromise(t *testing.T) {
	tests := []struct {
		name string
		sent string
	}{
		{"nothing arrives", ""},
		{"a part of the head", "HTTP/1.1 200 OK\r\nX-"},
		{"the head", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\n"},
		{"a part of the body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: y\r\nContent-Length: 4\r\n\r\nab"},
		{"an answer that is no answer", "\x00\x01\x02\r\n\r\n"},
		{"an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nX-Signed: y\r\nContent-Length: 0\r\n\r\n"},
		{"a success without signature", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range tests {
		eachHop(t, c.name, true, func(t *testing.T, remote bool) {
			var runs atomic.Int32
			target := rawTarget(t, func(k net.Conn, _ string) {
				runs.Add(1)
				_, _ = io.WriteString(k, c.sent)
				_ = k.Close()
			})
			address, _ := twoNodes(t, echoDialect, target, remote)
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			status, _, err := ask(t, client, address, http.MethodPost, "1", time.Second)
			if err != nil || (status != http.StatusBadGateway && status != http.StatusGatewayTimeout) {
				t.Errorf("status %d, %v", status, err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

// TestNodesInOutageAreAskedWhenTheOthersHaveLeft covers the seconds after a
// partition has healed: the only target that can be reached drains, and the node
// of the other one is still taken for unreachable.
func TestNodesInOutageAreAskedWhenTheOthersHaveLeft(t *testing.T) {
	tests := []struct {
		name   string
		refuse func(g *gatekeeper.Gate)
		status int
		runs   int32
	}{
		{"left", func(g *gatekeeper.Gate) { g.Drain() }, http.StatusOK, 1},
		{"full", func(g *gatekeeper.Gate) { g.Limit(router.Limits{}) }, http.StatusServiceUnavailable, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			defer s.Close()
			far := s.Listener.Addr().String()
			var r registrar.Registrar
			r.Announce(registrar.Announcement{Service: "s", Address: far, Instance: "j"}, troubleLimits, time.Now())
			p := httptest.NewServer(NewGate(&r, nobody{}, OwnDialect, &meter.Traffic{}))
			defer p.Close()
			const near = "127.0.0.1:1"
			e, gate := newEntry(t, near, troubleLimits)
			v := gossiper.ViewOf([]gossiper.Member{
				{Node: "n", PeerAddress: "127.0.0.1:1", Targets: []gossiper.Target{{Service: "s", Address: near, Slots: 4}}},
				{Node: "other", PeerAddress: p.Listener.Addr().String(), Targets: []gossiper.Target{{Service: "s", Address: far, Slots: 4}}},
			})
			e.view = func() *gossiper.View { return v }
			e.outages.add(p.Listener.Addr().String(), time.Now())
			c.refuse(gate)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil))
			if w.Code != c.status || runs.Load() != c.runs {
				t.Errorf("status %d after %d runs, expected %d after %d: %s", w.Code, runs.Load(), c.status, c.runs, w.Body)
			}
		})
	}
}
