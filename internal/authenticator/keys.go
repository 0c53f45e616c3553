// Package authenticator finds the workspace of a request by the API key that the request
// carries, and decides whether the request is accepted, denied, or can be decided only by
// a configuration that is confirmed as the newest one.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// secret keys the digests by which keys are looked up. The time of a lookup thus tells
// nothing about the keys, and a digest found in the memory of one process is of no use in
// another.
var secret = newSecret()

func newSecret() [sha256.Size]byte {
	var s [sha256.Size]byte
	_, _ = rand.Read(s[:])
	return s
}

// keyedDigest is the digest of a key digest under the secret of the process.
type keyedDigest [sha256.Size]byte

func newKeyedDigest(d router.KeyDigest) keyedDigest {
	var b [2 * sha256.Size]byte
	copy(b[:], secret[:])
	copy(b[sha256.Size:], d[:])
	return sha256.Sum256(b[:])
}

// Keys finds workspaces by key. It is immutable; its zero value holds no workspaces.
type Keys struct {
	// workspaces is the number of workspaces, some of which may have no key.
	workspaces int
	// top is the highest priority of a workspace.
	top    int
	owners map[keyedDigest]*router.Workspace
}

// NewKeys returns the keys of the workspaces in list.
func NewKeys(list []router.Workspace) Keys {
	k := Keys{workspaces: len(list)}
	if len(list) == 0 {
		return k
	}
	k.top = list[0].Priority
	k.owners = make(map[keyedDigest]*router.Workspace)
	for i := range list {
		w := &list[i]
		k.top = min(k.top, w.Priority)
		for _, d := range w.KeyDigests {
			k.owners[newKeyedDigest(d)] = w
		}
	}
	return k
}

// Required reports whether requests have to carry keys.
func (k Keys) Required() bool {
	return k.workspaces > 0
}

// Rank returns the priority of a request for w, or for no workspace, by that of its route.
// Requests for none rank among those of the most urgent workspaces: before others they
// would push customers aside, and behind others they would starve.
func (k Keys) Rank(w *router.Workspace, route int) int {
	switch {
	case !k.Required():
		return route
	case w == nil:
		return router.Rank(k.top, route)
	}
	return router.Rank(w.Priority, route)
}

// WorkspaceOf returns the workspace of the key with the digest d, or nil.
func (k Keys) WorkspaceOf(d router.KeyDigest) *router.Workspace {
	return k.owners[newKeyedDigest(d)]
}
