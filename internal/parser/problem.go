// Package parser parses JSON documents strictly and collects all problems, each
// with its path, its value and the expected value.
package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Hidden stands for a value that problems must not repeat.
const Hidden = "(hidden)"

// Problem is one error in a document.
type Problem struct {
	// Path is the path of the value, such as "routes[2].path_prefix".
	Path string
	// Value is the JSON text of the value, empty if it is missing.
	Value string
	// Expected describes the values that are accepted.
	Expected string
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: missing: expected %s", p.Path, p.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", p.Path, p.Value, p.Expected)
}

// Problems is a list of problems. It is a valid error if it is not empty.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	l := make([]string, 0, len(p))
	for _, q := range p {
		l = append(l, q.String())
	}
	return strings.Join(l, "\n")
}

// Err returns p, or nil if it is empty.
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

// Add adds a problem at path. A value of nil is reported as missing.
func (r *Report) Add(path string, value any, expected string) {
	r.problems = append(r.problems, Problem{Path: path, Value: formatValue(value), Expected: expected})
}

// Problems returns the collected problems, sorted by path.
func (r *Report) Problems() Problems {
	p := append(Problems(nil), r.problems...)
	sort.SliceStable(p, func(i, j int) bool { return p[i].Path < p[j].Path })
	return p
}
