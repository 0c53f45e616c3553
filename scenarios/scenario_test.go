// Package scenarios runs scripted scenarios with real processes.
package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dragonflydoor/dragonflydoor/internal/cli"
	"github.com/dragonflydoor/dragonflydoor/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dragonflydoor": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":       func() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) },
	})
}

// knownRed reads the names of the scenarios in KNOWN-RED.txt.
func knownRed(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	m := make(map[string]string)
	for l := range strings.Lines(string(b)) {
		if n, why, ok := strings.Cut(l, "|"); ok && !strings.HasPrefix(l, "#") {
			m[strings.TrimPrefix(strings.TrimSpace(n), "TestScenarios/")] = strings.TrimSpace(why)
		}
	}
	return m
}

func TestScenarios(t *testing.T) {
	red := knownRed(t)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			n := strings.TrimPrefix(filepath.Base(e.WorkDir), "script-")
			if why, ok := red[n]; ok {
				e.T().Skip("known red: " + why)
			}
			e.Defer(func() { keepLogs(e, n) })
			return setup(e)
		},
		Cmds: commands,
	})
}

// keepLogs copies what the processes of a failed scenario wrote to a directory
// that stays after the run.
func keepLogs(e *testscript.Env, name string) {
	f, ok := e.T().(interface{ Failed() bool })
	if !ok || !f.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "scenario-"+name+"-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(e.WorkDir))
	}
	e.T().Log(fmt.Sprintf("logs are in %s %v", kept, err))
}
