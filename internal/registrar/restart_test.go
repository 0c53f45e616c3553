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
