// Package cli is the command line: one subcommand a file.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/joomcode/errorx"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitUsage means that the command line or a file was wrong.
	ExitUsage = 2
	// ExitRefused means that nothing was changed.
	ExitRefused = 3
	// ExitUnknown means that a change may or may not have taken effect.
	ExitUnknown = 4
	// ExitIncomplete means that a change was accepted but is not yet in force
	// on every node.
	ExitIncomplete = 5
)

const version = "0.1.0"

// arguments is the whole command line.
type arguments struct {
	Node     *nodeCommand     `arg:"subcommand:node" help:"run a node beside a target"`
	Sidecar  *sidecarCommand  `arg:"subcommand:sidecar" help:"run a node on the users' platform"`
	Publish  *publishCommand  `arg:"subcommand:publish" help:"store a new version of a profile"`
	Promote  *promoteCommand  `arg:"subcommand:promote" help:"put a published version in force"`
	Withdraw *withdrawCommand `arg:"subcommand:withdraw" help:"take a profile out of force, in favour of another"`
	List     *listCommand     `arg:"subcommand:list" help:"list profiles and their versions"`
	Show     *showCommand     `arg:"subcommand:show" help:"print a published profile"`
	Diff     *diffCommand     `arg:"subcommand:diff" help:"compare two versions of a profile"`
	Validate *validateCommand `arg:"subcommand:validate" help:"check settings and profiles without starting anything"`
	Status   *statusCommand   `arg:"subcommand:status" help:"say how many nodes hold which generation"`
	Dump     *dumpCommand     `arg:"subcommand:dump" help:"print the state of a node"`
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a small mesh in one process"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description is the head of the help text.
func (arguments) Description() string {
	return "dragonflydoor distributes traffic profiles across a service mesh."
}

// Epilogue is the foot of the help text.
func (arguments) Epilogue() string {
	return `Example:
  dragonflydoor demo
  dragonflydoor publish --store 10.0.0.2:7000 everyday.json
  dragonflydoor promote --store 10.0.0.2:7000 --wait everyday

Exit codes: 0 done, 2 wrong usage or input, 3 refused and nothing changed,
4 outcome unknown, 5 accepted but not yet in force everywhere.`
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, e *environment) error
}

// environment is what a subcommand may use of the outside.
type environment struct {
	out io.Writer
	err io.Writer
	// again is closed by a second signal.
	again <-chan struct{}
}

// errIncomplete reports a change that is not yet in force everywhere.
var errIncomplete = classifier.Unavailable.NewSubtype("incomplete")

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "dragonflydoor", Out: out}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return ExitUsage
	}
	if code, done := parse(p, args, out, errs); done {
		return code
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(errs)
		return ExitUsage
	}
	ctx, again, stop := signals()
	defer stop()
	e := &environment{out: out, err: errs, again: again}
	return exitCode(c.run(ctx, e), errs)
}

// parse reads args; done is true when there is nothing left to do.
func parse(p *arg.Parser, args []string, out, errs io.Writer) (code int, done bool) {
	err := p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return ExitOK, true
	case err != nil:
		_ = p.WriteUsageForSubcommand(errs, p.SubcommandNames()...)
		_, _ = fmt.Fprintf(errs, "error: %v\n", err)
		return ExitUsage, true
	}
	return ExitOK, false
}

// signals returns a context that the first SIGTERM or SIGINT ends, and a
// channel that the second one closes.
func signals() (context.Context, <-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	again := make(chan struct{})
	group.Go(func() {
		select {
		case <-c:
			cancel()
		case <-ctx.Done():
			return
		}
		<-c
		close(again)
	})
	return ctx, again, cancel
}

// exitCode prints err and returns its code.
func exitCode(err error, errs io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errs, "error: "+message(err))
	var p parser.Problems
	switch {
	case errors.As(err, &p), classifier.Is(err, classifier.Invalid):
		return ExitUsage
	case classifier.Is(err, errIncomplete):
		return ExitIncomplete
	case classifier.VerdictOf(err) == classifier.NotRun:
		return ExitRefused
	}
	return ExitUnknown
}

func message(err error) string {
	var p parser.Problems
	if errors.As(err, &p) {
		return p.Error()
	}
	if x := errorx.Cast(err); x != nil {
		return chain(x)
	}
	return err.Error()
}

// chain joins the messages of an error and its causes.
func chain(x *errorx.Error) string {
	m := x.Message()
	c := x.Cause()
	if c == nil {
		return m
	}
	if y := errorx.Cast(c); y != nil {
		return m + ": " + chain(y)
	}
	return m + ": " + c.Error()
}
