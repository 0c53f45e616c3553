package router

import "testing"

// TestSpreaderFollowsWeights guards against shares that deviate from the weights
// over a short period: 200 requests on 13 nodes must keep within 0.1 of each
// weight, also after a change of weights.
func TestSpreaderFollowsWeights(t *testing.T) {
	const nodes, requests = 13, 200
	for _, w := range []int{90, 10, 50} {
		var l [nodes]WeightedBalancer
		r := Route{Name: "r", Destinations: []Destination{{"a", w}, {"b", 100 - w}, {"none", 0}}}
		n := make(map[string]int)
		for i := range requests {
			d, ok := l[i%nodes].Choose(r)
			if !ok {
				t.Fatal("nothing chosen")
			}
			n[d.Service]++
		}
		if got := float64(n["a"]) / requests; got < float64(w)/100-0.1 || got > float64(w)/100+0.1 || n["none"] > 0 {
			t.Errorf("weight %d: %v", w, n)
		}
	}
	var s WeightedBalancer
	if _, ok := s.Choose(Route{Name: "r", Destinations: []Destination{{"a", 0}, {"b", 0}}}); ok {
		t.Error("a destination with a weight of 0 was chosen")
	}
	one := Route{Name: "r", Destinations: []Destination{{"a", 1}, {"b", 0}}}
	for range 10 {
		if d, _ := s.Choose(one); d.Service != "a" {
			t.Errorf("chose %s", d.Service)
		}
	}
}
