// Package parser reads strict JSON documents and collects every problem in
// them, each with its path, its value and what was expected.
package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Path leads to the value, such as "routes[2].path_prefix".
	Path string
	// Value is the JSON text of the value, empty when it is missing.
	Value string
	// Expected says what would have been accepted.
	Expected string
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: missing: expected %s", p.Path, p.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", p.Path, p.Value, p.Expected)
}

// Problems is a list of faults, usable as an error when it is not empty.
type Problems []Problem

// Error returns every problem on a line of its own.
func (p Problems) Error() string {
	l := make([]string, 0, len(p))
	for _, q := range p {
		l = append(l, q.String())
	}
	return strings.Join(l, "\n")
}

// Err returns nil when there is no problem.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Report collects problems. Its zero value is ready to use.
type Report struct {
	problems Problems
}

// Add notes a problem at path. A value of nil is reported as missing.
func (r *Report) Add(path string, value any, expected string) {
	r.problems = append(r.problems, Problem{Path: path, Value: render(value), Expected: expected})
}

// Problems returns the collected problems in the order of their paths.
func (r *Report) Problems() Problems {
	p := append(Problems(nil), r.problems...)
	sort.SliceStable(p, func(i, j int) bool { return p[i].Path < p[j].Path })
	return p
}
