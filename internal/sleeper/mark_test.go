package sleeper

import (
	"testing"
	"time"
)

func TestMarkSuspended(t *testing.T) {
	now := time.Now()
	total := UpdateSuspension()
	const slack = 50 * time.Millisecond
	tests := []struct {
		name string
		mark Timestamp
		want time.Duration
	}{
		{"no mark", Timestamp{}, 0},
		{"current time", TimestampOf(now, now, total), 0},
		{"one minute ago", TimestampOf(now.Add(-time.Minute), now.Add(-time.Minute), total), 0},
		// Marks whose two clocks differ simulate a suspension or a step of the wall
		// clock since then.
		{"suspended for 5 s", TimestampOf(now, now.Add(-5*time.Second), total-5*time.Second), 5 * time.Second},
		{"wall clock stepped forward", TimestampOf(now, now.Add(-time.Hour), total), 0},
		{"wall clock stepped back", TimestampOf(now, now.Add(time.Hour), total), 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if d := c.mark.Suspended(); (d - c.want).Abs() > slack {
				t.Errorf("got %s, want %s", d, c.want)
			}
		})
	}
}
