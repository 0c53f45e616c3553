package sleeper

import (
	"testing"
	"time"
)

func TestMarkSuspended(t *testing.T) {
	now := time.Now()
	total := NoteSuspension()
	const slack = 50 * time.Millisecond
	tests := []struct {
		name string
		mark Mark
		want time.Duration
	}{
		{"no mark", Mark{}, 0},
		{"current time", MarkOf(now, now, total), 0},
		{"one minute ago", MarkOf(now.Add(-time.Minute), now.Add(-time.Minute), total), 0},
		// Marks whose two clocks differ simulate a suspension or a step of the wall
		// clock since then.
		{"suspended for 5 s", MarkOf(now, now.Add(-5*time.Second), total-5*time.Second), 5 * time.Second},
		{"wall clock stepped forward", MarkOf(now, now.Add(-time.Hour), total), 0},
		{"wall clock stepped back", MarkOf(now, now.Add(time.Hour), total), 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if d := c.mark.Suspended(); (d - c.want).Abs() > slack {
				t.Errorf("got %s, want %s", d, c.want)
			}
		})
	}
}
