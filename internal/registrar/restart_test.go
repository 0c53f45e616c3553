package registrar

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// TestRestartedNodeIgnoresDepartedTargets checks that a restarted node sends no
// requests to a target that left before the restart, after a late announcement or a
// healthy probe. It learns of the departure from other nodes, or from a repeated
// departure of which it knows only the instance name.
func TestRestartedNodeIgnoresDepartedTargets(t *testing.T) {
	var gossiped []gossiper.Target
	earlier := Registrar{Changed: func(l []gossiper.Target) { gossiped = l }}
	earlier.Announce(announcement("a", 5, 3), router.Limits{Slots: 4}, start)
	if _, ok := earlier.RecordDeparture("a", start); !ok {
		t.Fatal("the target is not known")
	}
	tests := []struct {
		name string
		// before is announced before the departure is known.
		before []Announcement
		next   Announcement
		after  time.Duration
		open   bool
	}{
		{"a late announcement", nil, announcement("a", 5, 4), 0, false},
		{"a healthy probe", nil, probed(announcement("a", 0, 0)), 0, false},
		{"a probe before the departure is known", []Announcement{probed(announcement("a", 0, 0))}, announcement("a", 5, 4), 0, false},
		{"the same instance, started later", nil, announcement("a", 6, 1), 0, true},
		{"another process", nil, announcement("b", 6, 1), 0, true},
		{"the same process after an hour", nil, announcement("a", 5, 4), time.Hour, true},
	}
	for _, c := range tests {
		for _, known := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				var r Registrar
				for _, a := range c.before {
					r.Announce(a, router.Limits{Slots: 4}, start)
				}
				open := c.open
				if known {
					r.RestoreDepartures(gossiped, start)
				} else {
					// The target repeats its departure, or leaves now.
					r.RecordDeparture("a", start)
					open = open && (c.next.Instance != "a" || c.after > 0)
				}
				r.Announce(c.next, router.Limits{Slots: 4}, start.Add(c.after))
				if got := acceptsRequests(&r); got != open {
					t.Errorf("accepts requests: %v, want %v", got, open)
				}
			})
		}
	}
}

func acceptsRequests(r *Registrar) bool {
	return slices.ContainsFunc(r.List(), func(t Target) bool { return !t.Draining && !t.Down })
}

// TestTargetsAreUsedAgainAfterNodeRestart checks that a node uses targets that kept
// running immediately after a planned restart, although its stop closed their gates.
func TestTargetsAreUsedAgainAfterNodeRestart(t *testing.T) {
	var gossiped []gossiper.Target
	earlier := Registrar{Changed: func(l []gossiper.Target) { gossiped = l }}
	earlier.Announce(announcement("a", 5, 3), router.Limits{Slots: 4}, start)
	earlier.Suspend()
	if len(gossiped) != 1 || !gossiped[0].Draining {
		t.Errorf("gossiped %v", gossiped)
	}
	var r Registrar
	r.RestoreDepartures(gossiped, start)
	if o := r.Announce(probed(announcement("a", 0, 0)), router.Limits{Slots: 4}, start); o != Added || !acceptsRequests(&r) {
		t.Errorf("the target was %s", o)
	}
}

// TestDeparturesSurviveTwoRestarts checks that a departure is still known after
// the node has restarted twice.
func TestDeparturesSurviveTwoRestarts(t *testing.T) {
	var gossiped []gossiper.Target
	gossip := func(l []gossiper.Target) { gossiped = l }
	first := Registrar{Changed: gossip}
	first.Announce(announcement("a", 5, 3), router.Limits{Slots: 4}, start)
	first.RecordDeparture("a", start)
	second := Registrar{Changed: gossip}
	second.RestoreDepartures(gossiped, start)
	second.Announce(announcement("b", 6, 1), router.Limits{Slots: 4}, start)
	third := Registrar{}
	third.RestoreDepartures(gossiped, start)
	if o := third.Announce(announcement("a", 5, 9), router.Limits{Slots: 4}, start); o != Stale {
		t.Errorf("the target that left two restarts ago was %s", o)
	}
}

