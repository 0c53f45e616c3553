package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
)

const (
	stepBound  = 20 * time.Second
	pollPeriod = 25 * time.Millisecond
)

var client = &http.Client{Timeout: 5 * time.Second}

// process is one running program of a scenario.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	frozen  bool
	log     string
	// restarts is how often the program was started before.
	restarts int
}

// mesh is what one script has started.
type mesh struct {
	dir       string
	processes map[string]*process
	ports     map[string]int
	names     []string
	// links stand in front of the nodes when the script asks for a network.
	links       map[string]*imitator.Link
	dataCenters map[string]string
	hosts       map[string]string
	network     bool
	group       grouper.Group
	load        *load
	background  map[string]chan string
	mu          sync.Mutex
	keys        map[string]string
	ctx         context.Context
	cancel      context.CancelFunc
}

type meshKey struct{}

func newMesh(dir string) *mesh {
	m := &mesh{
		dir:         dir,
		processes:   make(map[string]*process),
		ports:       make(map[string]int),
		links:       make(map[string]*imitator.Link),
		dataCenters: make(map[string]string),
		background:  make(map[string]chan string),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

func setup(e *testscript.Env) error {
	m := newMesh(e.WorkDir)
	e.Values[meshKey{}] = m
	e.Defer(m.killAll)
	e.Setenv("DRAGONFLYDOOR_STORE", m.address("store"))
	e.Setenv("USER", "operator")
	e.Setenv("RELAYS", "1")
	return nil
}

func meshOf(ts *testscript.TestScript) *mesh {
	m, _ := ts.Value(meshKey{}).(*mesh)
	return m
}

// address returns the loopback address of a name, always the same in a script.
func (m *mesh) address(name string) string {
	p, ok := m.ports[name]
	if !ok {
		p = freePort()
		m.ports[name] = p
	}
	h := "127.0.0.1"
	if n, _, _ := strings.Cut(name, "."); m.hosts[n] != "" {
		h = m.hosts[n]
	}
	return fmt.Sprintf("%s:%d", h, p)
}

// nextPort is shared by all scripts, which run at once.
var nextPort atomic.Int32

// freePort finds a port below the range that the system gives to clients. No
// two scripts get the same one.
func freePort() int {
	const first, count = 10000, 20000
	for range count {
		p := first + int(nextPort.Add(1)+int32(os.Getpid()))%count
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		_ = l.Close()
		return p
	}
	panic("no free port")
}

func (m *mesh) start(name string, args ...string) error {
	old := m.processes[name]
	restarts := 0
	if old != nil {
		restarts = old.restarts + 1
	}
	p := &process{name: name, done: make(chan struct{}), restarts: restarts}
	p.log = filepath.Join(m.dir, fmt.Sprintf("%s.%d.log", name, restarts))
	f, err := os.Create(p.log)
	if err != nil {
		return err
	}
	p.command = exec.Command(args[0], args[1:]...)
	// The race detector would hold up each exit for a second.
	p.command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	p.command.Stdout = f
	p.command.Stderr = f
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait()
		_ = f.Close()
		close(p.done)
	}()
	if old == nil {
		m.names = append(m.names, name)
	}
	m.processes[name] = p
	return nil
}

func (m *mesh) killAll() {
	for _, p := range m.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
	m.cancel()
}

// bind returns the address that a node itself listens on. With a network each
// node has an IP number of its own, so that links can tell nodes apart.
func (m *mesh) bind(node string) string {
	if !m.network {
		return m.address(node + ".peer")
	}
	_ = m.address(node + ".bind")
	return fmt.Sprintf("%s:%d", m.ip(node), m.ports[node+".bind"])
}

func (m *mesh) ip(node string) string {
	return "127.0.0.1" + strings.TrimPrefix(node, "n")
}

// link puts a link in front of a node, once.
func (m *mesh) link(node string) error {
	if !m.network || m.links[node] != nil {
		return nil
	}
	m.links[node] = imitator.NewLink(m.address(node+".peer"), m.bind(node))
	return m.links[node].Start(m.ctx, &m.group)
}

// cut loses everything between two data centres.
func (m *mesh) cut(a, b string) {
	for n, l := range m.links {
		for o, d := range m.dataCenters {
			if (m.dataCenters[n] == a && d == b) || (m.dataCenters[n] == b && d == a) {
				l.Block(m.ip(o))
			}
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// nodes returns the nodes that run and are not frozen.
func (m *mesh) nodes() []*process {
	var l []*process
	for _, n := range m.names {
		p := m.processes[n]
		if strings.HasPrefix(n, "n") && p.alive() && !p.frozen {
			l = append(l, p)
		}
	}
	return l
}

type dump struct {
	Node       string `json:"node"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Relay      bool   `json:"relay"`
	Parent     string `json:"parent"`
	Refused    struct {
		Stale  uint64 `json:"stale"`
		Forked uint64 `json:"forked"`
	} `json:"refused"`
	Members []struct {
		Node      string   `json:"node"`
		Condition string   `json:"condition"`
		Status    string   `json:"status"`
		Targets   []string `json:"targets"`
	} `json:"members"`
}

func (m *mesh) dump(name string) (dump, error) {
	var d dump
	b, err := get("http://" + m.address(name+".local") + "/v1/dump")
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(b, &d)
}

func (m *mesh) generations() (string, uint64, bool) {
	var l []string
	var g uint64
	same := true
	for i, p := range m.nodes() {
		d, err := m.dump(p.name)
		if err != nil {
			l = append(l, fmt.Sprintf("%s: %v", p.name, err))
			same = false
			continue
		}
		l = append(l, fmt.Sprintf("%s: %d %.12s", p.name, d.Generation, d.Digest))
		same = same && (i == 0 || d.Generation == g)
		g = d.Generation
	}
	return strings.Join(l, "\n"), g, same
}

func get(url string) ([]byte, error) {
	r, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", r.Status, b)
	}
	return b, err
}

// eventually repeats f until it returns nil, for at most d.
func eventually(d time.Duration, f func() error) error {
	end := time.Now().Add(d)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pollPeriod)
	}
}

// newUUID returns a UUID of version 7.
func newUUID() string {
	t := uint64(time.Now().UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", t>>16, t&0xffff, rand.IntN(1<<12), rand.IntN(1<<12), rand.Uint64N(1<<48))
}
