package forwarder

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeAnswersArePaced writes answers to a link that is limited to 1 MB/s for large
// answers.
func TestLargeAnswersArePaced(t *testing.T) {
	tests := []struct {
		name     string
		size     int
		min, max time.Duration
	}{
		{"small", 10_000, 0, 0},
		{"large", 500_000, 480 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g Gate
				g.uplink.BytesPerSecond = 1e6 / g.uplinkRate()
				w := httptest.NewRecorder()
				begun := time.Now()
				n, err := g.pace(t.Context(), w, int64(c.size)).Write(make([]byte, c.size))
				if err != nil || n != c.size || w.Body.Len() != c.size {
					t.Fatalf("%d bytes of %d: %v", n, c.size, err)
				}
				if d := time.Since(begun); d < c.min || d > c.max {
					t.Errorf("took %s, expected %s to %s", d, c.min, c.max)
				}
			})
		})
	}
}

// uplinkRate returns the fraction of the link's rate at which large answers are sent.
func (g *Gate) uplinkRate() float64 {
	g.uplink.BytesPerSecond = 1
	defer func() { g.uplink.BytesPerSecond = 0 }()
	return time.Second.Seconds() / g.uplink.Duration(1).Seconds()
}
