package forwarder

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/authenticator"
	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const authorizationHeader = "Authorization"

const (
	// maxHeldDenials limits the requests that wait for a confirmation before they are
	// denied, since callers without keys may be many.
	maxHeldDenials = 256
	// unconfirmedWait is about the time within which the next confirmation arrives.
	unconfirmedWait = 300 * time.Millisecond
)

// Currency tells how current the configuration in force is, on the clock of sleeper.Now.
type Currency interface {
	// ConfirmedAt returns the last time at which the configuration in force was the newest
	// one, or zero if it was never confirmed.
	ConfirmedAt() time.Time
	// AwaitConfirmed waits until the configuration is confirmed as of the time t or later.
	// It returns false when ctx is done.
	AwaitConfirmed(ctx context.Context, t time.Time) bool
}

// credentials is the state of an entry for the check of keys.
type credentials struct {
	currency   Currency
	revocation authenticator.Revocation
	denials    authenticator.Denials
	held       atomic.Int32
}

// authenticate finds the workspace of a request whose route and parent are known. Where a
// key is denied, it waits for a confirmation first, and looks again if that came with
// another configuration.
func (e *Entry) authenticate(j *job) (Refusal, bool) {
	if !j.profile.Keys.Required() {
		return Refusal{}, true
	}
	arrived := sleeper.Now()
	for waited := false; ; waited = true {
		// The configuration is taken after the time of its confirmation. One that is
		// replaced in between would seem to be confirmed as late as its successor.
		confirmed := e.credentials.confirmedAt(arrived)
		if f, ok := e.refresh(j); !ok {
			return f, false
		}
		d := j.profile.Keys.Decide(e.credentialsOf(j))
		j.workspace = d.Workspace
		switch {
		case d.Outcome == authenticator.Undecided:
			return notRun(ParentUnknown, "the request has no key, and no target beside this node is known to run its parent"), false
		case d.Outcome == authenticator.Accepted && (d.Workspace == nil || e.credentials.revocation.Admits(arrived, confirmed)):
			return Refusal{}, true
		case d.Outcome == authenticator.Accepted:
			return unconfirmed("the configuration was last confirmed as the newest one %s ago", ageOf(confirmed, arrived)), false
		case !confirmed.Before(e.credentials.denials.Since(j.request.Header[authorizationHeader], j.route.Name, arrived)):
			return notRun(Unauthenticated, "no workspace has the key of the request"), false
		case waited || !e.credentials.await(j, arrived, confirmed):
			return unconfirmed("the key is unknown, and no configuration was confirmed since it was seen"), false
		}
	}
}

func unconfirmed(format string, args ...any) Refusal {
	f := notRun(Unconfirmed, format, args...)
	f.Wait = unconfirmedWait
	return f
}

func ageOf(confirmed, now time.Time) string {
	if confirmed.IsZero() {
		return "an unknown time"
	}
	return now.Sub(confirmed).Round(time.Millisecond).String()
}

// confirmedAt returns when the configuration was confirmed. Without a currency each one
// counts as confirmed at the arrival of the request.
func (c *credentials) confirmedAt(arrived time.Time) time.Time {
	if c.currency == nil {
		return arrived
	}
	return c.currency.ConfirmedAt()
}

// await waits until a configuration is confirmed as of the arrival of a request that would
// be denied.
func (c *credentials) await(j *job, arrived, confirmed time.Time) bool {
	w := c.revocation.Wait(arrived, confirmed, j.left())
	if w <= 0 {
		return false
	}
	defer c.held.Add(-1)
	if c.held.Add(1) > maxHeldDenials {
		return false
	}
	ctx, cancel := context.WithTimeout(j.ctx, w)
	defer cancel()
	return c.currency.AwaitConfirmed(ctx, arrived)
}

// credentialsOf returns what decides on a request. The parent is found by the identifier
// that was sent, since one that is too long was replaced.
func (e *Entry) credentialsOf(j *job) authenticator.Request {
	return authenticator.Request{
		Authorization: j.request.Header[authorizationHeader],
		Scheme:        e.dialect.KeyScheme,
		Public:        j.route.Public,
		Parent:        e.gate.inFlight.parentOf(j.request.Header.Get(e.dialect.Request), j.arrived),
	}
}

// refresh takes the configuration that is in force now for a request, and finds its route
// again if that is another one.
func (e *Entry) refresh(j *job) (Refusal, bool) {
	n := e.Profile()
	p := e.holder.Current().Serving(n)
	if p == j.profile {
		return Refusal{}, true
	}
	if p == nil {
		return notRun(NoProfile, "profile %q is not in force", n), false
	}
	j.profile = p
	if !e.findRoute(j) {
		return notRun(NoRoute, "no route of profile %q matches", p.Name), false
	}
	e.setDeadline(j)
	return Refusal{}, true
}

// rank returns the priority of a request by those of its workspace and its route.
func (j *job) rank() int {
	return j.profile.Keys.Rank(j.workspace, j.route.Priority)
}

// workspaceName returns the name of the request's workspace, empty if it has none.
func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// stripCredentials removes the caller's key and any workspace that it claims, if the
// configuration holds workspaces. Names with underscores are removed too: some targets
// take them for the same header.
func (e *Entry) stripCredentials(h http.Header, j *job) {
	if !j.profile.Keys.Required() {
		return
	}
	for n := range h {
		if c := strings.ReplaceAll(n, "_", "-"); strings.EqualFold(c, authorizationHeader) || strings.EqualFold(c, e.dialect.Workspace) {
			delete(h, n)
		}
	}
}

// setWorkspace sets the workspace that the entry has found for c.
func (g *Gate) setWorkspace(c call) {
	if g.dialect.Workspace != "" && c.workspace != "" {
		c.header.Set(g.dialect.Workspace, c.workspace)
	}
}

// workspaceOf returns the workspace that another node has found for a keyed request. If
// this node's configuration does not hold it, its name remains.
func (j *job) workspaceOf(name string) *router.Workspace {
	if name == "" {
		return nil
	}
	w, ok := j.profile.Workspace(name)
	if !ok {
		w = router.Workspace{Name: name}
	}
	return &w
}

// challenge adds what an answer to a request without a valid key must have.
func (r Refusal) challenge(h http.Header, d Dialect) {
	if r.Reason == Unauthenticated && r.Verdict == classifier.NotRun {
		h.Set("WWW-Authenticate", d.KeyScheme)
	}
}
