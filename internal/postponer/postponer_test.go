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

// TestRetriesAfterRejectionMeetTheirObjective has targets that reject requests whatever
// their load. A caller that comes back must still be able to get its answer in time:
// the usual duration is a third of the objective.
func TestRetriesAfterRejectionMeetTheirObjective(t *testing.T) {
	const objective, usual = 400 * time.Millisecond, 130 * time.Millisecond
	for _, r := range []float64{0, 0.5, 0.999} {
		if d := AfterRejection(r); d <= 0 || d+2*usual > objective {
			t.Errorf("a delay of %s leaves %s of the objective of %s", d, objective-d, objective)
		}
	}
	if AfterRejection(0.2) == AfterRejection(0.7) {
		t.Error("all callers come back in the same moment")
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
