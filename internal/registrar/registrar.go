// Package registrar maintains the targets that announced themselves to the node on
// their VM, each with its gate.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// DefaultTTL is how long an announcement is valid; targets repeat it.
	DefaultTTL = 5 * time.Second
	// departureRetention is how long the departure of a target process is stored,
	// so that late announcements do not register the process again.
	departureRetention = 2 * time.Minute
	// unknownRetention is the same for a process of which only the instance name
	// is known. It exceeds the time an announcement may be in transit, but is
	// short, since a new process may start under the same name.
	unknownRetention = 10 * time.Second
	// silenceDivisor is the divisor of the TTL that gives how long a target may be
	// silent before a process with an earlier start time may replace it. The system
	// clock may have gone back between the two starts.
	silenceDivisor   = 3
	maxInstanceBytes = 200
	// maxVersionBytes bounds what is gossiped of a version; one that is longer counts
	// as not reported.
	maxVersionBytes = 64
)

// ValidInstance reports whether name can be passed on unchanged in headers, gossip and
// logs: it has 1 to maxInstanceBytes visible ASCII characters (RFC 9110, section 5.5).
func ValidInstance(name string) bool {
	for i := range len(name) {
		if c := name[i]; c <= ' ' || c > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxInstanceBytes
}

// Announcement is the state that a target reports of itself.
type Announcement struct {
	// Instance identifies one process of the target; empty if the target does not
	// report it.
	Instance string
	// StartedAtUnixMS is the start time of that process in Unix milliseconds. Sequence
	// increases with each of its announcements. Together they order announcements.
	StartedAtUnixMS int64
	Sequence        uint64
	Service         string
	Address         string
	// Slots and Connections limit the load of the target; 0 means that the limits
	// of its service apply.
	Slots       int
	Connections int
	Draining    bool
	// Probed reports whether the node created the announcement from its own probe
	// of the target, so that the start time is unknown.
	Probed bool
	// ColdRemaining is the remaining time for which the target is slow after its start.
	ColdRemaining time.Duration
	// Version is the version of the service that the target runs; empty if it does not
	// report it.
	Version string
}

// Target is a target on this node's VM.
type Target struct {
	Announcement

	Gate *gatekeeper.Gate
	// AnnouncedAt is when this process of the target was first announced.
	AnnouncedAt time.Time
	// ExpiresAt is when the target expires unless it is announced again.
	ExpiresAt time.Time
	// Down reports whether the target has refused a connection since its last
	// announcement.
	Down bool
	// Suspended reports whether the node is stopping while the target keeps running.
	Suspended bool
	// ColdUntil is the time until which the target is slow after its start.
	ColdUntil time.Time

	// latestStart is, for a target that leaves, the latest start time in Unix milliseconds
	// that it can have if it does not report one.
	latestStart int64
}

// Outcome is the result of an announcement.
type Outcome uint8

// The outcomes.
const (
	// Renewed means that a known process was announced again.
	Renewed Outcome = iota + 1
	// Added means that a new process was registered.
	Added
	// Drained means that the target's gate was closed to new requests.
	Drained
	// Stale means that the announcement is older than the known state.
	Stale
	// Invalid means that the announcement has an unusable instance name.
	Invalid
)

var outcomeNames = [...]string{"", "renewed", "added", "drained", "stale", "invalid"}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// departure records that a target process has left.
type departure struct {
	// target has no service if only the instance name is known. Its start time is the
	// latest one that the process can have.
	target gossiper.Target
	at     time.Time
}

func (d departure) expired(now time.Time) bool {
	if d.target.Service == "" {
		return now.Sub(d.at) > unknownRetention
	}
	return now.Sub(d.at) > departureRetention
}

// covers reports whether an announcement comes from the process that has left.
func (d departure) covers(a Announcement, now time.Time) bool {
	return !d.expired(now) && (d.target.Service == "" || a.StartedAtUnixMS <= d.target.StartedAtUnixMS)
}

// Registrar holds the targets of one node. The zero value is ready to use.
type Registrar struct {
	// Changed, if set, is called with the new list after every change.
	Changed func([]gossiper.Target)
	// TTL is how long an announcement is valid; zero means DefaultTTL.
	TTL time.Duration
	// Beside, if set, returns the service and the address of the only target that may
	// announce itself. One of them is empty if others may too.
	Beside func() (service, address string)
	// Versions tells other nodes the versions of the targets. It is off where no
	// roll-outs are ordered, so that records stay as short as they were.
	Versions bool

	mu       sync.Mutex
	targets  map[string]*Target
	departed map[string]departure
}

// Announce adds or renews a target. A target that was removed starts cold; a
// draining one keeps draining. An announcement with an invalid instance name has no
// effect.
func (r *Registrar) Announce(a Announcement, l router.Limits, now time.Time) Outcome {
	if a.Instance != "" && !ValidInstance(a.Instance) {
		return Invalid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(a, now) {
		return Stale
	}
	o, ok := r.targets[a.Address]
	if !ok || !o.sameProcess(a) {
		return r.add(a, l, now)
	}
	return r.renew(o, a, l, now)
}

// stale reports whether a comes from a process that has left or was replaced, or
// is older than an announcement already received.
func (r *Registrar) stale(a Announcement, now time.Time) bool {
	if d, ok := r.departed[a.Instance]; ok && d.covers(a, now) {
		return true
	}
	o, ok := r.targets[a.Address]
	if !ok {
		return false
	}
	if a.StartedAtUnixMS != o.StartedAtUnixMS {
		return a.StartedAtUnixMS < o.StartedAtUnixMS && !a.Probed && !r.silent(o, now)
	}
	return a.Instance != "" && a.Instance == o.Instance && a.Sequence <= o.Sequence
}

// silent reports whether a target has refused a connection or missed announcements.
func (r *Registrar) silent(t *Target, now time.Time) bool {
	return t.Down || t.ExpiresAt.Sub(now) < r.ttl()-r.ttl()/silenceDivisor
}

func (t *Target) sameProcess(a Announcement) bool {
	if t.Service != a.Service || t.Instance != a.Instance {
		return false
	}
	if t.Probed && t.Draining {
		return a.StartedAtUnixMS <= t.latestStart
	}
	return t.StartedAtUnixMS == a.StartedAtUnixMS || t.Probed
}

func (r *Registrar) add(a Announcement, l router.Limits, now time.Time) Outcome {
	if o, ok := r.targets[a.Address]; ok {
		o.Gate.Drain()
		r.keepDeparture(o, now)
	}
	if r.targets == nil {
		r.targets = make(map[string]*Target)
	}
	slowStartFrom := now
	if a.Instance != "" {
		// A target that reports its own state gets no slow start: when all targets
		// start at once, half of their slots would stay unused. Its request durations
		// show whether it is slow.
		slowStartFrom = time.Time{}
	}
	t := &Target{Announcement: a, Gate: gatekeeper.New(l, slowStartFrom), AnnouncedAt: now, ExpiresAt: now.Add(r.ttl()), ColdUntil: now.Add(a.ColdRemaining)}
	r.targets[a.Address] = t
	if a.Draining {
		t.close(now.UnixMilli())
	}
	r.notify()
	if a.Draining {
		return Drained
	}
	return Added
}

func (r *Registrar) renew(o *Target, a Announcement, l router.Limits, now time.Time) Outcome {
	o.ExpiresAt = now.Add(r.ttl())
	startsDraining := a.Draining && !o.Draining
	a.Draining = a.Draining || o.Draining
	before, wasDown := r.recordOf(o), o.Down
	o.Down = false
	o.Announcement = a
	o.ColdUntil = now.Add(a.ColdRemaining)
	if startsDraining {
		o.close(now.UnixMilli())
	}
	// The configuration may have arrived or changed since the last announcement.
	o.Gate.Limit(l)
	if wasDown || before != r.recordOf(o) {
		r.notify()
	}
	if startsDraining {
		return Drained
	}
	return Renewed
}

func (r *Registrar) ttl() time.Duration {
	if r.TTL > 0 {
		return r.TTL
	}
	return DefaultTTL
}

// close permanently stops new requests to the target, which has started at latestStart at
// the latest.
func (t *Target) close(latestStart int64) {
	t.Gate.Drain()
	t.Draining = true
	if t.latestStart == 0 {
		t.latestStart = latestStart
	}
}

// recordOf returns the record of a target that is gossiped to other nodes.
func (r *Registrar) recordOf(t *Target) gossiper.Target {
	k := gossiper.Target{
		Service:     t.Service,
		Address:     t.Address,
		Draining:    t.Draining || t.Suspended,
		Slots:       t.Slots,
		Connections: t.Connections,
	}
	if t.Draining {
		k.Instance = t.Instance
		k.StartedAtUnixMS = t.StartedAtUnixMS
		if k.StartedAtUnixMS == 0 {
			k.StartedAtUnixMS = t.latestStart
		}
	}
	if r.Versions && len(t.Version) <= maxVersionBytes {
		k.Version = t.Version
	}
	return k
}

// Find returns the target of a service at address, draining or not.
func (r *Registrar) Find(service, address string) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok || t.Service != service {
		return Target{}, false
	}
	return *t, true
}

// Drain stops new requests to the target at address and returns the target.
func (r *Registrar) Drain(address string, now time.Time) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok {
		return Target{}, false
	}
	draining := t.Draining
	t.close(now.UnixMilli())
	if !draining {
		r.notify()
	}
	return *t, true
}

