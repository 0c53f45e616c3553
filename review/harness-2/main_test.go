// Package main holds the cases of the second review. Its test binary runs one of them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases returns true if the rule was broken.
var cases = map[string]func(w *world) bool{}

// TestMain runs the case that the arguments name in place of tests.
func TestMain(*testing.M) {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		return 2
	}
	defer func() {
		if v := recover(); v != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = 2
		}
	}()
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	defer w.stop()
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-c:
		case <-time.After(115 * time.Second):
		}
		w.stop()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](w)
	w.log("rule broken: %v", broken)
	if broken {
		return 1
	}
	return 0
}
