package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/publisher"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/platform"
)

const operationIDBytes = 12

var group grouper.Group

// storeOptions are shared by the commands that use the store.
type storeOptions struct {
	Store    string        `arg:"--store,env:DRAGONFLYDOOR_STORE,required" placeholder:"ADDRESS" help:"address of the store, host with port"`
	Operator string        `arg:"--operator,env:USER" placeholder:"NAME" help:"name recorded with changes"`
	Timeout  time.Duration `arg:"--timeout" default:"20s" help:"bound on the whole command"`
}

func (o storeOptions) publisher() *publisher.Publisher {
	return publisher.New(newStore(o.Store, &meter.Traffic{}), o.Operator).WithDocument(platform.DocumentKey)
}

// outputOptions choose between text for people and JSON for scripts.
type outputOptions struct {
	Output string `arg:"--output" default:"text" placeholder:"FORM" help:"text or json"`
}

// print writes v as JSON, or calls text.
func (o outputOptions) print(w io.Writer, v any, text func(io.Writer)) error {
	switch o.Output {
	case "text":
		text(w)
		return nil
	case "json":
		return json.NewEncoder(w).Encode(v)
	}
	return classifier.Error(classifier.Invalid, classifier.NotRun, "--output %s: expected text or json", o.Output)
}

// check refuses an unknown form before anything is done.
func (o outputOptions) check() error {
	return o.print(io.Discard, nil, func(io.Writer) {})
}

func newOperationID() string {
	var b [operationIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func readProfile(path string) (router.Profile, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return router.Profile{}, classifier.Wrap(err, classifier.Invalid, classifier.NotRun, "profile")
	}
	p, err := encoder.DecodeProfile(b)
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

type operationJSON struct {
	Operation  string    `json:"operation"`
	Kind       string    `json:"kind"`
	Profile    string    `json:"profile"`
	Version    uint64    `json:"version,omitempty"`
	Digest     string    `json:"digest,omitempty"`
	Fallback   string    `json:"fallback,omitempty"`
	Operator   string    `json:"operator,omitempty"`
	Generation uint64    `json:"generation"`
	AcceptedAt time.Time `json:"accepted_at"`
	NodesHold  *int      `json:"nodes_hold,omitempty"`
	NodesKnown *int      `json:"nodes_known,omitempty"`
}

func writeOperation(o accepter.Operation) operationJSON {
	j := operationJSON{
		Operation:  o.ID,
		Kind:       string(o.Kind),
		Profile:    o.Profile,
		Version:    o.Version,
		Fallback:   o.Fallback,
		Operator:   o.Operator,
		Generation: o.Generation,
		AcceptedAt: o.AcceptedAt,
	}
	if !o.Digest.IsZero() {
		j.Digest = o.Digest.String()
	}
	return j
}

// bounded returns a context that ends after the command's timeout.
func (o storeOptions) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, o.Timeout)
}
