package balancer

import (
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

func endpoint(address, dataCenter string) gossiper.Endpoint {
	return gossiper.Endpoint{Target: gossiper.Target{Address: address}, DataCenter: dataCenter, Incarnation: 1}
}

func TestDeadTargetIsLeft(t *testing.T) {
	var b Balancer
	now := time.Unix(1_800_000_000, 0)
	l := []gossiper.Endpoint{endpoint("dead", "a"), endpoint("good", "a")}
	lost := 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		e, ok := b.Pick(l, Query{DataCenter: "a"}, now)
		if !ok {
			t.Fatalf("call %d has no target", i)
		}
		o := Answered
		if e.Address == "dead" {
			o = Failed
			lost++
		}
		b.Start(e, now)(o, now)
	}
	if lost > 3*ejectAfter {
		t.Errorf("%d of 1000 calls went to the dead target", lost)
	}
	// A newer record means that it is back.
	l[0].Incarnation = 2
	for range 100 {
		if e, _ := b.Pick(l, Query{DataCenter: "a"}, now); e.Address == "dead" {
			return
		}
	}
	t.Error("the returned target is never used")
}

func TestTiers(t *testing.T) {
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
		{"one failure proves nothing", Failed, 1, "near"},
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
		t.Error("the only target is not tried although nothing else is left")
	}
}
