package sleeper

import (
	"testing"
	"time"
)

func TestMarkTellsSuspensions(t *testing.T) {
	now := time.Now()
	total := NoteSuspension()
	const slack = 50 * time.Millisecond
	tests := []struct {
		name string
		mark Mark
		want time.Duration
	}{
		{"no mark", Mark{}, 0},
		{"the same moment", MarkOf(now, now, total), 0},
		{"a while ago", MarkOf(now.Add(-time.Minute), now.Add(-time.Minute), total), 0},
		// A moment whose two clocks differ stands for one before a suspension or a
		// step of the time of day.
		{"suspended since", MarkOf(now, now.Add(-5*time.Second), total-5*time.Second), 5 * time.Second},
		{"the time of day went forward", MarkOf(now, now.Add(-time.Hour), total), 0},
		{"the time of day went back", MarkOf(now, now.Add(time.Hour), total), 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if d := c.mark.Suspended(); (d - c.want).Abs() > slack {
				t.Errorf("got %s, want %s", d, c.want)
			}
		})
	}
}
