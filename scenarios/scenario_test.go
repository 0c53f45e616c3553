// Package scenarios runs scripted scenarios with real processes.
package scenarios

import (
	"os"
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

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds:                commands,
	})
}
