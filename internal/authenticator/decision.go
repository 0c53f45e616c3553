package authenticator

import "github.com/dragonflydoor/dragonflydoor/internal/router"

// Parent is what a node knows of the request on whose behalf another one was made.
type Parent uint8

// The kinds of parents.
const (
	// NoParent means that the request was made on behalf of no other one that a target
	// beside the node has run.
	NoParent Parent = iota
	// KnownParent means that a target beside the node runs the parent.
	KnownParent
	// UnknownParent means that the identifier has the form of a nested request, and that a
	// target beside the node may still run the parent although its gate does not: it has
	// given the parent up, or the node does not know.
	UnknownParent
)

// Request holds the properties of a request that decide whether it is accepted.
type Request struct {
	// Authorization holds the values of the Authorization header, and Scheme is the
	// scheme under which keys are sent.
	Authorization []string
	Scheme        string
	// Public means that the route needs no key.
	Public bool
	Parent Parent
}

// Outcome says how a request is treated.
type Outcome uint8

// The outcomes of a decision.
const (
	// Accepted means that the request may run, for a workspace or for none.
	Accepted Outcome = iota + 1
	// Denied means that the configuration in force does not know the request's key.
	Denied
	// Undecided means that the node cannot tell a nested request from a caller without
	// a key.
	Undecided
)

// Decision is the outcome of a request, with the workspace that it belongs to, or nil if
// it belongs to none.
type Decision struct {
	Outcome   Outcome
	Workspace *router.Workspace
}

// Decide decides on a request by the keys of the configuration in force. Public routes
// and nested requests belong to no workspace, whatever key they carry.
func (k Keys) Decide(q Request) Decision {
	if !k.Required() || q.Public || q.Parent == KnownParent {
		return Decision{Outcome: Accepted}
	}
	d, ok := ParseKey(q.Authorization, q.Scheme)
	if !ok && q.Parent == UnknownParent {
		return Decision{Outcome: Undecided}
	}
	if w := k.WorkspaceOf(d); ok && w != nil {
		return Decision{Outcome: Accepted, Workspace: w}
	}
	return Decision{Outcome: Denied}
}
