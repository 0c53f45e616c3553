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
		if _, err := enter(t, g, time.Minute); judge.Of(err) != judge.NotRun || !judge.Is(err, judge.Overloaded) {
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
		if judge.Of(err) != judge.NotRun || time.Since(s) != 2*time.Second {
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
		if err := <-waited; judge.Of(err) != judge.NotRun {
			t.Errorf("the waiting request: %v", err)
		}
		if _, err := enter(t, g, time.Second); judge.Of(err) != judge.NotRun {
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
