package gatekeeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

func warm(slots, queue int) *Gate {
	return New(router.Limits{Slots: slots, Queue: queue}, time.Time{})
}

// enter asks for a slot with a deadline after wait, and returns what gives it back.
func enter(t *testing.T, g *Gate, wait time.Duration) (func(), error) {
	t.Helper()
	return enterWith(t, g, Ticket{Deadline: time.Now().Add(wait)})
}

func enterWith(t *testing.T, g *Gate, k Ticket) (func(), error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), k.Deadline)
	defer cancel()
	p, err := g.Enter(ctx, k)
	if err != nil {
		return nil, err
	}
	return func() { p.Leave(Answered) }, nil
}

func TestQueueGoesByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warm(1, 3)
		leave, err := enter(t, g, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan time.Duration, 3)
		for _, d := range []time.Duration{30, 10, 20} {
			go func() {
				l, err := enter(t, g, d*time.Second)
				if err != nil {
					t.Error(err)
					return
				}
				order <- d
				l()
			}()
			synctest.Wait()
		}
		if _, err := enter(t, g, time.Minute); judge.VerdictOf(err) != judge.NotRun || !judge.Is(err, judge.Overloaded) {
			t.Errorf("the queue has a fourth place: %v", err)
		}
		leave()
		for _, want := range []time.Duration{10, 20, 30} {
			if d := <-order; d != want {
				t.Errorf("got %d, want %d", d, want)
			}
		}
	})
}

func TestWaitingEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warm(1, 3)
		leave, _ := enter(t, g, time.Hour)
		s := time.Now()
		_, err := enter(t, g, 2*time.Second)
		if judge.VerdictOf(err) != judge.NotRun || time.Since(s) != 2*time.Second {
			t.Errorf("got %v after %s", err, time.Since(s))
		}
		leave()
		if _, err := enter(t, g, time.Second); err != nil {
			t.Errorf("the slot is lost: %v", err)
		}
	})
}

func TestDrainRefusesAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warm(1, 3)
		leave, _ := enter(t, g, time.Hour)
		waited := make(chan error, 1)
		go func() {
			_, err := enter(t, g, time.Hour)
			waited <- err
		}()
		synctest.Wait()
		g.Drain()
		if err := <-waited; judge.VerdictOf(err) != judge.NotRun {
			t.Errorf("the waiting request: %v", err)
		}
		if _, err := enter(t, g, time.Second); judge.VerdictOf(err) != judge.NotRun {
			t.Errorf("a new request: %v", err)
		}
		select {
		case <-g.Idle():
			t.Error("idle with a request running")
		default:
		}
		leave()
		leave()
		<-g.Idle()
		if n := g.Running(); n != 0 {
			t.Errorf("%d running", n)
		}
	})
}

func TestColdTargetStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(router.Limits{Slots: 12}, time.Now())
		for _, c := range []struct {
			age  time.Duration
			want int
		}{{0, 3}, {WarmUp / 2, 7}, {WarmUp, 12}} {
			if n := g.slots(time.Now().Add(c.age)); n != c.want {
				t.Errorf("after %s: %d slots, want %d", c.age, n, c.want)
			}
		}
	})
}

// fill takes every slot of g for a while and returns what gives one back.
func fill(t *testing.T, g *Gate, n int) []func() {
	t.Helper()
	var l []func()
	for range n {
		f, err := enterWith(t, g, Ticket{Class: "read", Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, f)
	}
	return l
}

// teach makes g know that requests of a class take d.
func teach(t *testing.T, g *Gate, class string, d time.Duration) {
	t.Helper()
	for range 3 {
		f, err := enterWith(t, g, Ticket{Class: class, Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
		f()
	}
}

// TestWhatCanNotBeServedIsRefusedAtOnce replays a burst at a full target: who
// could not be answered in time is told so without waiting, and for how long.
func TestWhatCanNotBeServedIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		ticket func(now time.Time) Ticket
		taken  bool
	}{
		{"there is time", func(now time.Time) Ticket { return Ticket{Deadline: now.Add(time.Second)} }, true},
		{"the wait is too long", func(now time.Time) Ticket { return Ticket{Deadline: now.Add(120 * time.Millisecond)} }, false},
		{"only a free slot would do", func(now time.Time) Ticket { return Ticket{Deadline: now.Add(time.Second), Immediate: true} }, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warm(2, 8)
				teach(t, g, "read", 100*time.Millisecond)
				l := fill(t, g, 2)
				begun := time.Now()
				k := c.ticket(begun)
				k.Class = "read"
				done := make(chan error, 1)
				go func() {
					f, err := enterWith(t, g, k)
					if err == nil {
						f()
					}
					done <- err
				}()
				synctest.Wait()
				select {
				case err := <-done:
					w, ok := judge.WaitOf(err)
					if c.taken || !ok || w <= 0 || judge.VerdictOf(err) != judge.NotRun {
						t.Errorf("refused: %v", err)
					}
				default:
					if !c.taken {
						t.Error("it waits for nothing")
					}
				}
				for _, f := range l {
					f()
				}
				if c.taken {
					if err := <-done; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}

// TestRanks replays a queue that fills with less urgent work before calls of
// targets and urgent requests come.
func TestRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warm(1, 3)
		teach(t, g, "read", 10*time.Millisecond)
		held := fill(t, g, 1)
		now := time.Now()
		order := make(chan string, 8)
		ask := func(name string, k Ticket) {
			k.Class, k.Deadline = "read", now.Add(time.Minute)
			go func() {
				f, err := enterWith(t, g, k)
				if err != nil {
					order <- name + " refused"
					return
				}
				order <- name
				f()
			}()
			synctest.Wait()
		}
		ask("reading", Ticket{Priority: 2, Objective: now.Add(time.Second)})
		ask("late booking", Ticket{Priority: 1, Objective: now.Add(time.Millisecond)})
		ask("booking", Ticket{Priority: 1, Objective: now.Add(time.Second)})
		ask("call", Ticket{Nested: true, Priority: 3})
		held[0]()
		for _, want := range []string{"late booking refused", "call", "booking", "reading"} {
			if got := <-order; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
	})
}

// TestGivenUpWorkCountsAsLong replays a target that turns slow for good: all are
// given up, and the estimate follows although none is answered.
func TestGivenUpWorkCountsAsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warm(1, 3)
		teach(t, g, "read", 10*time.Millisecond)
		for range 60 {
			p, err := g.Enter(t.Context(), Ticket{Class: "read", Deadline: time.Now().Add(time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			p.Leave(Abandoned)
		}
		if d := g.Load("read").Duration; d < 900*time.Millisecond {
			t.Errorf("estimated at %s", d)
		}
	})
}
