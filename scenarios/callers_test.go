package scenarios

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func send(method, url, body string) error {
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(r.Body)
		return fmt.Errorf("%s: %s", r.Status, b)
	}
	return nil
}

// callCommand makes a request and prints status, verdict and body:
// call NODE METHOD PATH [BODY [RUN]].
func callCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	body := ""
	if len(args) > 3 {
		body = args[3]
	}
	q, err := http.NewRequest(args[1], "http://"+m.address(args[0]+".caller")+args[2], strings.NewReader(body))
	check(ts, err)
	if len(args) > 4 {
		q.Header.Set("X-Run", args[4])
	}
	r, err := client.Do(q)
	if err != nil {
		_, _ = fmt.Fprintf(ts.Stdout(), "broken: %v\n", err)
		return
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		_, _ = fmt.Fprintf(ts.Stdout(), "broken after %d bytes: %v\n", len(b), err)
		return
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "status %d verdict %q length %d\n%.400s\n", r.StatusCode, r.Header.Get("Dragonflydoor-Verdict"), len(b), b)
}

// runsCommand prints what a target has run: runs NAME.
func runsCommand(ts *testscript.TestScript, _ bool, args []string) {
	b, err := get("http://" + meshOf(ts).address(args[0]) + "/standin/runs")
	check(ts, err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s", b)
}

// drainCommand stops a target as planned: drain TARGET NODE tells its node,
// waits until nothing is in flight, and ends the target.
func drainCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	check(ts, send(http.MethodPost, "http://"+m.address(args[0])+"/standin/silence", ""))
	u := "http://" + m.address(args[1]+".local") + "/v1/targets/" + m.address(args[0]) + "/drain"
	check(ts, eventually(stepBound, func() error { return expect(http.MethodPost, u, `"in_flight": 0`) }))
}

// expect makes a request and fails unless its answer contains a text.
func expect(method, url, text string) error {
	q, err := http.NewRequest(method, url, nil)
	if err != nil {
		return err
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err == nil && !strings.Contains(string(b), text) {
		err = fmt.Errorf("%s is not in %s", text, b)
	}
	return err
}

// backgroundCommand makes a call in the background: background NAME NODE
// METHOD PATH [RUN [keyed]].
func backgroundCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	c := make(chan string, 1)
	m.background[args[0]] = c
	u := "http://" + m.address(args[1]+".caller") + args[3]
	go func() {
		q, err := http.NewRequest(args[2], u, nil)
		if err != nil {
			c <- err.Error()
			return
		}
		if len(args) > 4 {
			q.Header.Set("X-Run", args[4])
		}
		if len(args) > 5 {
			q.Header.Set("Idempotency-Key", m.key(args[4]))
		}
		r, err := (&http.Client{Timeout: time.Minute}).Do(q)
		if err != nil {
			c <- fmt.Sprintf("broken: %v", err)
			return
		}
		defer func() { _ = r.Body.Close() }()
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			c <- fmt.Sprintf("broken after %d bytes: %v", n, err)
			return
		}
		c <- fmt.Sprintf("status %d verdict %q length %d", r.StatusCode, r.Header.Get("Dragonflydoor-Verdict"), n)
	}()
}

// joinCommand waits for a call in the background and prints how it ended.
func joinCommand(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = fmt.Fprintln(ts.Stdout(), <-meshOf(ts).background[args[0]])
}

// rawCommand writes bytes to a node and prints what comes back: raw NODE TEXT,
// with \r and \n in the text.
func rawCommand(ts *testscript.TestScript, _ bool, args []string) {
	c, err := net.Dial("tcp", meshOf(ts).address(args[0]+".caller"))
	check(ts, err)
	defer func() { _ = c.Close() }()
	check(ts, c.SetDeadline(time.Now().Add(2*time.Second)))
	_, err = io.WriteString(c, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(args[1]))
	check(ts, err)
	b, _ := io.ReadAll(c)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s", b)
}

// waitcallCommand repeats a request until its answer contains a text. Nothing
// but refusals may come before: waitcall BOUND NODE METHOD PATH TEXT.
func waitcallCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	u := "http://" + m.address(args[1]+".caller") + args[3]
	check(ts, eventually(d, func() error { return expect(args[2], u, args[4]) }))
}
