package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// noCrashes is a CrashTracker without any recorded crash.
type noCrashes struct{}

func (noCrashes) Blocked(quarantiner.Fingerprint) bool   { return false }
func (noCrashes) Suspected(quarantiner.Fingerprint) bool { return false }
func (noCrashes) Strike(string, quarantiner.Strike)      {}
func newCall(target, method, content string, key bool) call {
	h := http.Header{}
	if key {
		h.Set("Idempotency-Key", "k")
	}
	return call{
		hop:    hop{purpose: toGate, service: "s", target: target, repeatable: method == http.MethodGet},
		method: method, host: "x", uri: "/x", header: h, body: &body{kept: []byte(content), length: int64(len(content))},
		request: "1", deadline: time.Now().Add(2 * time.Second),
	}
}

func newGate(t *testing.T, target string) *Gate {
	t.Helper()
	var r registrar.Registrar
	r.Announce(registrar.Announcement{Service: "s", Address: target}, router.Limits{Slots: 4, Connections: 4}, time.Now())
	return NewGate(&r, noCrashes{}, DefaultDialect, &meter.Traffic{})
}

// TestBrokenCallsAreNotRetriedByTheTransport has a target answer one request on a
// keep-alive connection and close it after reading the next one. By default,
// http.Transport retries safe methods and requests with an idempotency key.
func TestBrokenCallsAreNotRetriedByTheTransport(t *testing.T) {
	tests := []struct {
		name, method, body string
		key                bool
	}{
		{"POST with key", http.MethodPost, "five", true},
		{"POST with key, empty", http.MethodPost, "", true},
		{"POST", http.MethodPost, "five", false},
		{"GET", http.MethodGet, "", false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			a, read := breakingTarget(t)
			g := newGate(t, a)
			_, err := g.do(t.Context(), newCall(a, http.MethodGet, "", false))
			if err != nil {
				t.Fatal(err)
			}
			second := newCall(a, c.method, c.body, c.key)
			second.request = "2"
			_, err = g.do(t.Context(), second)
			if classifier.VerdictOf(err) != classifier.MayHaveRun || err == nil {
				t.Errorf("got %v", err)
			}
			time.Sleep(50 * time.Millisecond)
			if n := read.Load(); n != 2 {
				t.Errorf("the target read %d requests, expected 2", n)
			}
		})
	}
}

// breakingTarget starts a target that answers the first request of each connection and
// closes it after reading the second one. It returns the address of the target and the
// count of the requests that were read.
func breakingTarget(t *testing.T) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, &n)
		}
	}()
	return l.Addr().String(), &n
}

func answerOnce(c net.Conn, read *atomic.Int32) {
	b := bufio.NewReader(c)
	for i := range 2 {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		read.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
	_ = c.Close()
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := l.Addr().String()
	_ = l.Close()
	g := newGate(t, a)
	if _, err := g.do(t.Context(), newCall(a, http.MethodPost, "five", false)); classifier.VerdictOf(err) != classifier.NotRun {
		t.Errorf("got %v", err)
	}
	if _, err := g.do(t.Context(), newCall(a, http.MethodPost, "five", false)); !classifier.Is(err, classifier.NotFound) {
		t.Errorf("the target is still registered: %v", err)
	}
}

func TestReservedHeadersOfTargetsAreRemoved(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HopHeader, "not_run")
		w.Header().Set(VerdictHeader, "not_run")
		w.Header().Set("Keep-Alive", "x")
		w.Header().Set("X-Kept", "y")
	}))
	defer s.Close()
	a := s.Listener.Addr().String()
	r, err := newGate(t, a).do(t.Context(), newCall(a, http.MethodGet, "", false))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range []string{HopHeader, VerdictHeader, "Keep-Alive"} {
		if v := r.header.Get(h); v != "" {
			t.Errorf("%s: %s was forwarded", h, v)
		}
	}
	if r.header.Get("X-Kept") != "y" {
		t.Error("the header X-Kept was not forwarded")
	}
}

func TestSlotIsHeldUntilTheAnswerIsRead(t *testing.T) {
	tests := []struct {
		name   string
		bytes  int
		stated bool
		held   int
	}{
		{"a small answer is buffered", maxBufferedBytes - 1, true, 0},
		{"a large answer is streamed", maxBufferedBytes + 1, true, 1},
		{"a small answer without length is buffered", maxBufferedBytesUnknownLength - 1, false, 0},
		{"a large answer without length is streamed", maxBufferedBytesUnknownLength + 1, false, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.stated {
					w.Header().Set("Content-Length", strconv.Itoa(c.bytes))
				}
				_, _ = w.Write(make([]byte, c.bytes))
			}))
			defer s.Close()
			a := s.Listener.Addr().String()
			g := newGate(t, a)
			r, err := g.do(t.Context(), newCall(a, http.MethodGet, "", false))
			if err != nil {
				t.Fatal(err)
			}
			x, _ := g.registrar.Find("s", a)
			if n := x.Gate.Running(); n != c.held {
				t.Errorf("%d running before the answer was forwarded, expected %d", n, c.held)
			}
			n := len(r.held)
			if r.rest != nil {
				k, _ := io.Copy(io.Discard, r.rest)
				_ = r.rest.Close()
				n += int(k)
			}
			if n != c.bytes {
				t.Errorf("%d bytes, expected %d", n, c.bytes)
			}
			if n := x.Gate.Running(); n != 0 {
				t.Errorf("%d running after the answer was read, expected 0", n)
			}
		})
	}
}

