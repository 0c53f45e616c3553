package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/parser"
)

type listCommand struct {
	storeOptions
	outputOptions
}

func (c *listCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	p := c.publisher()
	s, _, err := p.State(ctx)
	if err != nil {
		return err
	}
	l, err := p.Catalogs(ctx)
	if err != nil {
		return err
	}
	r := make([]versionJSON, 0)
	for _, g := range l {
		n, _ := s.Entry(g.Profile)
		for _, v := range g.Versions {
			r = append(r, writeVersion(g.Profile, v, n.Version == v.Number && n.Digest == v.Digest))
		}
	}
	return c.print(e.out, r, func(w io.Writer) { printVersions(w, r) })
}

func printVersions(w io.Writer, l []versionJSON) {
	for _, v := range l {
		m := ""
		if v.InForce {
			m = "  in force"
		}
		_, _ = fmt.Fprintf(w, "%s version %d  %s  %s%s\n", v.Profile, v.Version, v.PublishedAt.Format(time.RFC3339), v.Operator, m)
	}
}

type showCommand struct {
	storeOptions

	Number  uint64 `arg:"--version" placeholder:"N" help:"version to show, the newest by default"`
	Profile string `arg:"positional,required" help:"name of the profile"`
}

func (c *showCommand) run(ctx context.Context, e *environment) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	f, _, err := c.publisher().Profile(ctx, c.Profile, c.Number)
	if err != nil {
		return err
	}
	_, err = e.out.Write(encoder.FormatProfile(f))
	return err
}

type diffCommand struct {
	storeOptions
	outputOptions

	From    uint64 `arg:"--from,required" placeholder:"N" help:"older version"`
	To      uint64 `arg:"--to" placeholder:"N" help:"newer version, the newest by default"`
	Profile string `arg:"positional,required" help:"name of the profile"`
}

func (c *diffCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	p := c.publisher()
	a, _, err := p.Profile(ctx, c.Profile, c.From)
	if err != nil {
		return err
	}
	b, _, err := p.Profile(ctx, c.Profile, c.To)
	if err != nil {
		return err
	}
	d := encoder.Diff(encoder.HashProfile(a), encoder.HashProfile(b))
	if c.Output == "json" {
		_, err := fmt.Fprintln(e.out, string(encoder.EncodeDelta(d)))
		return err
	}
	printDelta(e.out, d)
	return nil
}

func printDelta(w io.Writer, d encoder.Delta) {
	for _, s := range d.Services {
		_, _ = fmt.Fprintf(w, "changed service %s\n", s.Name)
	}
	for _, t := range d.Routes {
		_, _ = fmt.Fprintf(w, "changed route %s\n", t.Name)
	}
	for _, k := range d.Workspaces {
		_, _ = fmt.Fprintf(w, "changed workspace %s\n", k.Name)
	}
	for _, n := range d.RemovedServices {
		_, _ = fmt.Fprintf(w, "removed service %s\n", n)
	}
	for _, n := range d.RemovedRoutes {
		_, _ = fmt.Fprintf(w, "removed route %s\n", n)
	}
	for _, n := range d.RemovedWorkspaces {
		_, _ = fmt.Fprintf(w, "removed workspace %s\n", n)
	}
}

type validateCommand struct {
	Settings []string `arg:"--settings,separate" placeholder:"FILE" help:"settings of a node"`
	Profiles []string `arg:"positional" help:"profiles in JSON"`
}

func (c *validateCommand) run(_ context.Context, e *environment) error {
	if len(c.Settings)+len(c.Profiles) == 0 {
		return classifier.Error(classifier.Invalid, classifier.NotRun, "nothing to validate: name profiles, or settings with --settings")
	}
	var all parser.Problems
	for _, f := range c.Settings {
		_, err := configurer.Load(f)
		all = gather(all, f, err)
	}
	for _, f := range c.Profiles {
		_, err := readProfile(f)
		all = gather(all, f, err)
	}
	if err := all.Err(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.out, "%d files are valid.\n", len(c.Settings)+len(c.Profiles))
	return nil
}

type dumpCommand struct {
	Node string `arg:"--node,required" placeholder:"ADDRESS" help:"local address of the node"`
}

func (c *dumpCommand) run(ctx context.Context, e *environment) error {
	r, err := resty.New().SetTimeout(relayTimeout).R().SetContext(ctx).Get("http://" + c.Node + "/v1/dump")
	if err != nil {
		return classifier.Wrap(err, classifier.Unavailable, classifier.NotRun, "dump")
	}
	if r.IsError() {
		return classifier.Error(classifier.Unavailable, classifier.NotRun, "dump: %s", r.Status())
	}
	_, err = e.out.Write(r.Body())
	return err
}

type versionCommand struct {
	outputOptions
}

func (c *versionCommand) run(_ context.Context, e *environment) error {
	v := struct {
		Version string `json:"version"`
	}{version}
	return c.print(e.out, v, func(w io.Writer) { _, _ = fmt.Fprintln(w, "dragonflydoor "+version) })
}
