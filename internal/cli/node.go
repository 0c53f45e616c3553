package cli

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
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
	stop := startLog(e, s.Verbosity)
	defer stop()
	n, err := runner.New(s, ownSurroundings())
	if err != nil {
		return classifier.Wrap(err, classifier.Unavailable, classifier.NotRun, "node")
	}
	group.Go(func() { followSettings(ctx, c.Settings, configurer.Parse, n.Reload) })
	n.Run(ctx, e.again)
	return nil
}

// logBound is how long a stop waits for the reader of the log.
const logBound = time.Second

// startLog sends log lines to standard output until the returned function is
// called.
func startLog(e *environment, verbosity int) func() {
	_, stop := logger.Start(e.out, verbosity, &group)
	return func() { stop(logBound) }
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
