package scenarios

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"store":      storeCommand,
	"node":       nodeCommand,
	"target":     targetCommand,
	"signal":     signalCommand,
	"exited":     exitedCommand,
	"faults":     faultsCommand,
	"converge":   convergeCommand,
	"members":    membersCommand,
	"history":    historyCommand,
	"call":       callCommand,
	"settle":     settleCommand,
	"runs":       runsCommand,
	"exits":      exitsCommand,
	"network":    networkCommand,
	"relays":     relaysCommand,
	"waitfor":    waitforCommand,
	"load":       loadCommand,
	"verify":     verifyCommand,
	"drain":      drainCommand,
	"background": backgroundCommand,
	"join":       joinCommand,
	"raw":        rawCommand,
	"waitcall":   waitcallCommand,
	"alive":      aliveCommand,
	"keyed":      keyedCommand,
	"resend":     resendCommand,
	"journal":    journalCommand,
	"atmost":     atmostCommand,
}

func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

// storeCommand starts the store stand-in and waits until it answers.
func storeCommand(ts *testscript.TestScript, _ bool, _ []string) {
	m := meshOf(ts)
	check(ts, m.start("store", "standin", "store", "--address", m.address("store")))
	check(ts, eventually(stepBound, func() error {
		_, err := get("http://" + m.address("store") + "/counts")
		return err
	}))
}

// nodeCommand starts a node: node NAME DATA_CENTER [PEER...].
func nodeCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	n := args[0]
	var peers []string
	for _, p := range args[2:] {
		peers = append(peers, strconv.Quote(m.address(p+".peer")))
	}
	s := fmt.Sprintf(`{"node": %q, "data_center": %q, "profile": "everyday", "log_verbosity": 1,
		"peer_address": %q, "peer_bind_address": %q, "caller_address": %q, "local_address": %q, "store_address": %q,
		"relays_per_data_center": %s, "fan_out": 2, "peers": [%s]}`,
		n, args[1], m.address(n+".peer"), m.bind(n), m.address(n+".caller"), m.address(n+".local"),
		m.address("store"), ts.Getenv("RELAYS"), strings.Join(peers, ", "))
	m.dataCenters[n] = args[1]
	check(ts, m.link(n))
	f := filepath.Join(m.dir, n+".json")
	check(ts, os.WriteFile(f, []byte(s), 0o600))
	check(ts, m.start(n, "dragonflydoor", "node", "--settings", f))
	check(ts, eventually(stepBound, func() error {
		_, err := m.dump(n)
		return err
	}))
}

// targetCommand starts a target: target NAME NODE SERVICE, and waits until
// every node knows it.
func targetCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	a := m.address(args[0])
	check(ts, m.start(args[0], "standin", "target", "--address", a, "--service", args[2], "--node", m.address(args[1]+".local")))
	// An earlier life may still be announced: the new one must listen too.
	check(ts, eventually(stepBound, func() error {
		_, err := get("http://" + a + "/standin/runs")
		return err
	}))
	check(ts, eventually(stepBound, func() error { return m.allKnow(args[2] + "@" + a) }))
}

