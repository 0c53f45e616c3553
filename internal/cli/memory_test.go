package cli

import "testing"

// TestGarbageFollowsTheLoad plays the collections of some periods.
func TestGarbageFollowsTheLoad(t *testing.T) {
	tests := []struct {
		name        string
		percent     int
		collections []int
		want        int
	}{
		{"calm", 100, []int{0, 0, 1, 0}, 100},
		{"busy", 100, []int{3, 3}, 300},
		{"a burst that ends", 100, []int{9, 9, 0, 0, 0, 0}, 100},
		{"steady at a middle pace", 200, []int{1, 1, 1}, 200},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := c.percent
			for _, n := range c.collections {
				p = garbagePercent(p, n)
			}
			if p != c.want {
				t.Errorf("got %d, want %d", p, c.want)
			}
		})
	}
}
