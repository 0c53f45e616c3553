package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/balancer"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/loadsharer"
)

// loadProbeTimeout is how long a gate waits for a target's health check that is to state
// the slowdown. Targets answer it at once.
const loadProbeTimeout = 100 * time.Millisecond

// begun is the start of a request at its target.
type begun struct {
	at       time.Time
	slowdown float64
}

func (g *Gate) begin(c call) begun {
	now := time.Now()
	return begun{at: now, slowdown: g.speeds.Slowdown(c.target, now)}
}

// observe learns the speed of a target from the header of an answer.
func (g *Gate) observe(c call, r *exchanger.Response, b begun) {
	now := time.Now()
	g.speeds.Note(c.target, g.slowdownOf(r), now)
	notRun := g.dialect.NotRun != "" && r.Header.Get(g.dialect.NotRun) != ""
	if r.Status < http.StatusInternalServerError && r.Status != http.StatusMisdirectedRequest && !notRun {
		g.speeds.Ran(c.target, c.class, now.Sub(b.at), b.slowdown, now)
	}
}

// slowdownOf returns the slowdown that a target states in percent, or 0.
func (g *Gate) slowdownOf(r *exchanger.Response) int {
	if g.dialect.Load == "" {
		return 0
	}
	return parseLoad(r.Header.Get(g.dialect.Load)).slowdown
}

// StatesSlowdown reports whether a target beside the node has stated its slowdown lately.
func (g *Gate) StatesSlowdown(now time.Time) bool {
	for _, t := range g.registrar.List() {
		if g.speeds.Slowdown(t.Address, now) > 0 {
			return true
		}
	}
	return false
}

// Loads returns the loads of the targets beside the node that accept requests.
func (g *Gate) Loads(now time.Time) []loadsharer.Target {
	var l []loadsharer.Target
	for _, t := range g.registrar.List() {
		if t.Down || t.Draining || t.Suspended {
			continue
		}
		k := t.Gate.Load("")
		l = append(l, loadsharer.Target{
			Address: t.Address,
			Service: t.Service,
			At:      now,
			Load: balancer.SharedLoad{
				Running:   k.Running,
				Waiting:   k.Waiting,
				Slots:     k.Slots,
				Slowdown:  g.speeds.Slowdown(t.Address, now),
				Durations: g.speeds.Durations(t.Address),
			},
		})
	}
	return l
}

// RefreshSlowdowns asks the health checks of busy targets for their slowdown where no
// answer has stated it just now, and forgets targets that have left. The function path
// returns the path of a service's health check, or "". It returns the number of
// questions.
func (g *Gate) RefreshSlowdowns(ctx context.Context, path func(service string) string) int {
	n := 0
	var addresses []string
	for _, t := range g.registrar.List() {
		addresses = append(addresses, t.Address)
		if t.Down || t.Gate.Running() == 0 || !g.speeds.Due(t.Address, time.Now()) {
			continue
		}
		if p := path(t.Service); p != "" {
			n++
			g.askSlowdown(ctx, t.Address, p)
		}
	}
	g.speeds.Keep(addresses)
	return n
}

func (g *Gate) askSlowdown(ctx context.Context, address, path string) {
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	q := &exchanger.Request{Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}, Repeatable: true}
	r, err := g.client.Do(ctx, address, q)
	if err != nil {
		return
	}
	g.speeds.Note(address, g.slowdownOf(r), time.Now())
	r.Drain()
}

// Observe records a load that another node has shared.
func (e *Entry) Observe(address string, l balancer.SharedLoad, at time.Time) {
	e.balancer.Observe(address, l, at)
}

// Placing reports whether the entry has chosen a target in the last seconds before now.
func (e *Entry) Placing(now time.Time) bool {
	return e.balancer.Placing(now)
}

// SharesLoads reports whether the entry places requests by loads that other nodes shared.
func (e *Entry) SharesLoads(now time.Time) bool {
	return e.balancer.Sharing(now)
}

// HeardSlowdown reports whether another node's target has stated its slowdown lately.
func (e *Entry) HeardSlowdown(now time.Time) bool {
	return e.balancer.HeardSlowdown(now)
}
