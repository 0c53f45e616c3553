package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 10_000
	defaultSlots         = 12
	defaultConnections   = 110
	defaultQueue         = 24
	defaultBodyBytes     = 1 << 20
)

// announcement is what a target says of itself, with the profile that it wants.
type announcement struct {
	registrar.Announcement

	profile string
}

// localHandler serves the targets beside the node and its operators.
func (n *Node) localHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /v1/targets", n.announce)
	m.HandleFunc("POST /v1/targets/{address}/drain", n.drainTarget)
	m.HandleFunc("DELETE /v1/targets/{address}", n.removeTarget)
	m.HandleFunc("GET /v1/dump", n.dump)
	m.Handle("GET /metrics", n.scraped)
	return m
}

// announce adds or renews a target; the target repeats it every second or two.
func (n *Node) announce(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	a, err := parseAnnouncement(b)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	if n.entry.Draining() {
		fail(w, http.StatusServiceUnavailable, fmt.Errorf("node %s is draining", n.settings.Node))
		return
	}
	if a.profile != "" {
		n.entry.SetProfile(a.profile)
	}
	if err := n.take(a.Announcement); err != nil {
		fail(w, http.StatusBadRequest, err)
	}
}

// take registers what a target says of itself and logs what it changes.
func (n *Node) take(a registrar.Announcement) error {
	o := n.registrar.Announce(a, n.limits(a), time.Now())
	if o == registrar.Renewed {
		return nil
	}
	klog.InfoS("Target announced itself", "outcome", o, "target", a.Address, "service", a.Service, "instance", a.Instance,
		"born", a.StartedAtUnixMS, "sequence", a.Sequence, "draining", a.Draining, "slots", a.Slots, "cold", a.ColdRemaining)
	if o == registrar.Invalid {
		return fmt.Errorf("instance name %q is not valid", a.Instance)
	}
	return nil
}

// limitTargets keeps the limits of targets and clients those of the configuration in force.
func (n *Node) limitTargets(ctx context.Context) {
	var g uint64
	for ctx.Err() == nil {
		c := n.holder.Wait(ctx, g)
		if c.Generation() <= g {
			return
		}
		g = c.Generation()
		n.registrar.Limit(n.limits)
		n.limitClients()
	}
}

// Ready reports whether callers may be sent to this node: it has a
// configuration, and is not about to stop.
func (n *Node) Ready() bool {
	return !n.entry.Draining() && n.holder.Current() != nil
}

// limits are the service's, lowered to what the target says it can take.
func (n *Node) limits(t registrar.Announcement) router.Limits {
	l := router.Limits{Slots: defaultSlots, Connections: defaultConnections, Queue: defaultQueue, MaxBodyBytes: defaultBodyBytes}
	if p := n.holder.Current().Serving(n.entry.Profile()); p != nil {
		if s, ok := p.Service(t.Service); ok {
			l = s.Limits
		}
	}
	if t.Slots > 0 {
		l.Slots = min(l.Slots, t.Slots)
	}
	if t.Connections > 0 {
		l.Connections = min(l.Connections, t.Connections)
	}
	// Every request in flight has a connection of its own, and idle ones are
	// used first, so that bounding the slots bounds the connections too.
	l.Slots = min(l.Slots, l.Connections)
	return l
}

func parseAnnouncement(data []byte) (announcement, error) {
	o, r := parser.Document(data)
	if err := r.Problems().Err(); err != nil {
		return announcement{}, err
	}
	a := announcement{
		Announcement: registrar.Announcement{
			Service:     o.Required("service", validator.NameRule),
			Address:     o.Required("address", "an IP number with port"),
			Slots:       int(o.Number("slots", 0, 1, maxSlots)),
			Connections: int(o.Number("connections", 0, 1, maxSlots)),
			Version:     o.Text("version"),
		},
		profile: o.Text("profile"),
	}
	if s := a.Service; s != "" && !validator.IsValidName(s) {
		o.Reject("service", validator.NameRule)
	}
	if a.Address != "" && !isAddress(a.Address) {
		o.Reject("address", "an IP number with port")
	}
	if a.profile != "" && !validator.IsValidName(a.profile) {
		o.Reject("profile", validator.NameRule)
	}
	o.Close()
	return a, r.Problems().Err()
}

func isAddress(s string) bool {
	h, _, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(h) != nil
}

type drainJSON struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// drainTarget stops new work for a target. The target asks again until
// nothing is in flight.
func (n *Node) drainTarget(w http.ResponseWriter, r *http.Request) {
	t, ok := n.registrar.Drain(r.PathValue("address"), time.Now())
	if !ok {
		fail(w, http.StatusNotFound, fmt.Errorf("no target at %s", r.PathValue("address")))
		return
	}
	reply(w, drainJSON{InFlight: t.Gate.Running(), Waiting: t.Gate.Waiting()})
}

func (n *Node) removeTarget(w http.ResponseWriter, r *http.Request) {
	if !n.registrar.Remove(r.PathValue("address"), time.Now()) {
		fail(w, http.StatusNotFound, fmt.Errorf("no target at %s", r.PathValue("address")))
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func fail(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}
