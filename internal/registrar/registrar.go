// Package registrar keeps the targets that announced themselves to the node
// beside them, each with its gate.
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
	// DefaultTTL is how long an announcement holds; targets repeat it.
	DefaultTTL = 5 * time.Second
	// departureRetention is how long a life that has left is remembered, so
	// that its late announcements do not bring it back.
	departureRetention = 2 * time.Minute
	// unknownRetention is the same for a life of which only the name is known:
	// longer than an announcement may be on its way, and short, since another life
	// may come back under that name.
	unknownRetention = 10 * time.Second
	// silentShare of the TTL, as a divisor, is how long a target may be silent until
	// one whose life seems to have begun earlier may take its place. The time of
	// day may have gone back between the two.
	silentShare = 3
)

// Announcement is what a target says of itself.
type Announcement struct {
	// Instance names one life of the target; empty where targets do not tell.
	Instance string
	// Born is when that life began, in Unix milliseconds, and Sequence grows
	// with each of its announcements. Together they order announcements.
	Born     int64
	Sequence uint64
	Service  string
	Address  string
	// Slots and Connections bound what the target takes; 0 leaves the bounds
	// of its service.
	Slots       int
	Connections int
	Draining    bool
	// Probed says that the node asked the target itself, and does not know when
	// its life began.
	Probed bool
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
}

// Target is a target beside this node.
type Target struct {
	Announcement

	Gate *gatekeeper.Gate
	// Announced is when this life of the target was first announced.
	Announced time.Time
	// Until is when the target is taken for gone unless it is announced again.
	Until time.Time
	// Down says that the target refused connections since it was announced.
	Down bool
	// Suspended says that the node stops, which the target outlives.
	Suspended bool
}

// Outcome says what became of an announcement.
type Outcome uint8

// The outcomes.
const (
	// Renewed means that a known life goes on.
	Renewed Outcome = iota + 1
	// Added means that a new life has begun.
	Added
	// Drained means that the target's gate has closed.
	Drained
	// Stale means that the announcement is older than what is known.
	Stale
)

var outcomeNames = [...]string{"", "renewed", "added", "drained", "stale"}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// departure is the end of a life.
type departure struct {
	// target has no service where only the life's name is known.
	target gossiper.Target
	at     time.Time
}

func (d departure) over(now time.Time) bool {
	if d.target.Service == "" {
		return now.Sub(d.at) > unknownRetention
	}
	return now.Sub(d.at) > departureRetention
}

// covers reports whether an announcement comes from the life that has ended.
func (d departure) covers(a Announcement, now time.Time) bool {
	return !d.over(now) && (d.target.Service == "" || a.Born <= d.target.Born)
}

// Registrar holds the targets of one node. Its zero value holds none.
type Registrar struct {
	// Changed is called with the new list after every change, when set.
	Changed func([]gossiper.Target)
	// TTL is how long an announcement holds; zero stands for DefaultTTL.
	TTL time.Duration

	mu       sync.Mutex
	targets  map[string]*Target
	departed map[string]departure
}

// Announce adds or renews a target. A target that was lost starts cold; one
// that drains goes on draining.
func (r *Registrar) Announce(a Announcement, l router.Limits, now time.Time) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.late(a, now) {
		return Stale
	}
	o, ok := r.targets[a.Address]
	if !ok || !o.sameLife(a) {
		return r.add(a, l, now)
	}
	return r.renew(o, a, l, now)
}

// late reports whether a comes from a life that has ended, or was overtaken
// by a later announcement.
func (r *Registrar) late(a Announcement, now time.Time) bool {
	if d, ok := r.departed[a.Instance]; ok && d.covers(a, now) {
		return true
	}
	o, ok := r.targets[a.Address]
	if !ok {
		return false
	}
	if a.Born != o.Born {
		return a.Born < o.Born && !a.Probed && !r.silent(o, now)
	}
	return a.Instance != "" && a.Instance == o.Instance && a.Sequence <= o.Sequence
}

// silent reports whether a target has refused connections or missed announcements.
func (r *Registrar) silent(t *Target, now time.Time) bool {
	return t.Down || t.Until.Sub(now) < r.ttl()-r.ttl()/silentShare
}

func (t *Target) sameLife(a Announcement) bool {
	return t.Service == a.Service && t.Instance == a.Instance && (t.Born == a.Born || t.Probed)
}

