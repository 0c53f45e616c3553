package scenarios

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

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
	"HUP":  syscall.SIGHUP,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
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

// settleCommand lets time pass: settle DURATION. It is for faults that must
// last, never for waiting until something has happened.
func settleCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	check(ts, err)
	time.Sleep(d)
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
