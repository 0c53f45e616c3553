package grouper

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestPanicsEndTheProcess has a loop panic in a process of its own.
func TestPanicsEndTheProcess(t *testing.T) {
	const variable = "GROUPER_TEST_PANIC"
	if os.Getenv(variable) != "" {
		var g Group
		g.Go(func() { panic("loop broke") })
		g.Wait()
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestPanicsEndTheProcess$") //nolint:gosec // the test runs itself
	c.Env = append(os.Environ(), variable+"=1")
	b, err := c.CombinedOutput()
	if err == nil || !strings.Contains(string(b), "loop broke") {
		t.Errorf("the process ended with %v: %s", err, b)
	}
}