func (r *Registrar) add(a Announcement, l router.Limits, now time.Time) Outcome {
	if o, ok := r.targets[a.Address]; ok {
		o.Gate.Drain()
	}
	if r.targets == nil {
		r.targets = make(map[string]*Target)
	}
	opened := now
	if a.Instance != "" {
		// A target that tells how it fares is not eased in: when all start at
		// once, half of their slots would stay empty. Its durations tell.
		opened = time.Time{}
	}
	t := &Target{Announcement: a, Gate: gatekeeper.New(l, opened), Announced: now, Until: now.Add(r.ttl())}
	r.targets[a.Address] = t
	if a.Draining {
		t.Gate.Drain()
	}
	r.notify()
	if a.Draining {
		return Drained
	}
	return Added
}

func (r *Registrar) renew(o *Target, a Announcement, l router.Limits, now time.Time) Outcome {
	o.Until = now.Add(r.ttl())
	begins := a.Draining && !o.Draining
	a.Draining = a.Draining || o.Draining
	changed := o.Down || o.record() != record(a)
	o.Down = false
	o.Announcement = a
	if begins {
		o.Gate.Drain()
	}
	// The configuration may have come, or changed, since the last announcement.
	o.Gate.Limit(l)
	if changed {
		r.notify()
	}
	if begins {
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

// record returns what other nodes are told of a target.
func record(a Announcement) gossiper.Target {
	t := gossiper.Target{
		Service:     a.Service,
		Address:     a.Address,
		Draining:    a.Draining,
		Slots:       a.Slots,
		Connections: a.Connections,
	}
	if a.Draining {
		t.Instance = a.Instance
		t.Born = a.Born
	}
	return t
}

func (t *Target) record() gossiper.Target {
	k := record(t.Announcement)
	k.Draining = k.Draining || t.Suspended
	return k
}

// Find returns the target of a service at address, whether it drains or not.
func (r *Registrar) Find(service, address string) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok || t.Service != service {
		return Target{}, false
	}
	return *t, true
}

// Drain stops new work for the target at address and returns it.
func (r *Registrar) Drain(address string) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok {
		return Target{}, false
	}
	t.Gate.Drain()
	if !t.Draining {
		t.Draining = true
		r.notify()
	}
	return *t, true
}

// Suspend stops new work for every target because the node stops. The targets do
// not leave, so that the node's next life uses them again.
func (r *Registrar) Suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		t.Gate.Drain()
		t.Suspended = true
	}
	r.notify()
}

// Depart stops new work for one life of a target, for good. It reports whether
// that life was known.
func (r *Registrar) Depart(instance string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.Instance != instance {
			continue
		}
		a := t.Announcement
		a.Draining = true
		r.remember(record(a), now)
		t.Gate.Drain()
		if !t.Draining {
			t.Draining = true
			r.notify()
		}
		return true
	}
	r.remember(gossiper.Target{Instance: instance}, now)
	return false
}

// Recall takes in what others remember of the targets that an earlier life of this
// node knew: those that were leaving are not used again.
func (r *Registrar) Recall(former []gossiper.Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, f := range former {
		if !f.Draining || f.Instance == "" {
			continue
		}
		r.remember(f, now)
		changed = true
		for _, t := range r.targets {
			if t.Instance == f.Instance && (t.Born <= f.Born || t.Probed) {
				t.Draining = true
				t.Gate.Drain()
			}
		}
	}
	if changed {
		r.notify()
	}
}

func (r *Registrar) remember(t gossiper.Target, now time.Time) {
	if r.departed == nil {
		r.departed = make(map[string]departure)
	}
	for n, d := range r.departed {
		if d.over(now) {
			delete(r.departed, n)
		}
	}
	r.departed[t.Instance] = departure{target: t, at: now}
}

// Limit replaces the limits of every target by what limits returns for it.
func (r *Registrar) Limit(limits func(Announcement) router.Limits) {
	for _, t := range r.List() {
		t.Gate.Limit(limits(t.Announcement))
	}
}

// Lose notes that the target at address refused a connection. It gets no new
// work until it is announced again.
func (r *Registrar) Lose(address string) bool {
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

// Remove forgets the target at address, which gets no new work.
func (r *Registrar) Remove(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[address]
	if !ok {
		return false
	}
	t.Gate.Drain()
	delete(r.targets, address)
	r.notify()
	return true
}

// Expire removes the targets that were not announced again in time.
func (r *Registrar) Expire(now time.Time) []Announcement {
	var l []Announcement
	for _, t := range r.List() {
		if now.After(t.Until) && r.Remove(t.Address) {
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
			l = append(l, t.record())
		}
	}
	// Others remember what has left, should this node be restarted.
	for _, n := range slices.Sorted(maps.Keys(r.departed)) {
		if d := r.departed[n]; !known[n] && d.target.Service != "" {
			l = append(l, d.target)
		}
	}
	r.Changed(l)
}
