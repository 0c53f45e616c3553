package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// result is what a caller got for one request.
type result struct {
	id      string
	method  string
	status  int
	verdict string
	// broken is why no whole answer came.
	broken string
	// endless says that the target sent bytes until its connection was closed.
	endless bool
	wrong   string
	at      time.Time
}

// load is a crowd of callers.
type load struct {
	mu      sync.Mutex
	results []result
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

const callersPerNode = 8

// loadCommand controls callers: load start QUERY NODE..., which make GET and
// POST requests at these nodes in turn, and load stop.
func loadCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	if args[0] == "stop" {
		m.load.cancel()
		m.load.wait.Wait()
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	if m.load == nil {
		m.load = &load{}
	}
	m.load.cancel = cancel
	round := len(m.load.results)
	for i := range callersPerNode * len(args[2:]) {
		n := args[2+i%len(args[2:])]
		u := "http://" + m.address(n+".caller")
		m.load.wait.Add(1)
		go func() {
			defer m.load.wait.Done()
			for k := 0; ctx.Err() == nil; k++ {
				m.load.request(u, fmt.Sprintf("r%d-%d-%d", round, i, k), args[1])
			}
		}()
	}
}

// request makes one request and records what came back. It is never cut short
// by the end of the load.
func (l *load) request(base, id, query string) {
	t := result{id: id, method: http.MethodGet, at: time.Now()}
	if strings.HasSuffix(id, "1") || strings.HasSuffix(id, "3") || strings.HasSuffix(id, "7") {
		t.method = http.MethodPost
	}
	q, err := http.NewRequest(t.method, base+"/"+id+query, strings.NewReader(id))
	if err != nil {
		panic(err)
	}
	q.Header.Set("X-Run", id)
	// The header makes an unguarded transport repeat requests by itself.
	q.Header.Set("X-Idempotency-Key", id)
	q.GetBody = nil
	t.read(client.Do(q))
	l.mu.Lock()
	l.results = append(l.results, t)
	l.mu.Unlock()
	if t.status != http.StatusOK {
		time.Sleep(5 * time.Millisecond)
	}
}

func (t *result) read(r *http.Response, err error) {
	if err != nil {
		t.broken = err.Error()
		return
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.broken = err.Error()
		return
	}
	t.status = r.StatusCode
	t.verdict = r.Header.Get("Dragonflydoor-Verdict")
	if t.status != http.StatusOK {
		return
	}
	var e struct{ Path, Method, Body string }
	if err := json.Unmarshal(b, &e); err != nil || e.Path != "/"+t.id || e.Method != t.method || e.Body != t.id {
		t.wrong = string(b)
	}
}

// verifyCommand compares what callers got with what targets have run:
// verify [MAX_FAILED]. A request that was answered ran, and once if it is not
// idempotent; one that was refused as not run did not run at all.
func verifyCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	runs := m.runs(ts)
	failed := 0
	for _, t := range m.load.results {
		if err := t.check(runs[t.id]); err != nil {
			ts.Fatalf("request %s (%s, answered %d %s %s): %v", t.id, t.method, t.status, t.verdict, t.broken, err)
		}
		if t.status != http.StatusOK {
			failed++
			ts.Logf("failed: %s %s: %d %s %s", t.method, t.id, t.status, t.verdict, t.broken)
		}
	}
	ts.Logf("%d requests, %d failed", len(m.load.results), failed)
	if len(m.load.results) == 0 {
		ts.Fatalf("no request was made")
	}
	if len(args) > 0 && fmt.Sprint(failed) != args[0] {
		ts.Fatalf("%d requests failed, expected %s", failed, args[0])
	}
}

func (t result) check(runs int) error {
	switch {
	case t.wrong != "":
		return fmt.Errorf("wrong answer %s", t.wrong)
	case t.method == http.MethodPost && runs > 1:
		return fmt.Errorf("ran %d times", runs)
	case t.status == http.StatusOK && runs == 0:
		return fmt.Errorf("answered, but never ran")
	case t.verdict == "not_run" && runs > 0:
		return fmt.Errorf("ran %d times, but was refused as not run", runs)
	case t.broken == "" && t.status != http.StatusOK && t.verdict == "":
		return fmt.Errorf("failed without a verdict")
	}
	return nil
}

// runs reads the journals of all targets, dead ones too, and counts the runs of
// each request.
func (m *mesh) runs(ts *testscript.TestScript) map[string]int {
	j, err := m.journals()
	check(ts, err)
	r := make(map[string]int)
	for _, l := range j {
		for _, e := range l {
			r[e.request]++
		}
	}
	return r
}

// execution is one run of a request by a target.
type execution struct {
	request string
	at      time.Time
}

// journals reads what each life of each target ran, by the name of its log.
func (m *mesh) journals() (map[string][]execution, error) {
	l, err := filepath.Glob(filepath.Join(m.dir, "t*.log"))
	if err != nil {
		return nil, err
	}
	j := make(map[string][]execution)
	for _, f := range l {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for s := range strings.Lines(string(b)) {
			w := strings.Fields(s)
			if len(w) != 3 || w[0] != "run" {
				continue
			}
			n, err := strconv.ParseInt(w[2], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			j[filepath.Base(f)] = append(j[filepath.Base(f)], execution{request: w[1], at: time.UnixMilli(n)})
		}
	}
	return j, nil
}
