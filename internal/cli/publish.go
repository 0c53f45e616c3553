package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
)

type publishCommand struct {
	storeOptions
	outputOptions

	Promote bool   `arg:"--promote" help:"put the version in force too"`
	ID      string `arg:"--operation" placeholder:"ID" help:"operation id, to repeat a publish whose answer was lost"`
	File    string `arg:"positional,required" help:"profile in JSON"`
}

type versionJSON struct {
	Profile     string    `json:"profile"`
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	Operation   string    `json:"operation"`
	Operator    string    `json:"operator,omitempty"`
	PublishedAt time.Time `json:"published_at"`
	InForce     bool      `json:"in_force"`
}

func (c *publishCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	f, err := readProfile(c.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = newOperationID()
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	p := c.publisher()
	v, err := p.Publish(ctx, f, c.ID)
	if err != nil {
		return err
	}
	if c.Promote {
		if _, err := p.Promote(ctx, f.Name, v.Number, c.ID); err != nil {
			return err
		}
	}
	return c.print(e.out, writeVersion(f.Name, v, c.Promote), func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "Published %s version %d, digest %s.\n", f.Name, v.Number, v.Digest.Short())
		if c.Promote {
			_, _ = fmt.Fprintf(w, "Promoted %s version %d.\n", f.Name, v.Number)
		}
	})
}

func writeVersion(profile string, v accepter.Version, inForce bool) versionJSON {
	return versionJSON{
		Profile:     profile,
		Version:     v.Number,
		Digest:      v.Digest.String(),
		Operation:   v.Operation,
		Operator:    v.Operator,
		PublishedAt: v.PublishedAt,
		InForce:     inForce,
	}
}
