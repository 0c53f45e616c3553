// Package harness plays one case of the review: it starts the store's stand-in and
// the project's nodes as processes on loopback addresses, acts as their servers,
// clients, operator and network, and checks one rule from what these see.
//
// It is built as a test binary. Usage: harness CASE FOLDER. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package harness

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// cases holds the cases by name; each case adds itself.
var cases = make(map[string]func(*world) error)

// TestMain plays the case instead of running tests.
func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0", nodes: make(map[string]*node)}
	defer func() {
		w.close()
		rec.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	rec.add("case %s, trouble %v", os.Args[1], w.trouble)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](w) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(caseTimeout):
		err = fmt.Errorf("no end after %s", caseTimeout)
	case <-stopped:
		err = fmt.Errorf("stopped by a signal")
	}
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if n := len(w.broken()); n > 0 {
		rec.add("rule broken %d times; the first: %s", n, w.broken()[0])
		fmt.Printf("rule broken %d times; the first: %s\n", n, w.broken()[0])
		return 1
	}
	rec.add("rule held")
	fmt.Println("rule held")
	return 0
}
