package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
)

// probeTimeout is the timeout of a health check.
const probeTimeout = 500 * time.Millisecond

// Probe requests the health check of the target of a service at address and returns
// the instance that runs there. An error means that the target is not healthy or does
// not state a valid instance.
func (g *Gate) Probe(ctx context.Context, service, address, path string) (registrar.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q := &exchanger.Request{Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}, Repeatable: true}
	r, err := g.client.Do(ctx, address, q)
	if err != nil {
		return registrar.Announcement{}, classify(ctx, err, "gate: target "+address)
	}
	g.speeds.Note(address, g.slowdownOf(r), time.Now())
	a, err := bufferAnswer(r, q.Method)
	if err != nil {
		return registrar.Announcement{}, classify(ctx, err, "gate: target "+address)
	}
	a.discard()
	id := r.Header.Get(g.dialect.Self)
	if r.Status != http.StatusOK || !registrar.ValidInstance(id) {
		return registrar.Announcement{}, classifier.Error(classifier.Unavailable, classifier.NotRun, "gate: target %s answered with status %d and instance %q", address, r.Status, id)
	}
	return registrar.Announcement{
		Instance: id,
		Probed:   true,
		Service:  service,
		Address:  address,
		Slots:    parseSlots(r.Header.Get(g.dialect.Load)),
	}, nil
}

// targetLoad is the load that a target states of itself.
type targetLoad struct {
	slots int
	// slowdown is how long work takes on the target's VM now, in percent of the usual time;
	// 0 if the target does not state it.
	slowdown int
}

const (
	minLoadFigures = 3
	maxLoadFigures = 4
)

// parseLoad parses a target's load header. It returns the zero value if a figure is
// missing, unreadable or negative. Figures beyond the known ones are ignored, as a later
// build of the target may state more.
func parseLoad(load string) targetLoad {
	f := strings.SplitN(load, ",", maxLoadFigures+1)
	if len(f) < minLoadFigures {
		return targetLoad{}
	}
	var n [maxLoadFigures]int
	for i := range min(len(f), maxLoadFigures) {
		v, err := strconv.Atoi(strings.TrimSpace(f[i]))
		if err != nil || v < 0 {
			return targetLoad{}
		}
		n[i] = v
	}
	return targetLoad{slots: n[2], slowdown: n[3]}
}

// parseSlots returns the slots in a target's load header, or 0 if it states none.
func parseSlots(load string) int {
	return parseLoad(load).slots
}
