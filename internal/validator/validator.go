// Package validator checks that a profile is complete and consistent.
//
// The same checks run in the operator's client before a change is accepted and in
// every node before a profile is applied.
package validator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Limits on the size of a profile.
const (
	MaxServices     = 4096
	MaxRoutes       = 8192
	MaxDestinations = 16
	MaxWeight       = 1000
	MaxWorkspaces   = 4096
	// MaxKeys limits the keys of all workspaces together.
	MaxKeys = 100_000
	// MaxRate limits the rate and the burst of a workspace.
	MaxRate = 1e9

	maxNameLength = 63
)

// Descriptions of valid values, for parser.Problem.
const (
	NameRule   = "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter"
	hostRule   = "a lower-case host name without port"
	prefixRule = `a path that starts with "/", without empty, "." or ".." segments`
	methodRule = "an HTTP method in upper case"
	headerRule = "an HTTP header name"
	// WorkspaceNameRule allows only what is safe in a header's value.
	WorkspaceNameRule = "a name of 1 to 63 letters, digits, dots, hyphens and underscores that starts with a letter or digit"
)

var (
	hostPattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methodPattern    = regexp.MustCompile(`^[A-Z]{1,20}$`)
	workspacePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	headerPattern    = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")
)

// IsValidName reports whether s is a valid name of a profile, service, route or node.
func IsValidName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// fieldPath is the path of a field in a profile. It is formatted only if there is a
// problem, because most fields have none.
type fieldPath struct {
	list  string
	index int
	field string
}

func (p fieldPath) at(field string) fieldPath {
	p.field = field
	return p
}

// String returns the path, such as "routes[2].name".
func (p fieldPath) String() string {
	return fmt.Sprintf("%s[%d].%s", p.list, p.index, p.field)
}

// CheckProfile adds every problem of p to r. The indexes in paths are those of p's lists.
func CheckProfile(p router.Profile, r *parser.Report) {
	c := checker{report: r, services: make(map[string]string, len(p.Services))}
	if p.Name != "" && !IsValidName(p.Name) {
		r.Add("name", p.Name, NameRule)
	}
	c.clientLimits(p.ClientLimits)
	c.size("services", len(p.Services), MaxServices)
	c.size("routes", len(p.Routes), MaxRoutes)
	for i, s := range p.Services {
		c.service(fieldPath{list: "services", index: i}, s)
	}
	for i, s := range p.Services {
		c.fallback(fieldPath{list: "services", index: i, field: "fallback"}, s)
	}
	n := make(map[string]bool, len(p.Routes))
	for i, t := range p.Routes {
		c.route(fieldPath{list: "routes", index: i}, t, n)
	}
	c.workspaces(p.Workspaces)
}

// checker adds problems to report; services maps each service to its fallback.
type checker struct {
	report   *parser.Report
	services map[string]string
}

func (c checker) add(p fieldPath, value any, expected string) {
	c.report.Add(p.String(), value, expected)
}

func (c checker) name(p fieldPath, name string) {
	if name != "" && !IsValidName(name) {
		c.add(p, name, NameRule)
	}
}

func (c checker) size(path string, n, limit int) {
	if n == 0 || n > limit {
		c.report.Add(path, fmt.Sprintf("%d entries", n), fmt.Sprintf("1 to %d entries", limit))
	}
}

func (c checker) service(p fieldPath, s router.Service) {
	c.name(p.at("name"), s.Name)
	if _, ok := c.services[s.Name]; ok {
		c.add(p.at("name"), s.Name, "a name that no other service has")
	}
	c.services[s.Name] = s.Fallback
	if s.HealthPath != "" && !validPrefix(s.HealthPath) {
		c.add(p.at("health_path"), s.HealthPath, prefixRule)
	}
}

func (c checker) fallback(p fieldPath, s router.Service) {
	if s.Fallback == "" {
		return
	}
	if _, ok := c.services[s.Fallback]; !ok {
		c.add(p, s.Fallback, "a service of this profile")
		return
	}
	seen := map[string]bool{s.Name: true}
	for f := s.Fallback; f != ""; f = c.services[f] {
		if seen[f] {
			c.add(p, s.Fallback, "a fallback that does not lead back to the service")
			return
		}
		seen[f] = true
	}
}

func (c checker) route(p fieldPath, t router.Route, names map[string]bool) {
	c.name(p.at("name"), t.Name)
	if names[t.Name] {
		c.add(p.at("name"), t.Name, "a name that no other route has")
	}
	names[t.Name] = true
	if t.PathPrefix != "" && !validPrefix(t.PathPrefix) {
		c.add(p.at("path_prefix"), t.PathPrefix, prefixRule)
	}
	if t.Idempotent && t.AtMostOnce {
		c.add(p.at("at_most_once"), true, "false where idempotent is true")
	}
	if t.BelowPrefix && !strings.HasSuffix(t.PathPrefix, "/") {
		c.add(p.at("path_prefix"), t.PathPrefix, `a path that ends with "/" where below_prefix is true`)
	}
	c.checkStrings(p.at("hosts"), t.Hosts, hostPattern, hostRule)
	c.checkStrings(p.at("methods"), t.Methods, methodPattern, methodRule)
	for i, h := range t.Headers {
		if h.Name != "" && !headerPattern.MatchString(h.Name) {
			c.add(p.at(fmt.Sprintf("headers[%d].name", i)), h.Name, headerRule)
		}
	}
	c.destinations(p, t.Destinations)
}

func (c checker) checkStrings(p fieldPath, list []string, pattern *regexp.Regexp, rule string) {
	for i, s := range list {
		q := p.at(fmt.Sprintf("%s[%d]", p.field, i))
		if !pattern.MatchString(s) {
			c.add(q, s, rule)
		}
		if slices.Contains(list[:i], s) {
			c.add(q, s, "each value only once")
		}
	}
}

func (c checker) destinations(p fieldPath, list []router.Destination) {
	if len(list) == 0 || len(list) > MaxDestinations {
		c.add(p.at("destinations"), fmt.Sprintf("%d entries", len(list)), fmt.Sprintf("1 to %d entries", MaxDestinations))
		return
	}
	s := 0
	for i, d := range list {
		c.destination(p, list, i)
		s += d.Weight
	}
	if s == 0 {
		c.add(p.at("destinations"), "only weights of 0", "at least one weight above 0")
	}
}

func (c checker) destination(p fieldPath, list []router.Destination, i int) {
	d := list[i]
	_, ok := c.services[d.Service]
	if !ok && d.Service != "" {
		c.add(p.at(fmt.Sprintf("destinations[%d].service", i)), d.Service, "a service of this profile")
	}
	for _, o := range list[:i] {
		if o.Service == d.Service {
			c.add(p.at(fmt.Sprintf("destinations[%d].service", i)), d.Service, "each service only once")
		}
	}
}

// validPrefix reports whether s is an absolute path without empty, "." or ".."
// segments.
func validPrefix(s string) bool {
	if s == "/" {
		return true
	}
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for p := range strings.SplitSeq(strings.TrimSuffix(s[1:], "/"), "/") {
		if p == "" || p == "." || p == ".." {
			return false
		}
	}
	return true
}
