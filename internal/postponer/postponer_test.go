package postponer

import (
	"testing"
	"time"
)

func TestAfter(t *testing.T) {
	tests := []struct {
		name       string
		wait, left time.Duration
		draw       float64
		want       time.Duration
	}{
		{"when there will be room", 100 * time.Millisecond, time.Second, 0, 100 * time.Millisecond},
		{"spread over as long again", 100 * time.Millisecond, time.Second, 0.5, 150 * time.Millisecond},
		{"not later than the caller waits", 2 * time.Second, 900 * time.Millisecond, 0, 300 * time.Millisecond},
		{"not at once", time.Millisecond, time.Second, 0, least},
		{"not known", 0, time.Second, 0, unknownWait},
		{"no time left", time.Second, 0, 0.9, least},
	}
	for _, c := range tests {
		if g := After(c.wait, c.left, c.draw); g != c.want {
			t.Errorf("%s: got %s, want %s", c.name, g, c.want)
		}
	}
}

// TestCrowdIsSpread replays a crowd that is refused in one moment: no tenth of
// the time until the last returns gets more than twice its part.
func TestCrowdIsSpread(t *testing.T) {
	const crowd, parts = 1000, 10
	var n [parts]int
	for i := range crowd {
		d := After(200*time.Millisecond, 3*time.Second, float64(i)/crowd)
		n[int(d-200*time.Millisecond)*parts/int(200*time.Millisecond)]++
	}
	for i, k := range n {
		if k > 2*crowd/parts {
			t.Errorf("part %d gets %d of %d", i, k, crowd)
		}
	}
}
