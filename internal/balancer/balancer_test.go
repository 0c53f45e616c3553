package balancer

import (
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

func endpoint(address, dataCenter string) gossiper.Endpoint {
	return gossiper.Endpoint{Target: gossiper.Target{Address: address}, DataCenter: dataCenter, Incarnation: 1}
}

func TestFailingTargetIsEjected(t *testing.T) {
	var b Balancer
	now := time.Unix(1_800_000_000, 0)
	l := []gossiper.Endpoint{endpoint("dead", "a"), endpoint("good", "a")}
	failed := 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		e, ok := b.Pick(l, Query{DataCenter: "a"}, now)
		if !ok {
			t.Fatalf("call %d has no target", i)
		}
		o := Answered
		if e.Address == "dead" {
			o = Failed
			failed++
		}
		b.Start(e, now)(o, now)
	}
	if failed > 3*ejectionThreshold {
		t.Errorf("%d of 1000 calls went to the failing target", failed)
	}
	// A newer incarnation means that the target is back.
	l[0].Incarnation = 2
	for range 100 {
		if e, _ := b.Pick(l, Query{DataCenter: "a"}, now); e.Address == "dead" {
			return
		}
	}
	t.Error("the returned target is never used")
}

func TestTierSelection(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	near, far := endpoint("near", "a"), endpoint("far", "b")
	tests := []struct {
		name    string
		outcome Outcome
		calls   int
		want    string
	}{
		{"own data centre first", Answered, 1, "near"},
		{"another one when it is full", Shed, 1, "far"},
		{"another one when it has left", Departed, 1, "far"},
		{"a single failure does not eject", Failed, 1, "near"},
		{"another one after failures", Failed, 2, "far"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var b Balancer
			for range c.calls {
				b.Start(near, now)(c.outcome, now)
			}
			if e, _ := b.Pick([]gossiper.Endpoint{near, far}, Query{DataCenter: "a"}, now); e.Address != c.want {
				t.Errorf("got %s", e.Address)
			}
		})
	}
	var b Balancer
	b.Start(near, now)(Departed, now)
	if _, ok := b.Pick([]gossiper.Endpoint{near}, Query{DataCenter: "a"}, now); !ok {
		t.Error("the only target is not tried")
	}
}

// TestSlowTargetGetsFewCalls simulates a service with one target that takes, and
// reports, ten times the duration of the other three. Round robin would send it a
// quarter of the calls.
func TestSlowTargetGetsFewCalls(t *testing.T) {
	var b Balancer
	now := time.Unix(1_800_000_000, 0)
	l := []gossiper.Endpoint{endpoint("slow", "a"), endpoint("x", "a"), endpoint("y", "a"), endpoint("z", "a")}
	for i := range l {
		l[i].Slots = 12
		l[i].Node = l[i].Address
	}
	const calls = 1000
	n := map[string]int{}
	for range calls {
		now = now.Add(5 * time.Millisecond)
		e, ok := b.Pick(l, Query{DataCenter: "a", Class: "read", Objective: 400 * time.Millisecond}, now)
		if !ok {
			t.Fatal("nothing chosen")
		}
		n[e.Address]++
		d := 100 * time.Millisecond
		if e.Address == "slow" {
			d *= 10
		}
		end := b.Start(e, now)
		b.Learn(e.Address, "read", gatekeeper.Load{Running: 2, Slots: 12, Duration: d}, now.Add(time.Millisecond))
		end(Answered, now.Add(time.Millisecond))
	}
	if n["slow"] > calls/20 {
		t.Errorf("%v", n)
	}
}

// TestOverflowGoesToOtherDataCentre fills the only target of a data centre while
// another data centre has free slots.
func TestOverflowGoesToOtherDataCentre(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	near, far := endpoint("near", "a"), endpoint("far", "b")
	near.Slots, far.Slots = 12, 12
	near.Node, far.Node = "n", "f"
	tests := []struct {
		name    string
		running int
		waiting int
		want    string
	}{
		{"near target has free slots", 6, 0, "near"},
		{"near target is full and has a queue", 12, 24, "far"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var b Balancer
			b.Learn("near", "read", gatekeeper.Load{Running: c.running, Waiting: c.waiting, Slots: 12, Duration: 120 * time.Millisecond}, now)
			b.Learn("far", "read", gatekeeper.Load{Running: 2, Slots: 12, Duration: 120 * time.Millisecond}, now)
			e, _ := b.Pick([]gossiper.Endpoint{near, far}, Query{DataCenter: "a", Class: "read", Objective: 400 * time.Millisecond}, now)
			if e.Address != c.want {
				t.Errorf("got %s", e.Address)
			}
		})
	}
}

func TestBusyStateExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := gossiper.Endpoint{Target: gossiper.Target{Address: "a", Slots: 2}}
	tests := []struct {
		name  string
		setup func(b *Balancer)
		want  bool
	}{
		{"no statistics", func(*Balancer) {}, false},
		{"a call was shed", func(b *Balancer) { b.Start(p, now)(Shed, now) }, true},
		{"queued requests", func(b *Balancer) { b.Learn("a", "c", gatekeeper.Load{Running: 2, Waiting: 1, Slots: 2}, now) }, true},
		{"no queued requests", func(b *Balancer) { b.Learn("a", "c", gatekeeper.Load{Running: 2, Slots: 2}, now) }, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var b Balancer
			c.setup(&b)
			if g := b.Busy("a", now.Add(shedCooldown/2)); g != c.want {
				t.Errorf("busy: %v, want %v", g, c.want)
			}
			if b.Busy("a", now.Add(shedCooldown)) {
				t.Error("still busy after shedCooldown")
			}
		})
	}
}