func (m *mesh) allKnow(target string) error {
	for _, p := range m.nodes() {
		d, err := m.dump(p.name)
		if err != nil {
			return err
		}
		if !strings.Contains(fmt.Sprint(d.Members), target) {
			return fmt.Errorf("%s does not know %s", p.name, target)
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"TERM": syscall.SIGTERM,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// signalCommand sends a signal to processes: signal KILL NAME...
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	s, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, n := range args[1:] {
		p := m.processes[n]
		check(ts, p.command.Process.Signal(s))
		p.frozen = s == syscall.SIGSTOP
		if s == syscall.SIGKILL {
			<-p.done
		}
	}
}

// exitedCommand waits until a process has exited with a code: exited NAME CODE.
func exitedCommand(ts *testscript.TestScript, _ bool, args []string) {
	p := meshOf(ts).processes[args[0]]
	select {
	case <-p.done:
	case <-time.After(stepBound):
		ts.Fatalf("%s still runs", args[0])
	}
	if c := p.command.ProcessState.ExitCode(); strconv.Itoa(c) != args[1] {
		ts.Fatalf("%s exited with %d, expected %s", args[0], c, args[1])
	}
}

// faultsCommand changes how the store fails: faults JSON, faults lapse, or
// faults rewind WRITES.
func faultsCommand(ts *testscript.TestScript, _ bool, args []string) {
	u := "http://" + meshOf(ts).address("store") + "/faults"
	switch args[0] {
	case "lapse":
		check(ts, send(http.MethodPost, u+"/lapse", ""))
	case "rewind":
		check(ts, send(http.MethodPost, u+"/rewind?writes="+args[1], ""))
	default:
		check(ts, send(http.MethodPut, u, args[0]))
	}
}

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

// convergeCommand waits until every running node holds at least a generation,
// all of them the same: converge GENERATION BOUND.
func convergeCommand(ts *testscript.TestScript, neg bool, args []string) {
	m := meshOf(ts)
	g, err := strconv.ParseUint(args[0], 10, 64)
	check(ts, err)
	d, err := time.ParseDuration(args[1])
	check(ts, err)
	s := time.Now()
	err = eventually(d, func() error {
		l, n, same := m.generations()
		if !same || n < g {
			return fmt.Errorf("not converged on generation %d within %s:\n%s", g, d, l)
		}
		return nil
	})
	if neg {
		if err == nil {
			ts.Fatalf("converged on generation %d", g)
		}
		return
	}
	check(ts, err)
	ts.Logf("converged after %s", time.Since(s).Round(time.Millisecond))
}

// membersCommand waits until a node sees others in a condition:
// members NODE CONDITION BOUND NAME...
func membersCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	d, err := time.ParseDuration(args[2])
	check(ts, err)
	check(ts, eventually(d, func() error {
		u, err := m.dump(args[0])
		if err != nil {
			return err
		}
		c := make(map[string]string)
		for _, y := range u.Members {
			c[y.Node] = y.Condition
		}
		for _, n := range args[3:] {
			if c[n] != args[1] {
				return fmt.Errorf("%s sees %s as %q, expected %s", args[0], n, c[n], args[1])
			}
		}
		return nil
	}))
}

// historyCommand checks the recorded history of applied generations.
func historyCommand(ts *testscript.TestScript, _ bool, _ []string) {
	check(ts, meshOf(ts).checkHistory())
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

// settleCommand lets time pass: settle DURATION. It is for faults that must
// last, never for waiting until something has happened.
func settleCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	time.Sleep(d)
}

// runsCommand prints what a target has run: runs NAME.
func runsCommand(ts *testscript.TestScript, _ bool, args []string) {
	b, err := get("http://" + meshOf(ts).address(args[0]) + "/standin/runs")
	check(ts, err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s", b)
}

// exitsCommand runs a program and checks its exit code: exits CODE PROGRAM
// [ARGUMENT...].
func exitsCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	c := 0
	var x *exec.ExitError
	if errors.As(err, &x) {
		c = x.ExitCode()
	} else {
		check(ts, err)
	}
	if strconv.Itoa(c) != args[0] {
		ts.Fatalf("exit code %d, expected %s", c, args[0])
	}
}

// networkCommand controls the links: network on, before the first node;
// network cut A B between data centres; network heal; network silence NODE.
func networkCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	switch args[0] {
	case "on":
		m.network = true
	case "cut":
		m.cut(args[1], args[2])
	case "heal":
		for _, l := range m.links {
			l.Unblock()
		}
	case "silence":
		m.links[args[1]].Silence()
	default:
		ts.Fatalf("network %s?", args[0])
	}
}

// relaysCommand waits until so many running nodes are relays, and names them
// in the environment as RELAY1, RELAY2 and so on, the others as CHILD1 and so
// on: relays COUNT.
func relaysCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	check(ts, eventually(stepBound, func() error {
		r, c := 0, 0
		for _, p := range m.nodes() {
			d, err := m.dump(p.name)
			if err != nil {
				return err
			}
			if d.Relay {
				r++
				ts.Setenv(fmt.Sprintf("RELAY%d", r), p.name)
				continue
			}
			c++
			ts.Setenv(fmt.Sprintf("CHILD%d", c), p.name)
		}
		if strconv.Itoa(r) != args[0] {
			return fmt.Errorf("%d relays, expected %s", r, args[0])
		}
		return nil
	}))
}

// waitforCommand repeats a command until its output contains a text:
// waitfor BOUND COMMAND TEXT.
func waitforCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	f := strings.Fields(args[1])
	check(ts, eventually(d, func() error {
		c := exec.Command(f[0], f[1:]...)
		c.Env = append(os.Environ(), "DRAGONFLYDOOR_STORE="+ts.Getenv("DRAGONFLYDOOR_STORE"))
		b, err := c.CombinedOutput()
		if !strings.Contains(string(b), args[2]) {
			return fmt.Errorf("%s: %q is not in:\n%s: %w", args[1], args[2], b, errors.Join(err))
		}
		return err
	}))
}

// drainCommand stops a target as planned: drain TARGET NODE tells its node,
// waits until nothing is in flight, and ends the target.
func drainCommand(ts *testscript.TestScript, _ bool, args []string) {
	m := meshOf(ts)
	check(ts, send(http.MethodPost, "http://"+m.address(args[0])+"/standin/silence", ""))
	u := "http://" + m.address(args[1]+".local") + "/v1/targets/" + m.address(args[0]) + "/drain"
	check(ts, eventually(stepBound, func() error {
		q, err := http.NewRequest(http.MethodPost, u, nil)
		if err != nil {
			return err
		}
		r, err := client.Do(q)
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		if err == nil && !strings.Contains(string(b), `"in_flight": 0`) {
			err = fmt.Errorf("still in flight: %s", b)
		}
		return err
	}))
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
	check(ts, eventually(d, func() error {
		q, err := http.NewRequest(args[2], "http://"+m.address(args[1]+".caller")+args[3], nil)
		if err != nil {
			return err
		}
		r, err := client.Do(q)
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		if err == nil && !strings.Contains(string(b), args[4]) {
			err = fmt.Errorf("%s is not in %s", args[4], b)
		}
		return err
	}))
}

// aliveCommand checks how many of the processes run: alive COUNT NAME...
func aliveCommand(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, p := range args[1:] {
		if meshOf(ts).processes[p].alive() {
			n++
		}
	}
	if strconv.Itoa(n) != args[0] {
		ts.Fatalf("%d of them run, expected %s", n, args[0])
	}
}
