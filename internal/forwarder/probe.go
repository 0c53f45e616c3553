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

// parseSlots returns the slots in a target's load header, or 0 if it states none.
func parseSlots(load string) int {
	f := strings.Split(load, ",")
	const fields, slots = 3, 2
	if len(f) != fields {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(f[slots]))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
