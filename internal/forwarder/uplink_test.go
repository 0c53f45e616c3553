package forwarder

import (
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestDownloadsOverASlowLink replays downloads of 280 KB, three times as many as
// a link of 25 Mbit/s carries, for 20 s. A bound on what is promised keeps those
// that are taken within their objective and the link busy; without one, only the
// first of them are in time.
func TestDownloadsOverASlowLink(t *testing.T) {
	const (
		size      = 280_000
		rate      = 25e6 / 8
		period    = time.Second / 33
		count     = 660
		work      = 110 * time.Millisecond
		objective = 600 * time.Millisecond
		// carried is what the paced part of the link takes in the time.
		carried = pacedPart * rate * float64(count) * float64(period) / float64(time.Second) / size
	)
	tests := []struct {
		name    string
		bounded bool
		check   func(timely, late int) bool
	}{
		{"bounded", true, func(timely, late int) bool { return float64(timely) > 0.9*carried && late == 0 }},
		{"unbounded", false, func(timely, late int) bool { return timely < 20 && late == count-timely }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := uplink{bytesPerSecond: rate}
				u.sizes = map[string]float64{"map": size}
				var mu sync.Mutex
				var timely, late int
				serve := func() {
					begun := time.Now()
					sent := func(int64) {}
					if c.bounded {
						var err error
						if sent, err = u.reserve("map", objective, work); err != nil {
							return
						}
					}
					time.Sleep(work)
					_, _ = u.pace(t.Context(), httptest.NewRecorder(), size).Write(make([]byte, size))
					sent(size)
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
	u := uplink{bytesPerSecond: rate, sizes: map[string]float64{"map": size}}
	n := 0
	for range 20 {
		if _, err := u.reserve("map", time.Millisecond, 0); err == nil {
			n++
		}
	}
	if n == 0 || n > 2 {
		t.Errorf("%d late answers were promised", n)
	}
	if _, err := u.reserve("map", 600*time.Millisecond, 0); err != nil {
		t.Errorf("a timely one was refused: %v", err)
	}
	if _, err := u.reserve("map", time.Millisecond, 0); err == nil {
		t.Error("another late one was promised")
	}
}