// Suspend stops new requests to every target because the node is stopping. It
// records no departures, so that the node uses the targets again after a restart.
func (r *Registrar) Suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Gate.Drain()
		t.Suspended = true
	}
	r.notify()
}

// RecordDeparture permanently stops new requests to one process of a target, and returns
// the record of its departure. It returns false if neither the process nor the only target
// that it can be is known, so that nobody else can be told.
func (r *Registrar) RecordDeparture(instance string, now time.Time) (gossiper.Target, bool) {
	if !ValidInstance(instance) {
		return gossiper.Target{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.Instance != instance {
			continue
		}
		draining := t.Draining
		t.close(now.UnixMilli())
		k := r.recordOf(t)
		r.storeDeparture(k, now)
		if !draining {
			r.notify()
		}
		return k, true
	}
	if d, ok := r.departed[instance]; ok && !d.expired(now) {
		return d.target, d.target.Service != ""
	}
	k := gossiper.Target{Instance: instance, StartedAtUnixMS: now.UnixMilli(), Draining: true}
	if r.Beside != nil {
		k.Service, k.Address = r.Beside()
	}
	if k.Service == "" || k.Address == "" {
		r.storeDeparture(gossiper.Target{Instance: instance}, now)
		return gossiper.Target{}, false
	}
	r.storeDeparture(k, now)
	r.notify()
	return k, true
}

// Leaving returns the record of the target at address if that process is leaving.
func (r *Registrar) Leaving(address, instance string) (gossiper.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok || t.Instance != instance || !t.Draining {
		return gossiper.Target{}, false
	}
	return r.recordOf(t), true
}

// RestoreDepartures applies the targets that an earlier process of this node had gossiped, as
// returned by other nodes. Those that were draining are not used again.
func (r *Registrar) RestoreDepartures(earlier []gossiper.Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, f := range earlier {
		if !f.Draining || !ValidInstance(f.Instance) {
			continue
		}
		if f.StartedAtUnixMS == 0 {
			// Earlier builds recorded no bound. The process has started before it left.
			f.StartedAtUnixMS = now.UnixMilli()
		}
		r.storeDeparture(f, now)
		changed = true
		for _, t := range r.targets {
			if t.Instance == f.Instance && (t.StartedAtUnixMS <= f.StartedAtUnixMS || t.Probed) {
				t.close(f.StartedAtUnixMS)
			}
		}
	}
	if changed {
		r.notify()
	}
}

// keepDeparture stores the departure of a target that is removed or replaced while it
// drains, since announcements that it sent before may still arrive.
func (r *Registrar) keepDeparture(t *Target, now time.Time) {
	if t.Draining && ValidInstance(t.Instance) {
		r.storeDeparture(r.recordOf(t), now)
	}
}

func (r *Registrar) storeDeparture(t gossiper.Target, now time.Time) {
	if r.departed == nil {
		r.departed = make(map[string]departure)
	}
	for n, d := range r.departed {
		if d.expired(now) {
			delete(r.departed, n)
		}
	}
	if d, ok := r.departed[t.Instance]; ok {
		// An earlier process under the same name may be recorded after a later one.
		t.StartedAtUnixMS = max(t.StartedAtUnixMS, d.target.StartedAtUnixMS)
	}
	r.departed[t.Instance] = departure{target: t, at: now}
}

// Limit sets the limits of every target to the result of limits.
func (r *Registrar) Limit(limits func(Announcement) router.Limits) {
	for _, t := range r.List() {
		t.Gate.Limit(limits(t.Announcement))
	}
}

// MarkDown marks the target at address as down because it refused a connection. It
// gets no new requests until it is announced again.
func (r *Registrar) MarkDown(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok || t.Down {
		return false
	}
	t.Down = true
	r.notify()
	return true
}

// Remove closes the gate of the target at address and deletes the target.
func (r *Registrar) Remove(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok {
		return false
	}
	t.Gate.Drain()
	r.keepDeparture(t, now)
	delete(r.targets, address)
	r.notify()
	return true
}

// Expire removes and returns the targets whose announcements have expired.
func (r *Registrar) Expire(now time.Time) []Announcement {
	var l []Announcement
	for _, t := range r.List() {
		if now.After(t.ExpiresAt) && r.Remove(t.Address, now) {
			l = append(l, t.Announcement)
		}
	}
	return l
}

// List returns the targets, sorted by address.
func (r *Registrar) List() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list()
}

func (r *Registrar) list() []Target {
	l := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		l = append(l, *t)
	}
	slices.SortFunc(l, func(a, b Target) int { return strings.Compare(a.Address, b.Address) })
	return l
}

func (r *Registrar) notify() {
	if r.Changed == nil {
		return
	}
	l := make([]gossiper.Target, 0, len(r.targets))
	known := make(map[string]bool)
	for _, t := range r.list() {
		known[t.Instance] = true
		if !t.Down {
			l = append(l, r.recordOf(&t))
		}
	}
	// Other nodes store the departures, in case this node restarts.
	for _, n := range slices.Sorted(maps.Keys(r.departed)) {
		if d := r.departed[n]; !known[n] && d.target.Service != "" {
			l = append(l, d.target)
		}
	}
	r.Changed(l)
}
