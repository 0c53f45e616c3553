package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/connector"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	relayTimeout = 2 * time.Second
	waitPeriod   = 100 * time.Millisecond
)

type statusCommand struct {
	storeOptions
	outputOptions
}

// tally is what the relays know of the whole mesh.
type tally struct {
	// hold is the number of nodes at or above the generation asked for.
	hold int
	// known is the number of nodes that the relays know of.
	known  int
	counts map[uint64]int
	late   []string
	silent []string
	// rollouts holds by service what was heard of the newest order's roll-out.
	rollouts map[string]*messenger.Rollout
}

type statusJSON struct {
	Generation  uint64           `json:"generation"`
	NodesHold   int              `json:"nodes_hold"`
	NodesKnown  int              `json:"nodes_known"`
	Generations []generationJSON `json:"generations"`
	Late        []string         `json:"late_nodes"`
	Silent      []string         `json:"silent_relays"`
	Profiles    []profileJSON    `json:"profiles"`
	Rollouts    []rolloutJSON    `json:"rollouts,omitempty"`
}

type generationJSON struct {
	Generation uint64 `json:"generation"`
	Nodes      int    `json:"nodes"`
}

type profileJSON struct {
	Profile  string `json:"profile"`
	Version  uint64 `json:"version,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Fallback string `json:"fallback,omitempty"`
}

func (c *statusCommand) run(ctx context.Context, e *environment) error {
	if err := c.check(); err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	s, _, err := c.publisher().State(ctx)
	if err != nil {
		return err
	}
	t, err := collect(ctx, c.Store, s.Generation)
	if err != nil {
		return err
	}
	j := statusJSON{
		Generation:  s.Generation,
		NodesHold:   t.hold,
		NodesKnown:  t.known,
		Generations: []generationJSON{},
		Late:        t.late,
		Silent:      t.silent,
	}
	for g, n := range t.counts {
		j.Generations = append(j.Generations, generationJSON{Generation: g, Nodes: n})
	}
	slices.SortFunc(j.Generations, func(a, b generationJSON) int { return int(a.Generation) - int(b.Generation) })
	for _, n := range s.Entries {
		p := profileJSON{Profile: n.Profile, Version: n.Version, Fallback: n.Fallback}
		if !n.Withdrawn() {
			p.Digest = n.Digest.String()
		}
		j.Profiles = append(j.Profiles, p)
	}
	j.Rollouts = writeRollouts(t.rollouts)
	return c.print(e.out, j, j.text)
}

func (j statusJSON) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "Generation %d is accepted; %d of %d nodes hold it.\n", j.Generation, j.NodesHold, j.NodesKnown)
	for _, g := range j.Generations {
		_, _ = fmt.Fprintf(w, "  generation %d: %d nodes\n", g.Generation, g.Nodes)
	}
	if len(j.Late) > 0 {
		_, _ = fmt.Fprintf(w, "  late: %s\n", strings.Join(j.Late, ", "))
	}
	if len(j.Silent) > 0 {
		_, _ = fmt.Fprintf(w, "  relays that do not answer: %s\n", strings.Join(j.Silent, ", "))
	}
	for _, p := range j.Profiles {
		if p.Fallback != "" {
			_, _ = fmt.Fprintf(w, "  %s: withdrawn, served by %s\n", p.Profile, p.Fallback)
			continue
		}
		_, _ = fmt.Fprintf(w, "  %s: version %d\n", p.Profile, p.Version)
	}
	for _, r := range j.Rollouts {
		_, _ = fmt.Fprintln(w, "  "+r.text())
	}
}

// collect asks every relay for the sums of its subtree.
func collect(ctx context.Context, store string, generation uint64) (tally, error) {
	l, err := newStore(store, &meter.Traffic{}).List(ctx, storer.RelayPrefix, storer.Current)
	if err != nil {
		return tally{}, err
	}
	t := tally{counts: make(map[uint64]int), rollouts: make(map[string]*messenger.Rollout)}
	d := connector.NewDialer(connector.NewTransport(&meter.Traffic{}, ""))
	for _, i := range l {
		a, err := ask(ctx, d, string(i.Value.Data))
		if err != nil {
			t.silent = append(t.silent, string(i.Value.Data))
			continue
		}
		t.add(a, generation)
	}
	slices.Sort(t.late)
	t.late = slices.Compact(t.late)
	return t, nil
}

func ask(ctx context.Context, d *connector.Dialer, address string) (*messenger.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return d.Dial(address).Status(ctx, &messenger.StatusRequest{})
}

func (t *tally) add(a *messenger.StatusResponse, generation uint64) {
	t.known = max(t.known, int(a.GetKnownNodes()))
	for _, y := range a.GetTallies() {
		t.counts[y.GetGeneration()] += int(y.GetNodes())
		if y.GetGeneration() >= generation {
			t.hold += int(y.GetNodes())
		}
	}
	for _, l := range a.GetLaggards() {
		t.late = append(t.late, fmt.Sprintf("%s (generation %d)", l.GetNode(), l.GetGeneration()))
	}
	for _, r := range a.GetRollouts() {
		o := t.rollouts[r.GetService()]
		if r.GetRevision() > o.GetRevision() || (r.GetRevision() == o.GetRevision() && r.GetRequests() >= o.GetRequests()) {
			t.rollouts[r.GetService()] = r
		}
	}
}

// awaitGeneration waits until every known node holds generation. A node that
// moves between parents may be counted twice for a moment, so that only an
// exact count will do.
func awaitGeneration(ctx context.Context, s storeOptions, generation uint64) (tally, error) {
	var t tally
	for {
		n, err := collect(ctx, s.Store, generation)
		if err == nil {
			t = n
		}
		if t.known > 0 && t.hold == t.known {
			return t, nil
		}
		select {
		case <-time.After(waitPeriod):
		case <-ctx.Done():
			return t, classifier.Error(errIncomplete, classifier.MayHaveRun,
				"accepted, but only %d of %d nodes are known to hold it; late: %s", t.hold, t.known, strings.Join(t.late, ", "))
		}
	}
}
