package cli

import (
	"context"
	"errors"
	"flag"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/runner"
)

type nodeCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings in JSON"`
}

func (c *nodeCommand) run(ctx context.Context, e *environment) error {
	s, err := configurer.Load(c.Settings)
	if err != nil {
		return err
	}
	setVerbosity(s.Verbosity)
	n, err := runner.New(s)
	if err != nil {
		return judge.Wrap(err, judge.Unavailable, judge.NotRun, "node")
	}
	n.Run(ctx, e.again)
	klog.Flush()
	return nil
}

func setVerbosity(v int) {
	f := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(f)
	_ = f.Set("v", strconv.Itoa(v))
}

// gather adds the problems of a file to all, with the file in their paths.
func gather(all parser.Problems, file string, err error) parser.Problems {
	if err == nil {
		return all
	}
	var p parser.Problems
	if !errors.As(err, &p) {
		return append(all, parser.Problem{Path: file, Value: message(err), Expected: "a readable file"})
	}
	for _, q := range p {
		q.Path = file + ": " + q.Path
		all = append(all, q)
	}
	return all
}
