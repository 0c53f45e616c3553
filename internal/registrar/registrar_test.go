package registrar

import (
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const address = "10.0.0.1:80"

var start = time.Unix(1_800_000_000, 0)

func life(instance string, born int64, sequence uint64) Announcement {
	return Announcement{Instance: instance, Born: born, Sequence: sequence, Service: "s", Address: address, Slots: 4}
}

func draining(a Announcement) Announcement {
	a.Draining = true
	return a
}

func probed(a Announcement) Announcement {
	a.Probed = true
	return a
}

// TestLateAnnouncements plays what arrives out of order from lives that have
// ended, drain or were replaced.
func TestLateAnnouncements(t *testing.T) {
	tests := []struct {
		name   string
		before []Announcement
		depart string
		next   Announcement
		want   Outcome
		open   bool
	}{
		{"first", nil, "", life("a", 1, 1), Added, true},
		{"next", []Announcement{life("a", 1, 1)}, "", life("a", 1, 2), Renewed, true},
		{"the same again", []Announcement{life("a", 1, 2)}, "", life("a", 1, 2), Stale, true},
		{"drains", []Announcement{life("a", 1, 1)}, "", draining(life("a", 1, 2)), Drained, false},
		{"ready, but from before it drained", []Announcement{life("a", 1, 1), draining(life("a", 1, 3))}, "", life("a", 1, 2), Stale, false},
		{"ready again in the same life", []Announcement{draining(life("a", 1, 3))}, "", life("a", 1, 4), Renewed, false},
		{"an earlier life after its successor", []Announcement{life("b", 2, 1)}, "", life("a", 1, 9), Stale, true},
		{"the same name, born later", []Announcement{life("a", 1, 9)}, "", life("a", 2, 1), Added, true},
		{"another life at the address", []Announcement{draining(life("a", 1, 9))}, "", life("b", 2, 1), Added, true},
		{"after it departed", []Announcement{life("a", 1, 1)}, "a", life("a", 1, 2), Stale, false},
		{"born again after it departed", []Announcement{life("a", 1, 1)}, "a", life("a", 2, 1), Added, true},
		{"announced after it was asked", []Announcement{probed(life("a", 0, 0))}, "", life("a", 1, 7), Renewed, true},
		{"another life after it was asked", []Announcement{probed(life("a", 0, 0))}, "", life("b", 1, 7), Added, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var r Registrar
			for _, a := range c.before {
				r.Announce(a, router.Limits{Slots: 4}, start)
			}
			if c.depart != "" && !r.Depart(c.depart, start) {
				t.Fatal("the departed life was not known")
			}
			if g := r.Announce(c.next, router.Limits{Slots: 4}, start); g != c.want {
				t.Errorf("got %s, want %s", g, c.want)
			}
			f, ok := r.Find("s", address)
			if !ok || f.Draining == c.open {
				t.Errorf("found %v, draining %v, expected it open: %v", ok, f.Draining, c.open)
			}
		})
	}
}

func TestLostTargetsAreNotToldUntilAnnounced(t *testing.T) {
	var told []gossiper.Target
	r := Registrar{Changed: func(l []gossiper.Target) { told = l }}
	r.Announce(life("a", 1, 1), router.Limits{Slots: 4}, start)
	if len(told) != 1 || !r.Lose(address) || len(told) != 0 {
		t.Fatalf("told %v", told)
	}
	if r.Announce(life("a", 1, 1), router.Limits{Slots: 4}, start); len(told) != 0 {
		t.Error("a late announcement brought a lost target back")
	}
	if r.Announce(life("a", 1, 2), router.Limits{Slots: 4}, start); len(told) != 1 {
		t.Error("the target is not back")
	}
	if l := r.Expire(start.Add(DefaultTTL + time.Second)); len(l) != 1 || len(told) != 0 {
		t.Errorf("expired %v, told %v", l, told)
	}
}
