package validator

import (
	"fmt"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// workspaces checks workspaces. Problems never repeat the digest of a key.
func (c checker) workspaces(list []router.Workspace) {
	if len(list) > MaxWorkspaces {
		c.report.Add("workspaces", fmt.Sprintf("%d entries", len(list)), fmt.Sprintf("at most %d entries", MaxWorkspaces))
	}
	names := make(map[string]bool, len(list))
	owners := make(map[router.KeyDigest]int)
	n := 0
	for i, w := range list {
		p := fieldPath{list: "workspaces", index: i}
		if w.Name != "" && !workspacePattern.MatchString(w.Name) {
			c.add(p.at("name"), w.Name, WorkspaceNameRule)
		}
		if names[w.Name] {
			c.add(p.at("name"), w.Name, "a name that no other workspace has")
		}
		names[w.Name] = true
		if w.Priority < 0 {
			c.add(p.at("priority"), w.Priority, "0 or more")
		}
		c.rate(p.at("rate"), w.Rate)
		c.rate(p.at("burst"), w.Burst)
		n += len(w.KeyDigests)
		c.keys(p, w, i, owners)
	}
	if n > MaxKeys {
		c.report.Add("workspaces", fmt.Sprintf("%d keys", n), fmt.Sprintf("at most %d keys", MaxKeys))
	}
}

func (c checker) rate(p fieldPath, v float64) {
	if !(v >= 0 && v <= MaxRate) {
		c.add(p, v, fmt.Sprintf("a number from 0 to %g", float64(MaxRate)))
	}
}

// keys checks that a key belongs to one workspace; owners maps each key to the index of
// its workspace.
func (c checker) keys(p fieldPath, w router.Workspace, index int, owners map[router.KeyDigest]int) {
	for i, d := range w.KeyDigests {
		o, ok := owners[d]
		owners[d] = index
		if !ok {
			continue
		}
		expected := fmt.Sprintf("a key that is not one of workspaces[%d]", o)
		if o == index {
			expected = "each key only once"
		}
		c.add(p.at(fmt.Sprintf("key_digests[%d]", i)), parser.Hidden, expected)
	}
}
