package arbiter

import (
	"testing"
	"time"
)

var (
	booking = Kind{Name: "booking", Priority: 1, Services: []string{"ledger"}}
	reading = Kind{Name: "reading", Priority: 2, Services: []string{"catalog"}}
)

// refusingService returns the service that refuses requests in these tests, or
// empty if the request was served.
func refusingService(refused bool) string {
	if refused {
		return "ledger"
	}
	return ""
}

// TestServedSharesConvergeUnderOverload simulates an overloaded service. Reading
// requests enter at another service but call the ledger once each, and the ledger
// serves these nested calls first. Without an arbiter, bookings starve.
func TestServedSharesConvergeUnderOverload(t *testing.T) {
	const bookings, readings, slots = 10, 20, 18
	tests := []struct {
		name    string
		arbiter bool
		fair    bool
	}{
		{"with an arbiter the shares are similar", true, true},
		{"without an arbiter bookings starve", false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var a Arbiter
			now := time.Unix(1_800_000_000, 0)
			a.Learn(reading, []string{"ledger"}, now)
			served := map[string]int{}
			for round := range 200 {
				now = now.Add(100 * time.Millisecond)
				a.Learn(reading, []string{"ledger"}, now)
				free := slots
				for range readings {
					_, ok := a.Allow(reading, now)
					ok = (ok || !c.arbiter) && free > 0
					a.Note(reading, refusingService(!ok), now)
					if ok {
						free--
						served["reading"]++
					}
				}
				for range bookings {
					ok := free > 0
					a.Note(booking, refusingService(!ok), now)
					if ok {
						free--
						served["booking"]++
					}
				}
				if round == 99 {
					clear(served)
				}
			}
			b := float64(served["booking"]) / (100 * bookings)
			r := float64(served["reading"]) / (100 * readings)
			if fair := b > r-0.1 && b+r > 1; fair != c.fair {
				t.Errorf("served %.2f of the bookings and %.2f of the readings", b, r)
			}
		})
	}
}

func TestAllow(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name  string
		setup func(a *Arbiter)
		want  bool
	}{
		{"no requests recorded", func(*Arbiter) {}, true},
		{"a more urgent kind is refused, but elsewhere", func(a *Arbiter) {
			for range 10 {
				a.Note(booking, "ledger", now)
			}
		}, true},
		{"a more urgent kind is refused by a callee", func(a *Arbiter) {
			a.Learn(reading, []string{"ledger"}, now)
			for range 10 {
				a.Note(booking, "ledger", now)
			}
		}, false},
		{"a more urgent kind is refused by a service that only it calls", func(a *Arbiter) {
			a.Learn(reading, []string{"files"}, now)
			a.Learn(booking, []string{"files"}, now)
			for range 10 {
				a.Note(booking, "ledger", now)
			}
		}, true},
		{"the refusals are old", func(a *Arbiter) {
			a.Learn(reading, []string{"ledger"}, now)
			for range 10 {
				a.Note(booking, "ledger", now.Add(-time.Minute))
			}
		}, true},
		{"a less urgent kind is refused", func(a *Arbiter) {
			a.Learn(reading, []string{"ledger"}, now)
			k := booking
			k.Priority = 3
			for range 10 {
				a.Note(k, "ledger", now)
			}
		}, true},
		{"both are refused as often", func(a *Arbiter) {
			a.Learn(reading, []string{"ledger"}, now)
			for i := range 10 {
				a.Note(booking, refusingService(i%2 == 0), now)
				a.Note(reading, refusingService(i%2 == 0), now)
			}
		}, false},
		{"the less urgent one is refused more often", func(a *Arbiter) {
			a.Learn(reading, []string{"ledger"}, now)
			for i := range 10 {
				a.Note(booking, refusingService(i%2 == 0), now)
				a.Note(reading, refusingService(i%5 > 0), now)
			}
		}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var a Arbiter
			c.setup(&a)
			denied := 0
			for range 100 {
				if _, ok := a.Allow(reading, now); !ok {
					denied++
				}
			}
			if g := denied < 10; g != c.want {
				t.Errorf("%d of 100 were denied", denied)
			}
		})
	}
}