// TestDeparturesCoverProcessesOfUnknownStart guards against targets that are used again
// after a restart of the node: when they left, the node did not know their start time, and
// took the late announcement of the process that had left for one of a later process.
func TestDeparturesCoverProcessesOfUnknownStart(t *testing.T) {
	const life = 20 * time.Second
	left := start.Add(time.Second)
	born := start.Add(-life).UnixMilli()
	tests := []struct {
		name   string
		before []Announcement
		leave  func(r *Registrar)
	}{
		{"known by a probe", []Announcement{probed(announcement("a", 0, 0))}, depart},
		{"known by a probe, and drains in the product's interface", []Announcement{probed(announcement("a", 0, 0))}, func(r *Registrar) { r.Drain(address, start.Add(time.Second)) }},
		{"reports no start time", []Announcement{announcement("a", 0, 1)}, depart},
		{"reports no start time, and drains", []Announcement{announcement("a", 0, 1), draining(announcement("a", 0, 2))}, func(*Registrar) {}},
		{"not known yet", nil, depart},
		{"not known any more", []Announcement{announcement("a", born, 1)}, func(r *Registrar) {
			r.Expire(start.Add(DefaultTTL + time.Second))
			depart(r)
		}},
		{"replaced at its address", []Announcement{announcement("a", born, 1), announcement("b", born+1, 1)}, depart},
		{"an earlier process under the name left before", []Announcement{announcement("a", born-1, 1)}, func(r *Registrar) {
			depart(r)
			r.Announce(announcement("a", born, 1), router.Limits{Slots: 4}, start)
			depart(r)
			r.Expire(start.Add(DefaultTTL + time.Second))
			r.RestoreDepartures([]gossiper.Target{{Service: "s", Address: address, Instance: "a", StartedAtUnixMS: born - 1, Draining: true}}, left)
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var gossiped []gossiper.Target
			earlier := Registrar{Changed: func(l []gossiper.Target) { gossiped = l }, Beside: beside}
			for _, a := range c.before {
				earlier.Announce(a, router.Limits{Slots: 4}, start)
			}
			c.leave(&earlier)
			var r Registrar
			// Two restarts: the next process passes on what it was told.
			for range 2 {
				r = Registrar{Changed: func(l []gossiper.Target) { gossiped = l }, Beside: beside}
				r.RestoreDepartures(gossiped, left.Add(time.Second))
				if o := r.Announce(probed(announcement("a", 0, 0)), router.Limits{Slots: 4}, left.Add(time.Second)); o != Stale {
					t.Errorf("a healthy probe was %s", o)
				}
				if o := r.Announce(announcement("a", born, 9), router.Limits{Slots: 4}, left.Add(2*time.Second)); o != Stale || acceptsRequests(&r) {
					t.Errorf("the late announcement was %s", o)
				}
			}
			later := announcement("a", left.Add(time.Second).UnixMilli(), 1)
			if o := r.Announce(later, router.Limits{Slots: 4}, left.Add(3*time.Second)); o != Added || !acceptsRequests(&r) {
				t.Errorf("the announcement of a later process was %s", o)
			}
		})
	}
}

func depart(r *Registrar) { r.RecordDeparture("a", start.Add(time.Second)) }

func beside() (service, target string) { return "s", address }

// TestRepeatedDeparturesAreTheSame guards against a departure that is recorded again
// whenever the target repeats it.
func TestRepeatedDeparturesAreTheSame(t *testing.T) {
	tests := []struct {
		name   string
		before []Announcement
	}{
		{"known by a probe", []Announcement{probed(announcement("a", 0, 0))}},
		{"not known", nil},
	}
	for _, c := range tests {
		r := Registrar{Beside: beside}
		for _, a := range c.before {
			r.Announce(a, router.Limits{Slots: 4}, start)
		}
		first, ok := r.RecordDeparture("a", start)
		again, also := r.RecordDeparture("a", start.Add(time.Second))
		if !ok || !also || first != again {
			t.Errorf("%s: recorded %+v, then %+v", c.name, first, again)
		}
	}
}

