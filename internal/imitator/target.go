package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	announcePeriod = time.Second
	fillerBytes    = 32 << 10
	// pourBytes are sent after each pourPause in answers without end, to readers
	// that take them within pourBound.
	pourBytes = 16 << 10
	pourPause = time.Millisecond
	pourBound = 10 * time.Second
)

// Target stands in for a service's target. It records every run of every
// request, so that a history can be checked against what callers got.
//
// The query parameters of a request say how it behaves: sleep_ms delays the
// answer, bytes makes it that long, pace_ms spreads it, cut_after breaks it
// off after that many bytes, crash ends the process, status sets the status,
// endless sends a head, a body or interim answers until the connection is closed.
type Target struct {
	// Service and Address are announced to the node.
	Service string
	Address string
	// Node is the local address of the node beside the target.
	Node string
	// Profile is announced too, when it is set.
	Profile string
	// Instance names this life of the target. When it is set, the target speaks
	// as the platform's targets do, and has Slots.
	Instance string
	Slots    int
	// Version is reported to the node, v1 if it is empty.
	Version string
	// FailPercent of the requests are failed with status 500.
	FailPercent int
	// Exit ends the process; tests replace it.
	Exit func()
	// Journal receives a line for each run, with the time in Unix milliseconds,
	// before anything else happens.
	Journal io.Writer

	mu       sync.Mutex
	runs     map[string]int
	running  int
	peak     int
	silenced bool

	platformState
}

type echoJSON struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Body     string `json:"body,omitempty"`
	Deadline string `json:"deadline_ms,omitempty"`
	Caller   string `json:"caller,omitempty"`
}

type runsJSON struct {
	Runs map[string]int `json:"runs"`
	Peak int            `json:"peak"`
}

type announcementJSON struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Profile string `json:"profile,omitempty"`
}

// RunHeader names a run in the record; it is the caller's own header.
const RunHeader = "X-Run"

// Handler returns the target's HTTP interface.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /standin/runs", t.serveRuns)
	m.HandleFunc("POST /standin/silence", func(http.ResponseWriter, *http.Request) { t.silence() })
	m.HandleFunc("POST /standin/drain", t.setDraining)
	m.HandleFunc("POST /standin/leave", func(_ http.ResponseWriter, r *http.Request) {
		t.silence()
		t.leave(r.Context())
	})
	m.HandleFunc("GET /health", t.serveHealth)
	m.HandleFunc("/", t.serve)
	return m
}

// Announce repeats the target's announcement until ctx is done.
func (t *Target) Announce(ctx context.Context) {
	t.mu.Lock()
	t.born = time.Now()
	t.mu.Unlock()
	k := time.NewTicker(announcePeriod)
	defer k.Stop()
	for {
		if !t.isSilenced() {
			t.announceOnce(ctx)
		}
		select {
		case <-k.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) announceOnce(ctx context.Context) {
	if t.Instance != "" {
		t.heartbeat(ctx)
		return
	}
	b, _ := json.Marshal(announcementJSON{Service: t.Service, Address: t.Address, Profile: t.Profile})
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.Node+"/v1/targets", bytes.NewReader(b))
	if err != nil {
		klog.Errorf("target: %v", err)
		return
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		klog.V(1).Infof("target: Announcing failed: %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
}

func (t *Target) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silenced = true
}

func (t *Target) isSilenced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silenced
}

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(runsJSON{Runs: t.runs, Peak: t.peak})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.Instance != "" && !t.sign(w, r) {
		return
	}
	t.begin(r.Header.Get(RunHeader))
	defer t.end()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	if q.Has("crash") {
		t.Exit()
	}
	if !sleeper.Sleep(r.Context(), millis(q.Get("sleep_ms"))) {
		return
	}
	if q.Has("endless") {
		pour(w, q.Get("endless"))
		return
	}
	if n := number(q.Get("bytes")); n > 0 {
		t.fill(w, r, n)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if rand.IntN(100) < t.FailPercent {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if s := number(q.Get("status")); s > 0 {
		w.WriteHeader(s)
	}
	_ = json.NewEncoder(w).Encode(echoJSON{
		Service:  t.Service,
		Target:   t.Address,
		Method:   r.Method,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		Body:     string(b),
		Deadline: r.Header.Get("Dragonflydoor-Deadline-Ms"),
		Caller:   r.Header.Get(callerHeader),
	})
}

func (t *Target) begin(run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = make(map[string]int)
	}
	if run != "" {
		t.runs[run]++
		if t.Journal != nil {
			_, _ = fmt.Fprintf(t.Journal, "run %s %d\n", run, time.Now().UnixMilli())
		}
	}
	t.running++
	t.peak = max(t.peak, t.running)
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// endless holds how answers without end begin and go on.
var endless = map[string]struct{ begin, part string }{
	"head":    {"HTTP/1.1 200 OK\r\nX-Filler: ", strings.Repeat("x", pourBytes)},
	"body":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"},
	"interim": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
}

// pour sends bytes of a kind until the connection is closed.
func pour(w http.ResponseWriter, kind string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.ErrorS(err, "Connection cannot be hijacked")
		return
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, endless[kind].begin)
	for p := []byte(endless[kind].part); err == nil && len(p) > 0; {
		_ = c.SetWriteDeadline(time.Now().Add(pourBound))
		_, err = c.Write(p)
		time.Sleep(pourPause)
	}
}

// fill answers with n bytes, slowly or in part if asked to.
func (t *Target) fill(w http.ResponseWriter, r *http.Request, n int) {
	q := r.URL.Query()
	cut := number(q.Get("cut_after"))
	p := millis(q.Get("pace_ms"))
	w.Header().Set("Content-Length", strconv.Itoa(n))
	c := bytes.Repeat([]byte("x"), fillerBytes)
	for sent := 0; sent < n; {
		if cut > 0 && sent >= cut {
			panic(http.ErrAbortHandler)
		}
		k, err := w.Write(c[:min(n-sent, fillerBytes)])
		if err != nil {
			return
		}
		sent += k
		if p > 0 {
			_ = http.NewResponseController(w).Flush()
		}
		if !sleeper.Sleep(r.Context(), p) {
			return
		}
	}
}

func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

func millis(s string) time.Duration {
	return time.Duration(number(s)) * time.Millisecond
}

// String names the target in logs.
func (t *Target) String() string {
	return fmt.Sprintf("%s@%s", t.Service, t.Address)
}
