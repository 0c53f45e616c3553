// Package standin is the command line of the stand-ins: a store and a target
// as processes of their own. It does not ship with the product.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/platform"
)

const headerBound = 10 * time.Second

type arguments struct {
	Store    *storeCommand    `arg:"subcommand:store" help:"run the key-value service"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a target"`
	Baseline *baselineCommand `arg:"subcommand:baseline" help:"run a node of the baseline design"`
}

type storeCommand struct {
	Address string `arg:"--address,required"`
}

type targetCommand struct {
	Address string `arg:"--address,required"`
	Service string `arg:"--service,required"`
	Node    string `arg:"--node,required" help:"local address of the node"`
	Profile string `arg:"--profile"`

	Instance string `arg:"--instance" help:"speak as the platform's targets do, under this id"`
	Slots    int    `arg:"--slots" default:"12"`
	Version  string `arg:"--version"`
	Fail     int    `arg:"--fail-percent" help:"part of the requests that fail"`
}

// Main runs the command line and returns the exit code.
func Main(args []string, errs io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "standin"}, &a)
	if err == nil {
		err = p.Parse(args)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	switch {
	case a.Store != nil:
		err = a.Store.run(ctx)
	case a.Target != nil:
		err = a.Target.run(ctx)
	case a.Baseline != nil:
		err = a.Baseline.run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return 1
	}
	return 0
}

type baselineCommand struct {
	Address string `arg:"--address,required"`
	Store   string `arg:"--store,required"`
}

func (c *baselineCommand) run(ctx context.Context) error {
	b := &imitator.Baseline{Store: platform.NewStore(c.Store, &meter.Traffic{})}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	return serve(ctx, l, b.Handler(), b.Run)
}

func (c *storeCommand) run(ctx context.Context) error {
	var s imitator.Server
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	return serve(ctx, s.Traffic.Listener(l), s.Handler(), nil)
}

func (c *targetCommand) run(ctx context.Context) error {
	t := &imitator.Target{
		Service: c.Service,
		Address: c.Address,
		Node:    c.Node,
		Profile: c.Profile,

		Instance: c.Instance,
		Slots:    c.Slots,
		Version:  c.Version,

		FailPercent: c.Fail,

		Exit:    func() { os.Exit(1) },
		Journal: os.Stdout,
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	return serve(ctx, l, t.Handler(), t.Announce)
}

// serve runs h on l, and loop beside it, until ctx is done.
func serve(ctx context.Context, l net.Listener, h http.Handler, loop func(context.Context)) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerBound}
	var g grouper.Group
	g.Go(func() {
		<-ctx.Done()
		_ = s.Close()
	})
	if loop != nil {
		g.Loop(ctx, loop)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	g.Wait()
	return nil
}
