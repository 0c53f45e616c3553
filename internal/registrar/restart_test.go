package registrar

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// TestRestartedNodeKeepsTargetsOut restarts a node after its target has left: what
// other nodes remember of the earlier life, and a departure of which only the name
// is known, keep late announcements and healthy answers of that life out.
func TestRestartedNodeKeepsTargetsOut(t *testing.T) {
	var told []gossiper.Target
	former := Registrar{Changed: func(l []gossiper.Target) { told = l }}
	former.Announce(life("a", 5, 3), router.Limits{Slots: 4}, start)
	if !former.Depart("a", start) {
		t.Fatal("the target is not known")
	}
	tests := []struct {
		name string
		// before is known when the memory of others arrives.
		before []Announcement
		next   Announcement
		after  time.Duration
		open   bool
	}{
		{"a late announcement", nil, life("a", 5, 4), 0, false},
		{"a healthy answer", nil, probed(life("a", 0, 0)), 0, false},
		{"an answer that came before", []Announcement{probed(life("a", 0, 0))}, life("a", 5, 4), 0, false},
		{"the same name, born later", nil, life("a", 6, 1), 0, true},
		{"another life", nil, life("b", 6, 1), 0, true},
		{"the same life after an hour", nil, life("a", 5, 4), time.Hour, true},
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
					r.Recall(told, start)
				} else {
					// The target repeats its departure, or leaves just now.
					r.Depart("a", start)
					open = open && (c.next.Instance != "a" || c.after > 0)
				}
				r.Announce(c.next, router.Limits{Slots: 4}, start.Add(c.after))
				if got := takesWork(&r); got != open {
					t.Errorf("takes work: %v, want %v", got, open)
				}
			})
		}
	}
}

func takesWork(r *Registrar) bool {
	return slices.ContainsFunc(r.List(), func(t Target) bool { return !t.Draining && !t.Down })
}

// TestTargetsOutliveTheStopOfTheirNode stops a node as planned, which closes the gates
// of targets that go on. Its next life uses them at once.
func TestTargetsOutliveTheStopOfTheirNode(t *testing.T) {
	var told []gossiper.Target
	former := Registrar{Changed: func(l []gossiper.Target) { told = l }}
	former.Announce(life("a", 5, 3), router.Limits{Slots: 4}, start)
	former.Suspend()
	if len(told) != 1 || !told[0].Draining {
		t.Errorf("others were told of %v", told)
	}
	var r Registrar
	r.Recall(told, start)
	if o := r.Announce(probed(life("a", 0, 0)), router.Limits{Slots: 4}, start); o != Added || !takesWork(&r) {
		t.Errorf("the target was %s", o)
	}
}

// TestDeparturesAreRememberedByOthers restarts a node twice.
func TestDeparturesAreRememberedByOthers(t *testing.T) {
	var told []gossiper.Target
	tell := func(l []gossiper.Target) { told = l }
	first := Registrar{Changed: tell}
	first.Announce(life("a", 5, 3), router.Limits{Slots: 4}, start)
	first.Depart("a", start)
	second := Registrar{Changed: tell}
	second.Recall(told, start)
	second.Announce(life("b", 6, 1), router.Limits{Slots: 4}, start)
	third := Registrar{}
	third.Recall(told, start)
	if o := third.Announce(life("a", 5, 9), router.Limits{Slots: 4}, start); o != Stale {
		t.Errorf("the target that left two lives ago was %s", o)
	}
}

// TestLimitsFollowTheConfiguration has a target announce itself before there is a
// configuration, which allows it more slots.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	few, many := router.Limits{Slots: 12}, router.Limits{Slots: 18}
	tests := []struct {
		name string
		next func(r *Registrar)
	}{
		{"with the next announcement", func(r *Registrar) { r.Announce(life("a", 1, 2), many, start) }},
		{"when the configuration comes", func(r *Registrar) { r.Limit(func(Announcement) router.Limits { return many }) }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var r Registrar
			r.Announce(life("a", 1, 1), few, start)
			c.next(&r)
			if n := r.List()[0].Gate.Load("").Slots; n != many.Slots {
				t.Errorf("%d slots, want %d", n, many.Slots)
			}
		})
	}
}

// TestTimeOfDayThatWentBack has a target start again on a VM whose time of day went
// back, so that its new life seems to have begun before the earlier one.
func TestTimeOfDayThatWentBack(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		lost  bool
		want  Outcome
	}{
		{"while the earlier life announces itself", time.Second, false, Stale},
		{"after the earlier life refused connections", time.Second, true, Added},
		{"after the earlier life fell silent", 3 * time.Second, false, Added},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var r Registrar
			r.Announce(life("a", 5_000_000, 9), router.Limits{Slots: 4}, start)
			if c.lost {
				r.Lose(address)
			}
			if o := r.Announce(life("b", 1, 1), router.Limits{Slots: 4}, start.Add(c.after)); o != c.want {
				t.Errorf("the new life was %s, want %s", o, c.want)
			}
		})
	}
}
