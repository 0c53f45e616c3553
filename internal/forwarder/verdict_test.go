package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// behavior is what a target does with a request that arrives.
type behavior struct {
	name string
	// runs says that the request runs, and rejects that the target states that it does not.
	runs, rejects bool
	// late says that the response is sent again, before the next one on the connection.
	late bool
	// cut is how many bytes of the response are not sent before the connection ends.
	cut int
	// before and after are sent around the response.
	before, after string
	// ends closes the connection after the response, silent before it.
	ends, silent bool
}

var behaviors = []behavior{
	{name: "run", runs: true},
	{name: "run, late copy", runs: true, late: true},
	{name: "run, copy at once", runs: true, after: "copy"},
	{name: "run, truncated", runs: true, cut: 3},
	{name: "run, no response", runs: true, silent: true},
	{name: "run, garbage first", runs: true, before: "\x00\x01\r\n\r\n"},
	{name: "run, garbage after", runs: true, after: "HTTP/1.1 200 "},
	{name: "run, interim response", runs: true, before: "HTTP/1.1 102 Processing\r\n\r\n"},
	{name: "run, connection ends", runs: true, ends: true},
	{name: "reject", rejects: true},
	{name: "reject, late copy", rejects: true, late: true},
	{name: "reject, copy at once", rejects: true, after: "copy"},
	{name: "reject, connection ends", rejects: true, ends: true},
	{name: "reject, truncated", rejects: true, cut: 3},
	{name: "misdirected, late copy", late: true},
	{name: "close", silent: true},
}

// scriptedTarget does what next says with each request, and counts the runs of each.
type scriptedTarget struct {
	mu   sync.Mutex
	next behavior
	runs map[string]int
	late map[net.Conn]string
}

func (s *scriptedTarget) serve(k net.Conn, head string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, b := headerOf(head, echoDialect.Request), s.next
	if b.runs {
		s.runs[id]++
	}
	if b.silent {
		_ = k.Close()
		return
	}
	r := s.response(id)
	whole := r
	r = r[:len(r)-b.cut]
	after := b.after
	if after == "copy" {
		after = whole
	}
	_, _ = io.WriteString(k, s.late[k]+b.before+r+after)
	delete(s.late, k)
	if b.late {
		s.late[k] = whole
	}
	if b.ends || b.cut > 0 {
		_ = k.Close()
	}
}

// response returns the response to a request, whose body tells how often it has run.
func (s *scriptedTarget) response(id string) string {
	switch {
	case s.next.runs:
		body := fmt.Sprintf("%s ran %d times", id, s.runs[id])
		return signed(id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case s.next.rejects:
		return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	}
	return "HTTP/1.1 421 Misdirected Request\r\nX-Id: " + id + "\r\nContent-Length: 5\r\n\r\nother"
}

// TestVerdictsMatchRuns has a target behave in any order of ways while requests are sent and
// sent again as an entry does: once more after a verdict that the request has not run. Each
// verdict must agree with what the target ran, and each answer must be that of the last run.
func TestVerdictsMatchRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedTarget{runs: make(map[string]int), late: make(map[net.Conn]string)}
		a, stop := startRaw(t, s.serve)
		defer stop()
		var r registrar.Registrar
		announce := func(n uint64) {
			r.Announce(registrar.Announcement{Service: "s", Address: a, Instance: "i", StartedAtUnixMS: 1, Sequence: n}, router.Limits{Slots: 4, Connections: 4}, time.Now())
		}
		d := echoDialect
		d.Instance = "X-Instance"
		g := NewGate(&r, noCrashes{}, d, &meter.Traffic{})
		id := ""
		for n := range rapid.IntRange(1, 12).Draw(t, "sends") {
			// The target is announced again after a misdirected request.
			announce(uint64(n + 1))
			if id == "" || rapid.Bool().Draw(t, "new request") {
				id = fmt.Sprintf("r%d", n)
			}
			b := rapid.SampledFrom(behaviors).Draw(t, "behavior")
			s.mu.Lock()
			s.next = b
			before := s.runs[id]
			s.mu.Unlock()
			verdict, body := send(t, g, a, id)
			s.mu.Lock()
			ran := s.runs[id] - before
			want := fmt.Sprintf("%s ran %d times", id, s.runs[id])
			s.mu.Unlock()
			switch {
			case verdict == "answered" && (ran != 1 || body != want):
				t.Fatalf("%s: answered %q, but it ran %d times now", b.name, body, ran)
			case verdict == "not_run" && ran != 0:
				t.Fatalf("%s: %s was reported as not run and ran", b.name, id)
			}
			if verdict != "not_run" {
				id = ""
			}
		}
	})
}

// send sends a request once and returns its verdict, and the body of an answer.
func send(t *rapid.T, g *Gate, target, id string) (verdict, body string) {
	t.Helper()
	c := newCall(target, http.MethodPost, "x", false)
	c.request = id
	c.header.Set(echoDialect.Request, id)
	c.deadline = time.Now().Add(time.Second)
	r, err := g.do(t.Context(), c)
	if err != nil {
		return classifier.VerdictOf(err).String(), ""
	}
	return "answered", string(r.held)
}

// startRaw is rawTarget for a single run of a property.
func startRaw(t *rapid.T, serve func(k net.Conn, head string)) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, func(k net.Conn, head string) {
				// A request has a body of one byte, which follows the head.
				serve(k, strings.TrimPrefix(head, "x"))
			})
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }
}
