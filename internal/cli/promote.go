package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

type promoteCommand struct {
	storeOptions
	outputOptions

	Wait    bool   `arg:"--wait" help:"wait until every node holds the change"`
	Number  uint64 `arg:"--version" placeholder:"N" help:"version to promote, the newest by default"`
	ID      string `arg:"--operation" placeholder:"ID" help:"operation id, to ask again after a lost answer"`
	Profile string `arg:"positional,required" help:"name of the profile"`
}

func (c *promoteCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = newOperationID()
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	o, err := c.publisher().Promote(ctx, c.Profile, c.Number, c.ID)
	return report(ctx, e, c.storeOptions, c.outputOptions, change{o, c.ID, c.Wait}, err)
}

type withdrawCommand struct {
	storeOptions
	outputOptions

	Wait     bool   `arg:"--wait" help:"wait until every node holds the change"`
	Fallback string `arg:"--fallback,required" placeholder:"PROFILE" help:"profile that serves in its place"`
	ID       string `arg:"--operation" placeholder:"ID" help:"operation id, to ask again after a lost answer"`
	Profile  string `arg:"positional,required" help:"name of the profile"`
}

func (c *withdrawCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = newOperationID()
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	o, err := c.publisher().Withdraw(ctx, c.Profile, c.Fallback, c.ID)
	return report(ctx, e, c.storeOptions, c.outputOptions, change{o, c.ID, c.Wait}, err)
}

// change is an operation that was tried, under its id.
type change struct {
	operation accepter.Operation
	id        string
	wait      bool
}

// report prints what became of a change, after waiting for it if asked to.
func report(ctx context.Context, e *environment, s storeOptions, o outputOptions, c change, err error) error {
	if err != nil {
		if judge.Of(err) == judge.MayHaveRun {
			_, _ = fmt.Fprintf(e.err, "The outcome is unknown. Ask again with --operation %s.\n", c.id)
		}
		return err
	}
	j := writeOperation(c.operation)
	var late error
	if c.wait {
		t, err := awaitGeneration(ctx, s, c.operation.Generation)
		j.NodesHold = &t.hold
		j.NodesKnown = &t.known
		late = err
	}
	err = o.print(e.out, j, func(w io.Writer) { printChange(w, j) })
	if err != nil {
		return err
	}
	return late
}

func printChange(w io.Writer, j operationJSON) {
	switch accepter.Kind(j.Kind) {
	case accepter.Withdraw:
		_, _ = fmt.Fprintf(w, "Withdrew %s in favour of %s at generation %d.\n", j.Profile, j.Fallback, j.Generation)
	case accepter.Promote:
		_, _ = fmt.Fprintf(w, "Promoted %s version %d at generation %d.\n", j.Profile, j.Version, j.Generation)
	}
	if j.NodesHold != nil {
		_, _ = fmt.Fprintf(w, "%d of %d nodes hold it.\n", *j.NodesHold, *j.NodesKnown)
	}
}
