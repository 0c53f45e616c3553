package scenarios

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// historyBound is how long a node may take to write the log line of a
// configuration that it serves.
const historyBound = 2 * time.Second

// appliedLine is what a node logs of each configuration that it applies.
var appliedLine = regexp.MustCompile(`"Configuration applied" generation=(\d+) digest="([0-9a-f]+)"`)

// history is what the nodes of a mesh have applied, read from their logs. The
// zero value is ready to use.
type history struct {
	// digests has the content of each generation.
	digests map[uint64]string
}

// add reads the log of one process and returns the last generation that it
// applied. Generations of one process only grow, and one generation has one
// content in the whole mesh.
func (h *history) add(process, log string) (uint64, error) {
	if h.digests == nil {
		h.digests = make(map[uint64]string)
	}
	if strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
		return 0, fmt.Errorf("%s crashed, see its log:\n%s", process, log)
	}
	var last uint64
	for _, s := range appliedLine.FindAllStringSubmatch(log, -1) {
		g, err := strconv.ParseUint(s[1], 10, 64)
		if err != nil {
			return 0, err
		}
		if g <= last {
			return 0, fmt.Errorf("%s went from generation %d to %d", process, last, g)
		}
		last = g
		if d, ok := h.digests[g]; ok && d != s[2] {
			return 0, fmt.Errorf("generation %d has contents %s and %s", g, d, s[2])
		}
		h.digests[g] = s[2]
	}
	return last, nil
}

// checkHistory reads what every process of every node applied. Running nodes must
// have logged the generation that they serve; a process that was killed may have
// taken its last lines with it.
func (m *mesh) checkHistory() error {
	if err := eventually(historyBound, m.checkServedAreLogged); err != nil {
		return err
	}
	var h history
	for _, n := range m.names {
		for i := range m.processes[n].restarts + 1 {
			if _, err := m.readHistory(&h, n, i); err != nil {
				return err
			}
		}
	}
	if len(h.digests) == 0 {
		return errors.New("no process has logged a configuration")
	}
	return nil
}

func (m *mesh) checkServedAreLogged() error {
	for _, p := range m.nodes() {
		d, err := m.dump(p.name)
		if err != nil {
			return err
		}
		g, err := m.readHistory(&history{}, p.name, p.restarts)
		if err != nil {
			return err
		}
		if g < d.Generation {
			return fmt.Errorf("%s serves generation %d and has logged %d", p.name, d.Generation, g)
		}
	}
	return nil
}

func (m *mesh) readHistory(h *history, name string, restarts int) (uint64, error) {
	f := fmt.Sprintf("%s.%d.log", name, restarts)
	b, err := os.ReadFile(filepath.Join(m.dir, f))
	if err != nil {
		return 0, err
	}
	return h.add(f, string(b))
}

// TestHistory shows that the check of histories fails when it should.
func TestHistory(t *testing.T) {
	line := func(generation int, digest string) string {
		return fmt.Sprintf("1.5 n1 \"Configuration applied\" generation=%d digest=%q\n", generation, digest)
	}
	tests := []struct {
		name string
		logs []string
		last uint64
		err  string
	}{
		{name: "grows", logs: []string{line(1, "aa") + line(3, "bb"), line(3, "bb")}, last: 3},
		{name: "a later process begins anew", logs: []string{line(3, "bb"), line(1, "aa")}, last: 1},
		{name: "goes back", logs: []string{line(3, "bb") + line(1, "aa")}, err: "went from generation 3 to 1"},
		{name: "applies one twice", logs: []string{line(3, "bb") + line(3, "bb")}, err: "went from generation 3 to 3"},
		{name: "two contents", logs: []string{line(3, "bb"), line(3, "cc")}, err: "has contents bb and cc"},
		{name: "crashes", logs: []string{line(3, "bb") + "panic: nil map"}, err: "crashed"},
		{name: "nothing", logs: []string{"1.5 n1 \"Node is up\""}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var h history
			var last uint64
			var err error
			for _, l := range c.logs {
				if last, err = h.add("n1.0.log", l); err != nil {
					break
				}
			}
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Fatalf("error %v, expected %q", err, c.err)
			}
			if c.err == "" && last != c.last {
				t.Errorf("last generation %d, expected %d", last, c.last)
			}
		})
	}
}
