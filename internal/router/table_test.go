package router

import "testing"

func TestFind(t *testing.T) {
	p := Profile{}
	for _, r := range []Route{
		{Name: "any", PathPrefix: "/"},
		{Name: "audio", PathPrefix: "/audio"},
		{Name: "audio-post", PathPrefix: "/audio/", Methods: []string{"POST"}},
		{Name: "audio-grower", PathPrefix: "/audio", Headers: []HeaderMatch{{Name: "X-Grower", Value: "yes"}}},
		{Name: "host", Hosts: []string{"maps.example"}, PathPrefix: "/audio/deep"},
	} {
		p = p.WithRoute(r)
	}
	tests := []struct {
		host, path, method, grower, want string
	}{
		{"x", "/", "GET", "", "any"},
		{"x", "/audio", "GET", "", "audio"},
		{"x", "/audio/7", "GET", "", "audio"},
		{"x", "/audios", "GET", "", "any"},
		{"x", "/audio/7", "POST", "", "audio-post"},
		{"x", "/audio/7", "POST", "yes", "audio-grower"},
		{"Maps.Example:80", "/audio/deep/7", "GET", "", "host"},
		{"maps.example", "/audio", "GET", "", "audio"},
		{"[::1]", "/audio", "GET", "", "audio"},
	}
	table := NewTable(p)
	for _, c := range tests {
		r, ok := table.Find(Request{Host: c.host, Path: c.path, Method: c.method, Header: func(string) string { return c.grower }})
		if !ok || r.Name != c.want {
			t.Errorf("%s %s%s: got %q, want %q", c.method, c.host, c.path, r.Name, c.want)
		}
	}
	if _, ok := (Table{}).Find(Request{Path: "/"}); ok {
		t.Error("an empty table returned a route")
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	r := Route{Destinations: []Destination{{"a", 1}, {"b", 0}, {"c", 3}}}
	n := make(map[string]int)
	for i := range 1000 {
		d, ok := r.Choose(float64(i) / 1000)
		if !ok {
			t.Fatal("nothing chosen")
		}
		n[d.Service]++
	}
	if n["a"] != 250 || n["b"] != 0 || n["c"] != 750 {
		t.Errorf("got %v", n)
	}
}
