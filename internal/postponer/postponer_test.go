package postponer

import (
	"testing"
	"time"
)

func TestAfter(t *testing.T) {
	tests := []struct {
		name       string
		wait, left time.Duration
		random     float64
		want       time.Duration
	}{
		{"expected wait", 100 * time.Millisecond, time.Second, 0, 100 * time.Millisecond},
		{"randomized up to twice the wait", 100 * time.Millisecond, time.Second, 0.5, 150 * time.Millisecond},
		{"capped by the time left", 2 * time.Second, 900 * time.Millisecond, 0, 300 * time.Millisecond},
		{"minimum delay", time.Millisecond, time.Second, 0, minWait},
		{"unknown wait", 0, time.Second, 0, unknownWait},
		{"no time left", time.Second, 0, 0.9, minWait},
	}
	for _, c := range tests {
		if g := After(c.wait, c.left, c.random); g != c.want {
			t.Errorf("%s: got %s, want %s", c.name, g, c.want)
		}
	}
}

// TestSimultaneousRetriesAreSpread refuses many callers at the same time. No tenth
// of the retry period may receive more than twice its share of the retries.
func TestSimultaneousRetriesAreSpread(t *testing.T) {
	const callers, parts = 1000, 10
	var n [parts]int
	for i := range callers {
		d := After(200*time.Millisecond, 3*time.Second, float64(i)/callers)
		n[int(d-200*time.Millisecond)*parts/int(200*time.Millisecond)]++
	}
	for i, k := range n {
		if k > 2*callers/parts {
			t.Errorf("part %d gets %d of %d", i, k, callers)
		}
	}
}
