package cli

import "context"

type demoCommand struct{}

func (c *demoCommand) run(context.Context, *environment) error { return nil }
