// Package main plays the cases of the third review that are scripts: review-3 CASE RECORD.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"testing"
	"time"
)

// result is the exit code of a case.
type result int

const (
	held result = iota
	broken
	notRun
)

var cases = map[string]func(rec *record, trouble bool) (result, error){
	"slow-readers": slowReaders,
	"second-stop":  secondStop,
	"left-server":  leftServer,
	"older-copy":   olderCopy,
	"lost-record":  lostRecord,
}

// TestMain runs the case that the arguments name in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(int(notRun))
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	rec := &record{file: bufio.NewWriter(f), begun: time.Now()}
	r, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		r = notRun
	}
	rec.add("result: %d", r)
	rec.flush()
	os.Exit(int(r))
}
