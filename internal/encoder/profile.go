// Package encoder converts profiles and their deltas to and from JSON, and
// computes digests and deltas of profiles.
package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/validator"
)

// MaxBodyBytes limits the size of a profile's canonical body. It is the store's
// limit for one value.
const MaxBodyBytes = 1 << 20

// Defaults and limits of a profile's fields.
const (
	defaultTimeout       = 5 * time.Second
	minTimeout           = time.Millisecond
	maxTimeout           = time.Hour
	defaultMaxAttempts   = 2
	maxAttempts          = 10
	defaultBudgetPercent = 20
	defaultSlots         = 12
	maxSlots             = 10_000
	defaultConnections   = 110
	maxConnections       = 100_000
	defaultQueue         = 24
	defaultBodyBytes     = 1 << 20
	maxBodyBytes         = 1 << 40
	defaultWeight        = 1
	defaultKeyWindow     = 2 * time.Minute
	minKeyWindow         = time.Second
	maxKeyWindow         = 24 * time.Hour
	maxPriority          = 1000
)

// JSON forms. The order of the fields is the canonical order.
type (
	profileJSON struct {
		Name         string            `json:"name"`
		Description  string            `json:"description,omitempty"`
		Services     []serviceJSON     `json:"services"`
		Routes       []routeJSON       `json:"routes"`
		Workspaces   []workspaceJSON   `json:"workspaces,omitempty"`
		ClientLimits *clientLimitsJSON `json:"client_limits,omitempty"`
	}
	serviceJSON struct {
		Name      string     `json:"name"`
		Timeout   string     `json:"timeout"`
		Retry     retryJSON  `json:"retry"`
		Limits    limitsJSON `json:"limits"`
		KeyWindow string     `json:"key_window"`
		Fallback  string     `json:"fallback,omitempty"`
		Health    string     `json:"health_path,omitempty"`
	}
	retryJSON struct {
		MaxAttempts   int `json:"max_attempts"`
		BudgetPercent int `json:"budget_percent"`
	}
	limitsJSON struct {
		Slots        int   `json:"slots"`
		Connections  int   `json:"connections"`
		Queue        int   `json:"queue"`
		MaxBodyBytes int64 `json:"max_body_bytes"`
	}
	routeJSON struct {
		Name         string            `json:"name"`
		Hosts        []string          `json:"hosts,omitempty"`
		PathPrefix   string            `json:"path_prefix"`
		Methods      []string          `json:"methods,omitempty"`
		Headers      []headerJSON      `json:"headers,omitempty"`
		Destinations []destinationJSON `json:"destinations"`
		Timeout      string            `json:"timeout,omitempty"`
		Idempotent   bool              `json:"idempotent,omitempty"`
		AtMostOnce   bool              `json:"at_most_once,omitempty"`
		BelowPrefix  bool              `json:"below_prefix,omitempty"`
		Objective    string            `json:"objective,omitempty"`
		Priority     int               `json:"priority,omitempty"`
		MaxAttempts  int               `json:"max_attempts,omitempty"`
		Public       bool              `json:"public,omitempty"`
	}
	headerJSON struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}
	destinationJSON struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
)

// DecodeProfile parses and validates a profile. The error is a parser.Problems
// with every problem of the document.
func DecodeProfile(data []byte) (router.Profile, error) {
	if len(data) > MaxBodyBytes {
		r := &parser.Report{}
		r.Add("document", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxBodyBytes))
		return router.Profile{}, r.Problems()
	}
	o, r := parser.Document(data)
	if err := r.Problems().Err(); err != nil {
		return router.Profile{}, err
	}
	p := profileFromObject(o)
	validator.CheckProfile(p, r)
	if err := r.Problems().Err(); err != nil {
		return router.Profile{}, err
	}
	return p.Sorted(), nil
}

// DefaultService returns a service with the default of every field.
func DefaultService(name string) router.Service {
	return router.Service{
		Name:    name,
		Timeout: defaultTimeout,
		Retry:   router.RetryPolicy{MaxAttempts: defaultMaxAttempts, BudgetPercent: defaultBudgetPercent},
		Limits: router.Limits{
			Slots:        defaultSlots,
			Connections:  defaultConnections,
			Queue:        defaultQueue,
			MaxBodyBytes: defaultBodyBytes,
		},
		KeyWindow: defaultKeyWindow,
	}
}

func profileFromObject(o *parser.Object) router.Profile {
	p := router.Profile{
		Name:        o.Required("name", validator.NameRule),
		Description: o.Text("description"),

		ClientLimits: clientLimitsFromObject(o),
	}
	for _, s := range o.Objects("services") {
		p.Services = append(p.Services, serviceFromObject(s))
	}
	for _, t := range o.Objects("routes") {
		p.Routes = append(p.Routes, routeFromObject(t))
	}
	for _, w := range o.Objects("workspaces") {
		p.Workspaces = append(p.Workspaces, workspaceFromObject(w))
	}
	o.Close()
	return p
}

func serviceFromObject(o *parser.Object) router.Service {
	s := router.Service{
		Name:      o.Required("name", validator.NameRule),
		Timeout:   o.Duration("timeout", defaultTimeout, minTimeout, maxTimeout),
		Retry:     retryFromObject(o.Object("retry")),
		Limits:    limitsFromObject(o.Object("limits")),
		KeyWindow: o.Duration("key_window", defaultKeyWindow, minKeyWindow, maxKeyWindow),
		Fallback:  o.Text("fallback"),

		HealthPath: o.Text("health_path"),
	}
	o.Close()
	return s
}

