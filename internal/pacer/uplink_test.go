package pacer

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

// TestDownloadsOverASlowLink replays downloads of 280 KB, three times as many as
// a link of 25 Mbit/s carries, for 20 s. A bound on what is promised keeps those
// that are taken within their objective and the link busy, but for the few that
// come before any size is known; without one, only the first are in time.
func TestDownloadsOverASlowLink(t *testing.T) {
	const (
		size      = 280_000
		rate      = 25e6 / 8
		period    = time.Second / 33
		count     = 660
		work      = 110 * time.Millisecond
		objective = 600 * time.Millisecond
		// unseen come before the first answer.
		unseen = int(work/period) + 1
		// carried is what the usable part of the link takes in the time.
		carried = usablePart * rate * float64(count) * float64(period) / float64(time.Second) / size
	)
	tests := []struct {
		name    string
		bounded bool
		sizes   map[string]float64
		check   func(timely, late int) bool
	}{
		{"bounded", true, map[string]float64{"map": size}, func(timely, late int) bool { return float64(timely) > 0.9*carried && late == 0 }},
		{"bounded, sizes are not known", true, nil, func(timely, late int) bool { return float64(timely) > 0.9*carried && late <= unseen }},
		{"unbounded", false, nil, func(timely, late int) bool { return timely < 20 && late == count-timely }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := Uplink{BytesPerSecond: rate, sizes: c.sizes}
				var mu sync.Mutex
				var timely, late int
				serve := func() {
					begun := time.Now()
					room := &Reservation{link: &u}
					if c.bounded {
						var err error
						if room, err = u.Reserve("map", objective, work); err != nil {
							return
						}
					}
					time.Sleep(work)
					room.Resize(size)
					time.Sleep(u.Claim(size, time.Now()) + u.Duration(size))
					room.End()
					mu.Lock()
					defer mu.Unlock()
					if time.Since(begun) <= objective {
						timely++
					} else {
						late++
					}
				}
				var w sync.WaitGroup
				for range count {
					w.Go(serve)
					time.Sleep(period)
				}
				w.Wait()
				if !c.check(timely, late) {
					t.Errorf("%d in time and %d late of %d, the link carries %.0f", timely, late, count, carried)
				}
			})
		})
	}
}

// TestLateDownloadsLeaveRoom fills a link with requests that miss their objective
// anyway: a timely one still finds room, a late one does not.
func TestLateDownloadsLeaveRoom(t *testing.T) {
	const size, rate = 280_000, 25e6 / 8
	u := Uplink{BytesPerSecond: rate, sizes: map[string]float64{"map": size}}
	n := 0
	for range 20 {
		if _, err := u.Reserve("map", time.Millisecond, 0); err == nil {
			n++
		}
	}
	if n == 0 || n > 2 {
		t.Errorf("%d late answers were promised", n)
	}
	if _, err := u.Reserve("map", 600*time.Millisecond, 0); err != nil {
		t.Errorf("a timely one was refused: %v", err)
	}
	if _, err := u.Reserve("map", time.Millisecond, 0); err == nil {
		t.Error("another late one was promised")
	}
}

// TestUplinkIsNotPromisedTwice replays downloads of 280 KB over a link of
// 25 Mbit/s: five fit at once, and small answers always do.
func TestUplinkIsNotPromisedTwice(t *testing.T) {
	const size, rate = 280_000, 25e6 / 8
	tests := []struct {
		name string
		rate float64
		want int
	}{
		{"a slow link", rate, 5},
		{"a fast link", 40 * rate, 100},
		{"a link of unknown rate", 0, 100},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			u := Uplink{BytesPerSecond: c.rate}
			for _, k := range []struct {
				class string
				size  int64
			}{{"map", size}, {"check", 500}} {
				r, err := u.Reserve(k.class, 0, 0)
				if err != nil {
					t.Fatal(err)
				}
				r.Resize(k.size)
				r.End()
			}
			var promised []*Reservation
			for range 100 {
				if r, err := u.Reserve("map", 0, 0); err == nil {
					promised = append(promised, r)
				} else if w, ok := judge.WaitOf(err); !ok || w <= 0 || judge.VerdictOf(err) != judge.NotRun {
					t.Errorf("refused without saying for how long: %v", err)
				}
			}
			if len(promised) != c.want {
				t.Errorf("%d were promised, expected %d", len(promised), c.want)
			}
			if _, err := u.Reserve("check", 0, 0); err != nil {
				t.Errorf("a small answer was refused: %v", err)
			}
			for _, r := range promised {
				r.End()
			}
			if _, err := u.Reserve("map", 0, 0); err != nil {
				t.Errorf("the link is not free again: %v", err)
			}
		})
	}
}

// TestOtherTrafficDelaysLargeAnswers moves other bytes over the link between two
// claims.
func TestOtherTrafficDelaysLargeAnswers(t *testing.T) {
	const rate = 1e6 / usablePart
	tests := []struct {
		name  string
		other uint64
		after time.Duration
		want  time.Duration
	}{
		{"none", 0, 0, 100 * time.Millisecond},
		{"the link was idle in between", 0, 300 * time.Millisecond, 0},
		{"other bytes wait too", 50_000, 0, 150 * time.Millisecond},
		{"other bytes were moved in between", 50_000, 300 * time.Millisecond, 0},
		{"more than the link could move", 500_000, 300 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var moved uint64
			u := Uplink{BytesPerSecond: rate, Traffic: func() uint64 { return moved }}
			now := time.Unix(1_800_000_000, 0)
			if w := u.Claim(100_000, now); w != 0 {
				t.Errorf("an idle link is busy for %s", w)
			}
			moved += 100_000 + c.other
			if w := u.Claim(1, now.Add(c.after)); (w - c.want).Abs() > time.Millisecond {
				t.Errorf("busy for %s, want %s", w, c.want)
			}
		})
	}
}

// TestAnswersThatWereGivenUpHideNoTraffic claims the link for an answer that is
// never sent. Later traffic counts from its first byte.
func TestAnswersThatWereGivenUpHideNoTraffic(t *testing.T) {
	var sent uint64
	u := Uplink{BytesPerSecond: 1e6 / usablePart, Traffic: func() uint64 { return sent }}
	now := time.Unix(1_800_000_000, 0)
	u.Claim(500_000, now)
	now = now.Add(time.Second)
	u.Claim(1, now)
	sent = 100_000
	if w := u.Claim(1, now); (w - 100*time.Millisecond).Abs() > time.Millisecond {
		t.Errorf("busy for %s, want 100ms", w)
	}
}
