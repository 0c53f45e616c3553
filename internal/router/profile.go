// Package router holds the model of a profile, the complete description of
// how traffic flows, and finds the route of a request in it.
package router

import (
	"slices"
	"strings"
	"time"
)

// Profile is one immutable version of a named description of traffic.
//
// Services and routes are sorted by name. Values are shared between
// snapshots, so they are changed only through the With methods, which copy.
type Profile struct {
	// Name identifies the profile among its versions.
	Name string
	// Description is free text for operators.
	Description string
	// Services lists every service that a route may name.
	Services []Service
	// Routes lists the rules that choose a service for a request.
	Routes []Route
}

// Service describes how calls to one service are made and limited.
type Service struct {
	Name string
	// Timeout bounds one call, retries included.
	Timeout time.Duration
	Retry   RetryPolicy
	Limits  Limits
	// KeyWindow is how long callers may send a request with the same
	// idempotency key again.
	KeyWindow time.Duration
	// Fallback names the service that is used while this one has no target.
	Fallback string
}

// RetryPolicy bounds what a node spends on repeating failed calls.
type RetryPolicy struct {
	// MaxAttempts counts the first attempt too.
	MaxAttempts int
	// BudgetPercent is the share of extra calls that retries may add.
	BudgetPercent int
}

// Limits bounds what a single target of a service is given.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Connections is the number of connections that may be open.
	Connections int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// Route chooses destinations for the requests that it matches.
type Route struct {
	Name string
	// Hosts lists exact host names; an empty list matches every host.
	Hosts []string
	// PathPrefix matches whole path segments.
	PathPrefix string
	// Methods lists HTTP methods; an empty list matches every method.
	Methods []string
	// Headers lists conditions that must all hold.
	Headers []HeaderMatch
	// Destinations shares requests between services by weight.
	Destinations []Destination
	// Timeout shortens the timeout of the service; zero leaves it.
	Timeout time.Duration
	// Idempotent says that every method of the route may be repeated.
	Idempotent bool
}

// HeaderMatch holds when a request's header has exactly this value.
type HeaderMatch struct {
	Name  string
	Value string
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string
	Weight  int
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

// WithDescription returns the profile with another description.
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