// TestAnswersThatHaveBegunAreNotOverdue guards against answers that are cut although they
// were accepted: the timer for overdue ones fires while their first part is read.
func TestAnswersThatHaveBegunAreNotOverdue(t *testing.T) {
	const (
		// usual makes an answer overdue long after the first part of the last one.
		usual = 50 * time.Millisecond
		pause = time.Second
	)
	part := strings.Repeat("x", 1<<10)
	tests := []struct {
		name   string
		length int
		// first is written at once, and rest after the answer would be overdue.
		first, rest int
	}{
		{"with a length", 2 << 10, 1, 1},
		{"without a length", -1, 1, 1},
		{"without a length and streamed", -1, 100, 400},
		{"with a length and streamed", 2 << 20, 1 << 10, 1 << 10},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if n.Add(1) <= 30 {
					time.Sleep(usual)
					return
				}
				if c.length >= 0 {
					w.Header().Set("Content-Length", strconv.Itoa(c.length))
				}
				_, _ = io.WriteString(w, strings.Repeat(part, c.first))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
				_, _ = io.WriteString(w, strings.Repeat(part, c.rest))
			}))
			defer s.Close()
			a := s.Listener.Addr().String()
			g := newGate(t, a)
			for range 30 {
				if _, err := g.do(t.Context(), newCall(a, http.MethodGet, "", false)); err != nil {
					t.Fatal(err)
				}
			}
			k := newCall(a, http.MethodGet, "", false)
			k.abandonOverdue = true
			k.deadline = time.Now().Add(5 * time.Second)
			r, err := g.do(t.Context(), k)
			if err != nil {
				t.Fatal(err)
			}
			size := len(r.held)
			if r.rest != nil {
				m, e := io.Copy(io.Discard, r.rest)
				size, err = size+int(m), e
				r.discard()
			}
			if want := (c.first + c.rest) << 10; size != want || err != nil {
				t.Errorf("got %d bytes of %d, %v", size, want, err)
			}
		})
	}
}

// TestCutoffs guards against a context that ends after its cutoff was lifted in time, and
// against an answer that is accepted although its rest is cut.
func TestCutoffs(t *testing.T) {
	const d = time.Second
	tests := []struct {
		name  string
		after time.Duration
		// whole answers have no rest.
		whole    bool
		accepted bool
	}{
		{"in time", d - 1, false, true},
		{"too late", d + 1, false, false},
		{"whole in time", d - 1, true, true},
		{"whole and too late", d + 1, true, true},
	}
	for _, c := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, l, cancel := limitUntilAnswer(t.Context(), time.Now().Add(d))
			defer cancel()
			time.Sleep(c.after)
			a := &answer{status: http.StatusOK}
			closed := false
			if !c.whole {
				a.rest = &cancelBody{ReadCloser: http.NoBody, cancel: func() { closed = true }}
			}
			_, err := l.accept(ctx, a, "target")
			if (err == nil) != c.accepted || err != nil && !classifier.Is(err, classifier.TimedOut) {
				t.Errorf("%s: got %v", c.name, err)
			}
			if !c.accepted && !closed {
				t.Errorf("%s: the rest was not closed", c.name)
			}
			time.Sleep(2 * d)
			if ended := ctx.Err() != nil; ended == c.accepted && !c.whole {
				t.Errorf("%s: the context has ended: %v", c.name, ended)
			}
		})
	}
}

// TestOverdueCallsAreAbandonedOnlyOnRequest has a target hang after 30 quick answers. Only
// a call with abandonOverdue may end before its deadline.
func TestOverdueCallsAreAbandonedOnlyOnRequest(t *testing.T) {
	tests := []struct {
		name           string
		abandonOverdue bool
		want           *errorx.Type
	}{
		{"patient", false, classifier.TimedOut},
		{"impatient", true, errOverdue},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var n atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if n.Add(1) <= 30 {
					time.Sleep(2 * time.Millisecond)
					return
				}
				select {
				case <-r.Context().Done():
				case <-time.After(5 * time.Second):
				}
				w.WriteHeader(http.StatusOK)
			}))
			defer s.Close()
			a := s.Listener.Addr().String()
			g := newGate(t, a)
			for range 30 {
				if _, err := g.do(t.Context(), newCall(a, http.MethodGet, "", false)); err != nil {
					t.Fatal(err)
				}
			}
			k := newCall(a, http.MethodGet, "", false)
			k.abandonOverdue = c.abandonOverdue
			k.deadline = time.Now().Add(700 * time.Millisecond)
			begun := time.Now()
			_, err := g.do(t.Context(), k)
			if !classifier.Is(err, c.want) || classifier.VerdictOf(err) != classifier.MayHaveRun {
				t.Errorf("got %v", err)
			}
			if early := time.Since(begun) < 600*time.Millisecond; early != c.abandonOverdue {
				t.Errorf("ended after %s", time.Since(begun))
			}
		})
	}
}