// TestLaterProcessReplacesProbedOne guards against a target that stays out of use for good:
// the node knew an earlier process under its name by a probe only when that left.
func TestLaterProcessReplacesProbedOne(t *testing.T) {
	var r Registrar
	r.Announce(probed(announcement("a", 0, 0)), router.Limits{Slots: 4}, start)
	depart(&r)
	later := announcement("a", start.Add(5*time.Second).UnixMilli(), 1)
	if o := r.Announce(later, router.Limits{Slots: 4}, start.Add(5*time.Second)); o != Added || !acceptsRequests(&r) {
		t.Errorf("the announcement of a later process was %s", o)
	}
}

// TestDrainingOutlivesRemoval guards against a draining target that is used again: it was
// removed because it had become silent, or was replaced, and an announcement that it had
// sent before it drained arrived late.
func TestDrainingOutlivesRemoval(t *testing.T) {
	tests := []struct {
		name   string
		remove func(r *Registrar)
	}{
		{"it became silent", func(r *Registrar) { r.Expire(start.Add(DefaultTTL + time.Second)) }},
		{"another process replaced it and became silent", func(r *Registrar) {
			r.Announce(announcement("b", 6, 1), router.Limits{Slots: 4}, start)
			r.Expire(start.Add(DefaultTTL + time.Second))
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var gossiped []gossiper.Target
			r := Registrar{Changed: func(l []gossiper.Target) { gossiped = l }}
			r.Announce(announcement("a", 5, 3), router.Limits{Slots: 4}, start)
			r.Announce(draining(announcement("a", 5, 4)), router.Limits{Slots: 4}, start)
			c.remove(&r)
			restarted := Registrar{}
			restarted.RestoreDepartures(gossiped, start)
			for _, k := range []*Registrar{&r, &restarted} {
				if o := k.Announce(announcement("a", 5, 2), router.Limits{Slots: 4}, start.Add(DefaultTTL+2*time.Second)); o != Stale {
					t.Errorf("the late announcement was %s", o)
				}
				if o := k.Announce(announcement("a", 7, 1), router.Limits{Slots: 4}, start.Add(DefaultTTL+2*time.Second)); o != Added {
					t.Errorf("the announcement of a later process was %s", o)
				}
			}
		})
	}
}

// TestLimitsFollowTheConfiguration checks that a target that was announced before
// the node had a configuration gets the higher limits of the configuration.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	few, many := router.Limits{Slots: 12}, router.Limits{Slots: 18}
	tests := []struct {
		name string
		next func(r *Registrar)
	}{
		{"with the next announcement", func(r *Registrar) { r.Announce(announcement("a", 1, 2), many, start) }},
		{"when the configuration arrives", func(r *Registrar) { r.Limit(func(Announcement) router.Limits { return many }) }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var r Registrar
			r.Announce(announcement("a", 1, 1), few, start)
			c.next(&r)
			if n := r.List()[0].Gate.Load("").Slots; n != many.Slots {
				t.Errorf("%d slots, want %d", n, many.Slots)
			}
		})
	}
}

// TestTargetRestartsAfterClockWentBack checks that a target can restart on a VM
// whose clock went back, so that the start time of the new process is before that
// of the earlier one. It replaces the earlier process once that is down or silent.
func TestTargetRestartsAfterClockWentBack(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		lost  bool
		want  Outcome
	}{
		{"while the earlier process announces itself", time.Second, false, Stale},
		{"after the earlier process refused connections", time.Second, true, Added},
		{"after the earlier process became silent", 3 * time.Second, false, Added},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var r Registrar
			r.Announce(announcement("a", 5_000_000, 9), router.Limits{Slots: 4}, start)
			if c.lost {
				r.MarkDown(address)
			}
			if o := r.Announce(announcement("b", 1, 1), router.Limits{Slots: 4}, start.Add(c.after)); o != c.want {
				t.Errorf("the new process was %s, want %s", o, c.want)
			}
		})
	}
}
