package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
)

// probeBound is how long a target may take to say who it is.
const probeBound = 500 * time.Millisecond

// Probe asks the target of a service at address which life of it runs. An error
// means that the target takes no requests, or does not tell.
func (g *Gate) Probe(ctx context.Context, service, address, path string) (registrar.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, probeBound)
	defer cancel()
	q := &exchanger.Request{Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}, Repeatable: true}
	r, err := g.client.Do(ctx, address, q)
	if err != nil {
		return registrar.Announcement{}, classify(ctx, err, "gate: target "+address)
	}
	if _, err := bufferAnswer(r, q.Method); err != nil {
		return registrar.Announcement{}, classify(ctx, err, "gate: target "+address)
	}
	id := r.Header.Get(g.dialect.Self)
	if r.Status != http.StatusOK || id == "" {
		return registrar.Announcement{}, judge.Error(judge.Unavailable, judge.NotRun, "gate: target %s answered with status %d and life %q", address, r.Status, id)
	}
	return registrar.Announcement{
		Instance: id,
		Probed:   true,
		Service:  service,
		Address:  address,
		Slots:    statedSlots(r.Header.Get(g.dialect.Load)),
	}, nil
}

// statedSlots reads the slots from a target's load, 0 when it does not tell.
func statedSlots(load string) int {
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
