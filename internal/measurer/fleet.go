package measurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/publisher"
	"github.com/dragonflydoor/dragonflydoor/platform"
)

const (
	firstPort    = 10000
	portsPerNode = 8
	dataCenters  = 4
	seeds        = 3
	startBound   = 60 * time.Second
	pollPeriod   = 20 * time.Millisecond
	// clockTick is the unit of processor time in /proc (USER_HZ).
	clockTick = 10 * time.Millisecond
	pageBytes = 4096
	dumpBound = 5 * time.Second
)

// process is one program that the tool started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	// stopped says that the tool itself ended the process.
	stopped bool
}

// fleet is a store and some nodes of one design.
type fleet struct {
	bench  *bench
	design string
	dir    string
	store  *process
	nodes  []*process
	others []*process
	group  grouper.Group
	client *http.Client
	// operator counts what the tool itself exchanges with the store.
	operator meter.Traffic
}

func (b *bench) newFleet(ctx context.Context, design string) (*fleet, error) {
	d, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	f := &fleet{bench: b, design: design, dir: d, client: &http.Client{Timeout: dumpBound}}
	f.store, err = f.start(b.Standin, "store", "--address", f.storeAddress())
	if err != nil {
		return nil, err
	}
	return f, f.await(ctx, func() error {
		_, err := f.counts(false)
		return err
	})
}

func (f *fleet) storeAddress() string {
	return address(0, 0)
}

// address returns the k-th address of a node; node numbers start at 1.
func address(node, k int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+node*portsPerNode+k)
}

func (f *fleet) start(program string, args ...string) (*process, error) {
	p := &process{command: exec.Command(program, args...), done: make(chan struct{})}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Stderr = l
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	f.group.Go(func() {
		_ = p.command.Wait()
		_ = l.Close()
		close(p.done)
	})
	return p, nil
}

// startNode starts node i, replacing an earlier life.
func (f *fleet) startNode(i int) error {
	var p *process
	var err error
	if f.design == baselineDesign {
		p, err = f.start(f.bench.Standin, "baseline", "--address", address(i, 2), "--store", f.storeAddress())
	} else {
		p, err = f.startMesh(i)
	}
	if err != nil {
		return err
	}
	if i <= len(f.nodes) {
		f.nodes[i-1] = p
	} else {
		f.nodes = append(f.nodes, p)
	}
	return nil
}

func (f *fleet) startMesh(i int) (*process, error) {
	var s []string
	for k := 1; k <= seeds; k++ {
		if k != i {
			s = append(s, strconv.Quote(address(k, 0)))
		}
	}
	j := fmt.Sprintf(`{"node": "n%d", "data_center": "dc-%d", "profile": "large",
		"peer_address": %q, "caller_address": %q, "local_address": %q, "store_address": %q, "peers": [%s]}`,
		i, i%dataCenters, address(i, 0), address(i, 1), address(i, 2), f.storeAddress(), strings.Join(s, ", "))
	n := filepath.Join(f.dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(n, []byte(j), 0o600); err != nil {
		return nil, err
	}
	return f.start(f.bench.Program, "node", "--settings", n)
}

// close ends every process.
func (f *fleet) close() {
	for _, p := range append(append(f.nodes, f.others...), f.store) {
		p.kill()
	}
	f.group.Wait()
	_ = os.RemoveAll(f.dir)
}

func (p *process) kill() {
	p.stopped = true
	_ = p.command.Process.Kill()
	<-p.done
}

// check fails when a process has ended by itself.
func (f *fleet) check() error {
	for _, p := range append(append([]*process{f.store}, f.nodes...), f.others...) {
		select {
		case <-p.done:
			if !p.stopped {
				b, _ := os.ReadFile(filepath.Join(f.dir, "log"))
				return fmt.Errorf("process %s died:\n%s", strings.Join(p.command.Args, " "), tail(b))
			}
		default:
		}
	}
	return nil
}

func tail(b []byte) string {
	const n = 2000
	return string(b[max(0, len(b)-n):])
}

// await repeats f until it returns nil.
func (f *fleet) await(ctx context.Context, g func() error) error {
	e := time.Now().Add(startBound)
	for {
		err := g()
		if err == nil {
			return nil
		}
		if time.Now().After(e) || ctx.Err() != nil {
			return err
		}
		if err := f.check(); err != nil {
			return err
		}
		time.Sleep(pollPeriod)
	}
}

func (f *fleet) publisher() *publisher.Publisher {
	return publisher.New(platform.NewStore(f.storeAddress(), &f.operator), "measure")
}

// dump is the part of a node's state dump that is measured.
type dump struct {
	Generation uint64 `json:"generation"`
	Relay      bool   `json:"relay"`
	Applied    []struct {
		Generation uint64    `json:"generation"`
		At         time.Time `json:"at"`
	} `json:"applied"`
	Members []struct {
		Condition string `json:"condition"`
	} `json:"members"`
	Traffic struct {
		Received uint64 `json:"control_received_bytes"`
		Sent     uint64 `json:"control_sent_bytes"`
	} `json:"traffic"`
}

func (d dump) traffic() uint64 {
	return d.Traffic.Received + d.Traffic.Sent
}

func (d dump) alive() int {
	n := 0
	for _, m := range d.Members {
		if m.Condition == "alive" {
			n++
		}
	}
	return n
}

func (f *fleet) get(url string, v any) error {
	r, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, r.Status)
	}
	return json.Unmarshal(b, v)
}

// dumps reads the state of every node.
func (f *fleet) dumps() ([]dump, error) {
	l := make([]dump, len(f.nodes))
	errs := make([]error, len(f.nodes))
	var g grouper.Group
	for i := range f.nodes {
		g.Go(func() { errs[i] = f.get("http://"+address(i+1, 2)+"/v1/dump", &l[i]) })
	}
	g.Wait()
	return l, errors.Join(errs...)
}

// counts is what the store stand-in has counted.
type counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Refused   uint64 `json:"refused"`
	PeakReads uint64 `json:"peak_reads_per_s"`
	PeakWrite uint64 `json:"peak_writes_per_s"`
	Received  uint64 `json:"bytes_received"`
	Sent      uint64 `json:"bytes_sent"`
}

func (c counts) calls() uint64 { return c.Reads + c.Writes + c.Watches }

func (c counts) bytes() uint64 { return c.Received + c.Sent }

func (f *fleet) counts(resetPeaks bool) (counts, error) {
	var c counts
	u := "http://" + f.storeAddress() + "/counts"
	if resetPeaks {
		u += "?reset_peaks"
	}
	return c, f.get(u, &c)
}

// usage is what a process has used of the machine.
type usage struct {
	cpu time.Duration
	rss float64
}

func (p *process) usage() (usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return usage{}, err
	}
	// The fields follow the program's name in parentheses (proc(5)).
	w := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	u, _ := strconv.Atoi(w[userTime])
	s, _ := strconv.Atoi(w[systemTime])
	r, _ := strconv.Atoi(w[residentPages])
	return usage{cpu: time.Duration(u+s) * clockTick, rss: float64(r) * pageBytes / (1 << 20)}, nil
}

func (f *fleet) cpu() (time.Duration, error) {
	var d time.Duration
	for _, p := range f.nodes {
		u, err := p.usage()
		if err != nil {
			return 0, err
		}
		d += u.cpu
	}
	return d, nil
}