func retryFromObject(o *parser.Object) router.RetryPolicy {
	p := router.RetryPolicy{
		MaxAttempts:   int(o.Number("max_attempts", defaultMaxAttempts, 1, maxAttempts)),
		BudgetPercent: int(o.Number("budget_percent", defaultBudgetPercent, 0, 100)),
	}
	o.Close()
	return p
}

func limitsFromObject(o *parser.Object) router.Limits {
	l := router.Limits{
		Slots:        int(o.Number("slots", defaultSlots, 1, maxSlots)),
		Connections:  int(o.Number("connections", defaultConnections, 1, maxConnections)),
		Queue:        int(o.Number("queue", defaultQueue, 0, maxConnections)),
		MaxBodyBytes: o.Number("max_body_bytes", defaultBodyBytes, 0, maxBodyBytes),
	}
	o.Close()
	return l
}

func routeFromObject(o *parser.Object) router.Route {
	t := router.Route{
		Name:       o.Required("name", validator.NameRule),
		Hosts:      o.Texts("hosts", "a host name", nil),
		PathPrefix: o.Required("path_prefix", `a path that starts with "/"`),
		Methods:    o.Texts("methods", "an HTTP method", nil),
		Timeout:    o.Duration("timeout", 0, minTimeout, maxTimeout),
		Idempotent: o.Flag("idempotent"),

		AtMostOnce:  o.Flag("at_most_once"),
		BelowPrefix: o.Flag("below_prefix"),
		Objective:   o.Duration("objective", 0, minTimeout, maxTimeout),
		Priority:    int(o.Number("priority", 0, 0, maxPriority)),
		MaxAttempts: int(o.Number("max_attempts", 0, 0, maxAttempts)),
		Public:      o.Flag("public"),
	}
	for _, h := range o.Objects("headers") {
		t.Headers = append(t.Headers, headerFromObject(h))
	}
	for _, d := range o.Objects("destinations") {
		t.Destinations = append(t.Destinations, destinationFromObject(d))
	}
	o.Close()
	return t
}

func headerFromObject(o *parser.Object) router.HeaderMatch {
	h := router.HeaderMatch{
		Name:  o.Required("name", "an HTTP header name"),
		Value: o.Text("value"),
	}
	o.Close()
	return h
}

func destinationFromObject(o *parser.Object) router.Destination {
	d := router.Destination{
		Service: o.Required("service", "a service of this profile"),
		Weight:  int(o.Number("weight", defaultWeight, 0, validator.MaxWeight)),
	}
	o.Close()
	return d
}

// EncodeProfile returns the canonical body of p: one line of JSON with every
// default written out, services, routes and workspaces sorted by name.
func EncodeProfile(p router.Profile) []byte {
	return mustMarshal(profileToJSON(p))
}

// FormatProfile returns the body of p, indented for readability.
func FormatProfile(p router.Profile) []byte {
	var b bytes.Buffer
	_ = json.Indent(&b, EncodeProfile(p), "", "  ")
	b.WriteByte('\n')
	return b.Bytes()
}

func profileToJSON(p router.Profile) profileJSON {
	j := profileJSON{
		Name:        p.Name,
		Description: p.Description,
		Services:    make([]serviceJSON, 0, len(p.Services)),
		Routes:      make([]routeJSON, 0, len(p.Routes)),

		ClientLimits: clientLimitsToJSON(p.ClientLimits),
	}
	for _, s := range p.Services {
		j.Services = append(j.Services, serviceToJSON(s))
	}
	for _, t := range p.Routes {
		j.Routes = append(j.Routes, routeToJSON(t))
	}
	for _, w := range p.Workspaces {
		j.Workspaces = append(j.Workspaces, workspaceToJSON(w))
	}
	return j
}

func serviceToJSON(s router.Service) serviceJSON {
	return serviceJSON{
		Name:    s.Name,
		Timeout: s.Timeout.String(),
		Retry: retryJSON{
			MaxAttempts:   s.Retry.MaxAttempts,
			BudgetPercent: s.Retry.BudgetPercent,
		},
		Limits: limitsJSON{
			Slots:        s.Limits.Slots,
			Connections:  s.Limits.Connections,
			Queue:        s.Limits.Queue,
			MaxBodyBytes: s.Limits.MaxBodyBytes,
		},
		KeyWindow: s.KeyWindow.String(),
		Fallback:  s.Fallback,
		Health:    s.HealthPath,
	}
}

func routeToJSON(t router.Route) routeJSON {
	j := routeJSON{
		Name:       t.Name,
		Hosts:      t.Hosts,
		PathPrefix: t.PathPrefix,
		Methods:    t.Methods,
		Timeout:    formatDuration(t.Timeout),
		Idempotent: t.Idempotent,

		AtMostOnce:  t.AtMostOnce,
		BelowPrefix: t.BelowPrefix,
		Objective:   formatDuration(t.Objective),
		Priority:    t.Priority,
		MaxAttempts: t.MaxAttempts,
		Public:      t.Public,
	}
	for _, h := range t.Headers {
		j.Headers = append(j.Headers, headerJSON{Name: h.Name, Value: h.Value})
	}
	for _, d := range t.Destinations {
		j.Destinations = append(j.Destinations, destinationJSON{Service: d.Service, Weight: d.Weight})
	}
	return j
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// mustMarshal encodes one of this package's JSON forms, which cannot fail.
func mustMarshal(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic(fmt.Sprintf("encoder: %v", err))
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}
