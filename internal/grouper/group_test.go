package grouper

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestPanicsEndTheProcess checks that a panic in a group terminates the
// process. The panic runs in a child process.
func TestPanicsEndTheProcess(t *testing.T) {
	const variable = "GROUPER_TEST_PANIC"
	if os.Getenv(variable) != "" {
		var g Group
		g.Go(func() { panic("panic in loop") })
		g.Wait()
		return
	}
	c := exec.Command(os.Args[0], "-test.run=^TestPanicsEndTheProcess$") //nolint:gosec // the test runs itself
	c.Env = append(os.Environ(), variable+"=1")
	b, err := c.CombinedOutput()
	if err == nil || !strings.Contains(string(b), "panic in loop") {
		t.Errorf("process exited with %v: %s", err, b)
	}
}
