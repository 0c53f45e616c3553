package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/publisher"
)

// changeOptions are shared by the commands that change what is in force.
type changeOptions struct {
	storeOptions
	outputOptions

	Wait    bool   `arg:"--wait" help:"wait until every node holds the change"`
	ID      string `arg:"--operation" placeholder:"ID" help:"operation id, to ask again after a lost answer"`
	Profile string `arg:"positional,required" help:"name of the profile"`
}

type promoteCommand struct {
	changeOptions

	Number uint64 `arg:"--version" placeholder:"N" help:"version to promote, the newest by default"`
}

func (c *promoteCommand) run(ctx context.Context, e *environment) error {
	return c.apply(ctx, e, func(ctx context.Context, p *publisher.Publisher) (accepter.Operation, error) {
		return p.Promote(ctx, c.Profile, c.Number, c.ID)
	})
}

type withdrawCommand struct {
	changeOptions

	Fallback string `arg:"--fallback,required" placeholder:"PROFILE" help:"profile that serves in its place"`
}

func (c *withdrawCommand) run(ctx context.Context, e *environment) error {
	return c.apply(ctx, e, func(ctx context.Context, p *publisher.Publisher) (accepter.Operation, error) {
		return p.Withdraw(ctx, c.Profile, c.Fallback, c.ID)
	})
}

// apply makes a change and prints what became of it, after waiting for it if
// asked to.
func (c *changeOptions) apply(ctx context.Context, e *environment, f func(context.Context, *publisher.Publisher) (accepter.Operation, error)) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = newOperationID()
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	o, err := f(ctx, c.publisher())
	if err != nil {
		if classifier.VerdictOf(err) == classifier.MayHaveRun {
			_, _ = fmt.Fprintf(e.err, "The outcome is unknown. Ask again with --operation %s.\n", c.ID)
		}
		return err
	}
	return c.report(ctx, e, writeOperation(o))
}

func (c *changeOptions) report(ctx context.Context, e *environment, j operationJSON) error {
	var late error
	if c.Wait {
		t, err := awaitGeneration(ctx, c.storeOptions, j.Generation)
		j.NodesHold = &t.hold
		j.NodesKnown = &t.known
		late = err
	}
	if err := c.print(e.out, j, func(w io.Writer) { printChange(w, j) }); err != nil {
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
