package measurer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// The aimed size.
const (
	aimNodes         = 6200
	aimDataCenters   = 14
	aimRelays        = 3
	aimFanOut        = 8
	aimCallsPerS     = 290_000
	aimChangesPerDay = 6800
	aimFailsPerDay   = 27
	aimRestartsDay   = 440
	secondsPerDay    = 86_400

	// One VM that fails or returns makes this many membership updates: left or
	// suspect and dead, alive again, and its target.
	updatesPerRestart = 4
	updateBytes       = 100
	tombstoneUpdate   = 22
	// Each node passes an update on this often: 4 for each decimal digit of the
	// size.
	transmissions = 16

	limitCPUPercent = 4.2
	limitMemoryMB   = 256
	limitBytesPerS  = 3000
	limitMS         = 5000
	limitOverheadUS = 320
)

// figures are the measured lines, by name, design and size.
type figures []map[string]any

func readFigures(r io.Reader) (figures, error) {
	var l figures
	s := bufio.NewScanner(r)
	for s.Scan() {
		var m map[string]any
		if err := json.Unmarshal(s.Bytes(), &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", len(l)+1, err)
		}
		l = append(l, m)
	}
	return l, s.Err()
}

// largest returns a value of the line with a name and the most of what by
// counts, in the mesh design. Of lines with as much the last one counts.
func (f figures) largest(name, by, value string) (float64, error) {
	v, most := 0.0, -1.0
	for _, m := range f {
		n, _ := m[by].(float64)
		if m["name"] == name && m["design"] == meshDesign && n >= most {
			x, ok := m[value].(float64)
			if !ok {
				return 0, fmt.Errorf("%s has no %s", name, value)
			}
			v, most = x, n
		}
	}
	if most < 0 {
		return 0, fmt.Errorf("no line %s", name)
	}
	return v, nil
}

// sum is one row of the page.
type sum struct {
	what  string
	value float64
	unit  string
	// limit is 0 where none is stated.
	limit float64
	how   string
}

func (s sum) write(w io.Writer) {
	l, v := "", ""
	if s.limit > 0 {
		l = fmt.Sprintf("%g", s.limit)
		v = "holds"
		if s.value > s.limit {
			v = "**misses**"
		}
	}
	_, _ = fmt.Fprintf(w, "| %s | %.4g %s | %s | %s | %s |\n", s.what, s.value, s.unit, l, v, s.how)
}

func capacityMain(path string, out, errs io.Writer) int {
	f, err := os.Open(path)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return 1
	}
	defer func() { _ = f.Close() }()
	if err := WriteCapacity(f, out); err != nil {
		_, _ = fmt.Fprintln(errs, "capacity: "+err.Error())
		return 1
	}
	return 0
}

// WriteCapacity works out the sums at the aimed size from measured lines and
// writes them as a Markdown table.
func WriteCapacity(lines io.Reader, w io.Writer) error {
	f, err := readFigures(lines)
	if err != nil {
		return err
	}
	l, err := f.sums()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w, "| at the aimed size | value | limit | | from |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, s := range l {
		s.write(w)
	}
	return nil
}

func (f figures) sums() ([]sum, error) {
	var errs []error
	get := func(name, by, value string) float64 {
		v, err := f.largest(name, by, value)
		errs = append(errs, err)
		return v
	}
	idle := get("control_bytes", "nodes", "node_idle_bytes_per_s")
	change := get("control_bytes", "nodes", "node_bytes_per_change")
	source := get("control_bytes", "nodes", "source_bytes_per_change")
	storeIdle := get("store_calls", "nodes", "idle_per_s")
	storeChange := get("store_calls", "nodes", "per_change")
	memory := get("node_known", "known_targets", "rss_mb")
	cpuIdle := get("node_known", "known_targets", "cpu_percent_idle")
	cpuChanges := get("node_known", "known_targets", "cpu_percent_changes")
	rate := get("node_known", "known_targets", "changes_per_s")
	converged := get("convergence", "nodes", "p99_ms")
	overhead := get("call_overhead", "nodes", "p99_us")
	calls := get("call_throughput", "nodes", "calls_per_core_s")
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	const relays, measuredRelays = aimDataCenters * aimRelays, dataCenters * aimRelays
	const changes = float64(aimChangesPerDay) / secondsPerDay
	const updates = float64(aimFailsPerDay+aimRestartsDay) * updatesPerRestart / secondsPerDay
	const perUpdate = 2 * transmissions * updateBytes
	const group = aimNodes / aimDataCenters
	const callsPerNode = float64(aimCallsPerS) / aimNodes
	return []sum{
		{"node: control bytes, idle", idle, "B/s", limitBytesPerS, "measured; the probes of a node do not depend on the size"},
		{"node: control bytes of changes", change * changes, "B/s", 0, "slope: bytes for each change x 0.079 changes/s"},
		{"node: control bytes of restarts", perUpdate * updates, "B/s", 0, "sum: 467 VMs a day, 4 updates of 100 B each, passed on and received 16 times"},
		{"node: control bytes, all", idle + change*changes + perUpdate*updates, "B/s", limitBytesPerS, "sum of the rows above"},
		{"node: loss of a data centre", group * tombstoneUpdate * 2 * transmissions / 1000.0, "KB", 0, "sum: 443 tombstones of 22 B, passed on and received 16 times; rumors are bound to 0.8 KB/s each way"},
		{"node: memory", memory, "MB", limitMemoryMB, "measured with 6,200 made-up members"},
		{"node: processor, idle", cpuIdle, "% of a core", limitCPUPercent, "measured with 6,200 made-up members"},
		{"node: processor, with changes", cpuIdle + max(cpuChanges-cpuIdle, 0)/rate*changes, "% of a core", limitCPUPercent, "slope: processor time for each change x 0.079 changes/s"},
		{"entry and gate: processor of calls", 100 * callsPerNode / calls, "% of a core", 0, "slope: 47 calls/s a node as entry and as gate"},
		{"store: calls, idle", storeIdle / measuredRelays * relays, "/s", 2000, "slope: 42 relays; does not depend on the number of nodes"},
		{"store: calls for a change", storeChange / measuredRelays * relays, "", 0, "slope: 42 relays, operator's calls included"},
		{"store: bytes for a change", source / measuredRelays * relays / 1000, "KB", 0, "slope: 42 relays"},
		{"convergence, p99", converged * (1 + depth(group)) / (1 + depth(largestGroup(f))), "ms", limitMS, "slope of depth: levels of the tree with 443 nodes a data centre"},
		{"added to a call, p99", overhead, "us", limitOverheadUS, "measured over two hops"},
	}, nil
}

// largestGroup is the number of nodes of a data centre in the largest run.
func largestGroup(f figures) int {
	n := 0.0
	for _, m := range f {
		if k, _ := m["nodes"].(float64); m["name"] == "convergence" {
			n = max(n, k)
		}
	}
	return int(n) / dataCenters
}

// depth is the number of levels below the relays that hold n nodes.
func depth(n int) float64 {
	d := 0
	left, level := n-aimRelays, aimRelays*aimFanOut
	for left > 0 {
		left -= level
		level *= aimFanOut
		d++
	}
	return float64(d)
}
