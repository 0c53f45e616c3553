// Package validator checks that a profile is complete and consistent.
//
// The same checks run in the operator's client before acceptance and in every
// node before a profile is applied.
package validator

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Bounds on the size of a profile.
const (
	MaxServices     = 4096
	MaxRoutes       = 8192
	MaxDestinations = 16
	MaxWeight       = 1000
)

// Descriptions of accepted values, for problems.
const (
	NameRule   = "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter"
	hostRule   = "a lower-case host name without port"
	prefixRule = `a path that starts with "/", without empty, "." or ".." segments`
	methodRule = "an HTTP method in upper case"
	headerRule = "an HTTP header name"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
)

// Name reports whether s can name a profile, service, route or node.
func Name(s string) bool {
	return namePattern.MatchString(s)
}

// Check adds every inconsistency of p to r. Paths use the order of p's lists.
func Check(p router.Profile, r *parser.Report) {
	c := checker{profile: p, report: r, services: make(map[string]router.Service)}
	c.name("name", p.Name)
	c.size("services", len(p.Services), MaxServices)
	c.size("routes", len(p.Routes), MaxRoutes)
	for i, s := range p.Services {
		c.service(fmt.Sprintf("services[%d]", i), s)
	}
	for i, s := range p.Services {
		c.fallback(fmt.Sprintf("services[%d].fallback", i), s)
	}
	n := make(map[string]bool)
	for i, t := range p.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), t, n)
	}
}

type checker struct {
	profile  router.Profile
	report   *parser.Report
	services map[string]router.Service
}

func (c checker) name(path, name string) {
	if name != "" && !Name(name) {
		c.report.Add(path, name, NameRule)
	}
}

func (c checker) size(path string, n, limit int) {
	if n == 0 || n > limit {
		c.report.Add(path, fmt.Sprintf("%d entries", n), fmt.Sprintf("1 to %d entries", limit))
	}
}

func (c checker) service(path string, s router.Service) {
	c.name(path+".name", s.Name)
	if _, ok := c.services[s.Name]; ok {
		c.report.Add(path+".name", s.Name, "a name that no other service has")
	}
	c.services[s.Name] = s
}

func (c checker) fallback(path string, s router.Service) {
	if s.Fallback == "" {
		return
	}
	if _, ok := c.services[s.Fallback]; !ok {
		c.report.Add(path, s.Fallback, "a service of this profile")
		return
	}
	seen := map[string]bool{s.Name: true}
	for f := s.Fallback; f != ""; f = c.services[f].Fallback {
		if seen[f] {
			c.report.Add(path, s.Fallback, "a fallback that does not lead back to the service")
			return
		}
		seen[f] = true
	}
}

func (c checker) route(path string, t router.Route, names map[string]bool) {
	c.name(path+".name", t.Name)
	if names[t.Name] {
		c.report.Add(path+".name", t.Name, "a name that no other route has")
	}
	names[t.Name] = true
	if t.PathPrefix != "" && !validPrefix(t.PathPrefix) {
		c.report.Add(path+".path_prefix", t.PathPrefix, prefixRule)
	}
	c.each(path+".hosts", t.Hosts, hostPattern, hostRule)
	c.each(path+".methods", t.Methods, methodPattern, methodRule)
	for i, h := range t.Headers {
		if h.Name != "" && !headerPattern.MatchString(h.Name) {
			c.report.Add(fmt.Sprintf("%s.headers[%d].name", path, i), h.Name, headerRule)
		}
	}
	c.destinations(path+".destinations", t.Destinations)
}

func (c checker) each(path string, list []string, pattern *regexp.Regexp, rule string) {
	seen := make(map[string]bool)
	for i, s := range list {
		p := fmt.Sprintf("%s[%d]", path, i)
		if !pattern.MatchString(s) {
			c.report.Add(p, s, rule)
		}
		if seen[s] {
			c.report.Add(p, s, "each value only once")
		}
		seen[s] = true
	}
}

func (c checker) destinations(path string, list []router.Destination) {
	if len(list) == 0 || len(list) > MaxDestinations {
		c.report.Add(path, fmt.Sprintf("%d entries", len(list)), fmt.Sprintf("1 to %d entries", MaxDestinations))
		return
	}
	s := 0
	seen := make(map[string]bool)
	for i, d := range list {
		p := fmt.Sprintf("%s[%d].service", path, i)
		if _, ok := c.services[d.Service]; !ok && d.Service != "" {
			c.report.Add(p, d.Service, "a service of this profile")
		}
		if seen[d.Service] {
			c.report.Add(p, d.Service, "each service only once")
		}
		seen[d.Service] = true
		s += d.Weight
	}
	if s == 0 {
		c.report.Add(path, "only weights of 0", "at least one weight above 0")
	}
}

func validPrefix(s string) bool {
	if s == "/" {
		return true
	}
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for _, p := range strings.Split(strings.TrimSuffix(s[1:], "/"), "/") {
		if p == "" || p == "." || p == ".." {
			return false
		}
	}
	return true
}
