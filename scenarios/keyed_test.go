package scenarios

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// keyedRequest makes a POST with an idempotency key, which is also the name of
// its runs, and describes the answer.
func (m *mesh) keyedRequest(node, key, path, body string) string {
	q, err := http.NewRequest(http.MethodPost, "http://"+m.address(node+".caller")+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	q.Header.Set("Idempotency-Key", m.key(key))
	q.Header.Set("X-Run", key)
	r, err := client.Do(q)
	if err != nil {
		return "broken: " + err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return "broken: " + err.Error()
	}
	return fmt.Sprintf("status %d verdict %q replayed %q %s", r.StatusCode, r.Header.Get("Dragonflydoor-Verdict"),
		r.Header.Get("Dragonflydoor-Replayed"), strings.TrimSpace(string(b)))
}

// key returns the idempotency key of a name: a UUID of version 7 that is made
// when the name is first used.
func (m *mesh) key(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keys == nil {
		m.keys = make(map[string]string)
	}
	if m.keys[name] == "" {
		m.keys[name] = newUUID()
	}
	return m.keys[name]
}

// keyedCommand makes a request with a key: keyed NODE KEY PATH BODY.
func keyedCommand(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprintln(ts.Stdout(), meshOf(ts).keyedRequest(args[0], args[1], args[2], args[3]))
}

// resendCommand makes equal requests with one key at once and counts the
// answers: resend COUNT KEY PATH BODY NODE...
func resendCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	n, err := strconv.Atoi(args[0])
	check(ts, err)
	l := make([]string, n)
	var w sync.WaitGroup
	for i := range n {
		w.Add(1)
		go func() {
			defer w.Done()
			l[i] = m.keyedRequest(args[4+i%len(args[4:])], args[1], args[2], args[3])
		}()
	}
	w.Wait()
	c := make(map[string]int)
	for _, s := range l {
		// Answers differ in whether they were replayed.
		s, _, _ = strings.Cut(s, " replayed")
		c[s]++
	}
	var r []string
	for s, k := range c {
		r = append(r, fmt.Sprintf("%d x %s", k, s))
	}
	slices.Sort(r)
	_, _ = fmt.Fprintln(ts.Stdout(), strings.Join(r, "\n"))
}

// journalCommand checks how often a request ran: journal NAME COUNT.
func journalCommand(ts *testscript.TestScript, _ bool, args []string) {
	if n := meshOf(ts).runs(ts)[args[0]]; strconv.Itoa(n) != args[1] {
		ts.Fatalf("%s ran %d times, expected %s", args[0], n, args[1])
	}
}

// atmostCommand checks that a request did not run more often: atmost NAME COUNT.
func atmostCommand(ts *testscript.TestScript, _ bool, args []string) {
	c, err := strconv.Atoi(args[1])
	check(ts, err)
	if n := meshOf(ts).runs(ts)[args[0]]; n > c {
		ts.Fatalf("%s ran %d times, expected at most %d", args[0], n, c)
	}
}
