// Package router defines the model of a profile, which completely describes how
// traffic is routed, and finds the route of a request in it.
package router

import (
	"slices"
	"strings"
	"time"
)

// Profile is one immutable version of a named set of services and routes.
//
// Services, routes and workspaces are sorted by name. Values are shared between
// snapshots, so they are changed only through the With methods, which copy.
type Profile struct {
	// Name identifies the profile among its versions.
	Name string
	// Description is free text for operators.
	Description string
	// Services lists every service that a route may refer to.
	Services []Service
	// Routes lists the rules that choose a service for a request.
	Routes []Route
	// Workspaces lists the customers whose keys requests must carry. Without any,
	// requests carry no keys.
	Workspaces []Workspace
	// ClientLimits limits what callers send.
	ClientLimits ClientLimits
}

// Service describes how calls to one service are made and limited.
type Service struct {
	Name string
	// Timeout bounds one call, retries included.
	Timeout time.Duration
	Retry   RetryPolicy
	Limits  Limits
	// KeyWindow is how long callers may repeat a request with the same idempotency
	// key.
	KeyWindow time.Duration
	// Fallback names the service that is used while this one has no target.
	Fallback string
	// HealthPath is the path under which a target reports its instance ID and
	// whether it accepts requests; empty if it has no such path.
	HealthPath string
}

// RetryPolicy limits the retries of failed calls by a node.
type RetryPolicy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// BudgetPercent limits retries to this percentage of the calls.
	BudgetPercent int
}

// Limits limits the load on a single target of a service.
type Limits struct {
	// Slots is the number of requests that may run concurrently.
	Slots int
	// Connections is the number of connections that may be open.
	Connections int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// MaxBodyBytes limits the body size of a request.
	MaxBodyBytes int64
}

// Route chooses destinations for the requests that it matches.
type Route struct {
	Name string
	// Hosts lists exact host names; an empty list matches every host.
	Hosts []string
	// PathPrefix matches whole path segments.
	PathPrefix string
	// BelowPrefix is set if only paths below the prefix match, not the prefix itself
	// without its last slash.
	BelowPrefix bool
	// Methods lists HTTP methods; an empty list matches every method.
	Methods []string
	// Headers lists conditions that a request must all meet.
	Headers []HeaderMatch
	// Destinations distributes requests between services by weight.
	Destinations []Destination
	// Timeout shortens the timeout of the service; zero keeps that of the service.
	Timeout time.Duration
	// Idempotent is set if requests of any method may be repeated.
	Idempotent bool
	// AtMostOnce is set if requests of no method may be repeated.
	AtMostOnce bool
	// Objective is the response time within which an answer has its full value;
	// zero if the route has no objective.
	Objective time.Duration
	// Priority ranks routes that compete for a target; 0 is the highest priority.
	Priority int
	// MaxAttempts limits the targets that one request is sent to; zero selects the
	// limit of the service.
	MaxAttempts int
	// Public is set if requests need no key where the profile has workspaces.
	Public bool
}

// HeaderMatch is the condition that a request's header has exactly this value.
type HeaderMatch struct {
	Name  string
	Value string
}

// Destination is a service with its weight among a route's destinations.
type Destination struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request with this method may run more than once.
func (r Route) Repeatable(method string) bool {
	return !r.AtMostOnce && (r.Idempotent || safeMethod(method))
}

// safeMethod reports whether a method is safe by RFC 9110, section 9.2.1, so
// that repeating it never changes anything. PUT and DELETE are idempotent but
// not safe: a late first attempt could undo a later request of the caller.
func safeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// Attempts returns the maximum number of targets that one request is sent to.
func (r Route) Attempts(s Service) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	return s.Retry.MaxAttempts
}

// Service returns the named service.
func (p Profile) Service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(p.Services, name, compareService)
	if !ok {
		return Service{}, false
	}
	return p.Services[i], true
}

// Route returns the named route.
func (p Profile) Route(name string) (Route, bool) {
	i, ok := slices.BinarySearchFunc(p.Routes, name, compareRoute)
	if !ok {
		return Route{}, false
	}
	return p.Routes[i], true
}

// Sorted returns the profile with services, routes, workspaces and the keys of each
// workspace sorted.
func (p Profile) Sorted() Profile {
	p.Services = slices.Clone(p.Services)
	p.Routes = slices.Clone(p.Routes)
	slices.SortFunc(p.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	p.Workspaces = sortWorkspaces(p.Workspaces)
	return p
}

// WithDescription returns the profile with its description replaced by text.
func (p Profile) WithDescription(text string) Profile {
	p.Description = text
	return p
}

// WithService returns the profile with s added or replaced.
func (p Profile) WithService(s Service) Profile {
	i, ok := slices.BinarySearchFunc(p.Services, s.Name, compareService)
	p.Services = put(p.Services, i, ok, s)
	return p
}

// WithoutService returns the profile without the named service.
func (p Profile) WithoutService(name string) Profile {
	i, ok := slices.BinarySearchFunc(p.Services, name, compareService)
	p.Services = remove(p.Services, i, ok)
	return p
}

// WithRoute returns the profile with r added or replaced.
func (p Profile) WithRoute(r Route) Profile {
	i, ok := slices.BinarySearchFunc(p.Routes, r.Name, compareRoute)
	p.Routes = put(p.Routes, i, ok, r)
	return p
}

// WithoutRoute returns the profile without the named route.
func (p Profile) WithoutRoute(name string) Profile {
	i, ok := slices.BinarySearchFunc(p.Routes, name, compareRoute)
	p.Routes = remove(p.Routes, i, ok)
	return p
}

func compareService(s Service, name string) int {
	return strings.Compare(s.Name, name)
}

func compareRoute(r Route, name string) int {
	return strings.Compare(r.Name, name)
}

func put[T any](list []T, i int, replace bool, v T) []T {
	l := slices.Clone(list)
	if replace {
		l[i] = v
		return l
	}
	return slices.Insert(l, i, v)
}

func remove[T any](list []T, i int, present bool) []T {
	if !present {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}
