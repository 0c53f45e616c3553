package cli

import (
	"context"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/runner"
	"github.com/dragonflydoor/dragonflydoor/platform"
)

// sidecarCommand runs a node on the users' platform.
type sidecarCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"the platform's settings (default: where it says they are)"`
}

func (c *sidecarCommand) run(ctx context.Context, e *environment) error {
	f := c.Settings
	if f == "" {
		f = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(f)
	if err != nil {
		return classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "settings %s", f)
	}
	stop := startLog(e, s.Verbosity)
	defer stop()
	n, err := runner.New(s, platformSurroundings())
	if err != nil {
		return classifier.Wrap(err, classifier.Unavailable, classifier.NotRun, "node")
	}
	group.Go(func() { tuneMemory(ctx, s) })
	group.Go(func() { followSettings(ctx, f, platform.DecodeSettings, n.Reload) })
	n.Run(ctx, e.again)
	return nil
}
