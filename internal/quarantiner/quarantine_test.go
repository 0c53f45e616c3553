package quarantiner

import (
	"testing"
	"time"
)

func TestBlocked(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name    string
		strikes []Strike
		after   time.Duration
		want    bool
	}{
		{"one crash", []Strike{{Crash: 1}}, 0, false},
		{"two crashes", []Strike{{Crash: 1}, {Crash: 2}}, 0, true},
		{"one crash reported twice", []Strike{{Crash: 1}, {Crash: 1}}, 0, false},
		{"three shared crashes", []Strike{{Crash: 1, Shared: true}, {Crash: 2, Shared: true}, {Crash: 3, Shared: true}}, 0, false},
		{"four shared crashes", []Strike{{Crash: 1, Shared: true}, {Crash: 2, Shared: true}, {Crash: 3, Shared: true}, {Crash: 4, Shared: true}}, 0, true},
		{"answered in between", []Strike{{Crash: 1}, {Cleared: true}, {Crash: 2}}, 0, false},
		{"reported again after an answer", []Strike{{Crash: 1}, {Cleared: true}, {Crash: 1}, {Crash: 2}}, 0, false},
		{"expired strikes", []Strike{{Crash: 1}, {Crash: 2}}, TTL + time.Second, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var q Quarantine
			for _, s := range c.strikes {
				q.Add(s, now)
			}
			if g := q.Blocked(0, now.Add(c.after)); g != c.want {
				t.Errorf("blocked: got %v", g)
			}
		})
	}
}
