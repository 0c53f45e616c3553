package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeed   = flag.Uint64("soak.seed", 0, "play the soak with this seed alone")
	soakCount  = flag.Uint64("soak.count", 1, "play so many seeds from soak.seed on")
	soakNodes  = flag.Int("soak.nodes", 5, "nodes of the soak, each with a target")
	soakLength = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
)

const (
	soakSeeds = "testdata/soak-seeds.list"
	// restartPause is how long a process that ended stays away.
	restartPause = 300 * time.Millisecond
	// faultPause is the mean time between two faults. They last up to maxFault, so
	// that several overlap.
	faultPause = 250 * time.Millisecond
	maxFault   = 2 * time.Second
	// drainBound, recoverBound and applyBound are those that the users state.
	drainBound   = 2 * time.Second
	recoverBound = 15 * time.Second
	applyBound   = 5 * time.Second
	// callersOfNode is how many callers a node has, each on a connection that it
	// keeps until it breaks.
	callersOfNode = 4
	largeAnswer   = 200_000
	// endlessBound is the deadline of requests whose answers do not end.
	endlessBound  = "700"
	callerTimeout = 8 * time.Second
)

// TestSoak plays randomized faults against real processes and checks what
// callers and targets saw. Without a seed it plays one that is always the same,
// and those that ever failed.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds(t)
	if *soakSeed > 0 {
		seeds = nil
		for i := range *soakCount {
			seeds = append(seeds, *soakSeed+i)
		}
	}
	for _, n := range seeds {
		t.Run(strconv.FormatUint(n, 10), func(t *testing.T) {
			t.Parallel()
			playSoak(t, n)
		})
	}
}

// regressionSeeds reads the seeds that are always played.
func regressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	b, err := os.ReadFile(soakSeeds)
	if err != nil {
		t.Fatal(err)
	}
	var l []uint64
	for s := range strings.Lines(string(b)) {
		f, _, _ := strings.Cut(s, "|")
		if f = strings.TrimSpace(f); f == "" || strings.HasPrefix(f, "#") {
			continue
		}
		n, err := strconv.ParseUint(f, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", soakSeeds, err)
		}
		l = append(l, n)
	}
	return l
}

// soak is one play.
type soak struct {
	*mesh

	t     *testing.T
	nodes []string
	// keepers restart processes, and callers make requests.
	keepers, callers sync.WaitGroup

	// guard protects the processes of the mesh and what follows.
	guard   sync.Mutex
	results []result
	drains  []leaving
	failed  error
}

// leaving is a target whose node confirmed that it drains.
type leaving struct {
	log string
	at  time.Time
}

func playSoak(t *testing.T, seed uint64) {
	dir := t.TempDir()
	s := &soak{mesh: newMesh(dir), t: t}
	s.network = true
	t.Cleanup(s.end)
	s.must(s.prepare())
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	s.startCallers(ctx)
	s.group.Go(func() { s.watchGenerations(ctx) })
	s.injectAll(rand.New(rand.NewPCG(seed, 0)))
	s.heal()
	s.must(s.recovered())
	calm := time.Now()
	s.must(s.stopInTurn())
	stop()
	s.callers.Wait()
	s.must(s.verify(calm))
	t.Logf("seed %d: %d requests", seed, len(s.results))
}

// must ends the play with an error, and keeps its logs.
func (s *soak) must(err error) {
	s.t.Helper()
	s.guard.Lock()
	err = errors.Join(err, s.failed)
	s.guard.Unlock()
	if err == nil {
		return
	}
	kept, e := os.MkdirTemp("", "soak-")
	if e == nil {
		e = os.CopyFS(kept, os.DirFS(s.dir))
	}
	s.t.Fatalf("%v\nlogs are in %s %v", err, kept, e)
}

func (s *soak) prepare() error {
	for i := range *soakNodes {
		n := fmt.Sprintf("n%d", i+1)
		s.nodes = append(s.nodes, n)
		for _, a := range []string{".peer", ".caller", ".local", ".bind"} {
			s.address(n + a)
		}
		s.address("t" + n)
	}
	if err := s.begin("store", "standin", "store", "--address", s.address("store")); err != nil {
		return err
	}
	for i, n := range s.nodes {
		f, err := s.configure(n, []string{"east", "west"}[i%2], "2", nil)
		if err != nil {
			return err
		}
		s.keep(n, "dragonflydoor", "node", "--settings", f)
		s.keep("t"+n, "standin", "target", "--address", s.address("t"+n), "--service", "ledger", "--node", s.address(n+".local"))
	}
	for _, v := range []string{"3s", "4s"} {
		p := fmt.Sprintf(`{"name": "everyday", "services": [{"name": "ledger", "timeout": %q}],
			"routes": [{"name": "all", "path_prefix": "/", "destinations": [{"service": "ledger"}]}]}`, v)
		f := filepath.Join(s.dir, v+".profile")
		if err := os.WriteFile(f, []byte(p), 0o600); err != nil {
			return err
		}
		if err := eventually(stepBound, func() error { return s.operate("publish", "--promote", f) }); err != nil {
			return err
		}
	}
	return s.recovered()
}

// operate runs an operator's command.
func (s *soak) operate(args ...string) error {
	c := exec.CommandContext(s.ctx, "dragonflydoor", args...)
	c.Env = append(os.Environ(), "DRAGONFLYDOOR_STORE="+s.address("store"), "USER=operator")
	b, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", args[0], err, b)
	}
	return nil
}

func (s *soak) begin(name string, args ...string) error {
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.start(name, args...)
}

// keep runs a program, and starts it again whenever it ends.
func (s *soak) keep(name string, args ...string) {
	s.keepers.Go(func() {
		for s.ctx.Err() == nil {
			if err := s.begin(name, args...); err != nil {
				s.fail(err)
				return
			}
			<-s.process(name).done
			select {
			case <-s.ctx.Done():
			case <-time.After(restartPause):
			}
		}
	})
}

func (s *soak) process(name string) *process {
	s.guard.Lock()
	defer s.guard.Unlock()
	return s.processes[name]
}

func (s *soak) fail(err error) {
	s.guard.Lock()
	defer s.guard.Unlock()
	s.failed = errors.Join(s.failed, err)
}

// end stops what the soak has started.
func (s *soak) end() {
	s.cancel()
	ended := make(chan struct{})
	go func() {
		s.keepers.Wait()
		close(ended)
	}()
	for {
		s.guard.Lock()
		for _, p := range s.processes {
			_ = p.command.Process.Kill()
		}
		s.guard.Unlock()
		select {
		case <-ended:
			s.callers.Wait()
			return
		case <-time.After(pollPeriod):
		}
	}
}

func (s *soak) signal(name string, v syscall.Signal) {
	if p := s.process(name); p.alive() {
		_ = p.command.Process.Signal(v)
	}
}

// log writes to a file beside the processes' logs: the test may have ended.
func (s *soak) log(format string, args ...any) {
	s.guard.Lock()
	defer s.guard.Unlock()
	f, err := os.OpenFile(filepath.Join(s.dir, "soak.txt"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// injectAll begins faults one after another, each on a node of its own choice,
// and ends them while others go on.
func (s *soak) injectAll(r *rand.Rand) {
	var ends sync.WaitGroup
	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		f := faults[r.IntN(len(faults))]
		n := s.nodes[r.IntN(len(s.nodes))]
		d := time.Duration(r.Int64N(int64(maxFault)))
		s.log("%s: %s for %s", n, f.name, d)
		if stop := f.begin(s, n, r); stop != nil {
			ends.Go(func() {
				time.Sleep(d)
				stop()
			})
		}
		time.Sleep(time.Duration(r.Int64N(int64(2 * faultPause))))
	}
	ends.Wait()
}

// recovered waits until every node serves requests and knows every target, and
// then until all of them apply another configuration.
func (s *soak) recovered() error {
	for _, n := range s.nodes {
		err := eventually(recoverBound, func() error {
			if err := expect(http.MethodGet, "http://"+s.address(n+".caller")+"/recovered", `"service":"ledger"`); err != nil {
				return err
			}
			d, err := s.dump(n)
			if err != nil {
				return err
			}
			for _, o := range s.nodes {
				if !strings.Contains(fmt.Sprint(d.Members), s.address("t"+o)) {
					return fmt.Errorf("%s does not know t%s, its members are %+v", n, o, d.Members)
				}
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%s has not recovered within %s: %w", n, recoverBound, err)
		}
	}
	if err := eventually(recoverBound, func() error { return s.operate("promote", "--timeout", "3s", "--version", "1", "everyday") }); err != nil {
		return err
	}
	return eventually(applyBound, func() error {
		s.guard.Lock()
		defer s.guard.Unlock()
		if l, _, same := s.generations(); !same {
			return fmt.Errorf("nodes differ %s after a change:\n%s", applyBound, l)
		}
		return nil
	})
}

// stopInTurn stops two nodes as planned, one after the other, and waits until
// they are back.
func (s *soak) stopInTurn() error {
	for _, n := range s.nodes[:2] {
		p := s.process(n)
		s.log("%s: planned stop", n)
		s.signal(n, syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(stepBound):
			return fmt.Errorf("%s still runs %s after SIGTERM", n, stepBound)
		}
		if err := s.recovered(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) startCallers(ctx context.Context) {
	for _, n := range s.nodes {
		for i := range callersOfNode {
			s.callers.Go(func() {
				c := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}
				for k := 0; ctx.Err() == nil; k++ {
					s.call(c, n, fmt.Sprintf("%s-%d-%d", n, i, k), k)
				}
			})
		}
	}
}

// queryOf returns how the target is to answer the k-th request of a caller: each
// eighth with a large answer that takes a while, each sixteenth after a long time,
// and some with one that does not end.
func queryOf(k int) string {
	switch {
	case k%8 == 0:
		return fmt.Sprintf("?bytes=%d&pace_ms=20", largeAnswer)
	case k%16 == 5:
		return "?sleep_ms=1500"
	case k%32 == 14 || k%32 == 23:
		return "?endless=" + []string{"head", "body", "interim"}[k%3]
	}
	return "?sleep_ms=15"
}

// call makes a request, each second one POST, and records what came back.
func (s *soak) call(c *http.Client, node, id string, k int) {
	query := queryOf(k)
	v := result{id: id, method: http.MethodGet, at: time.Now(), endless: strings.HasPrefix(query, "?endless")}
	if k%2 == 1 {
		v.method = http.MethodPost
	}
	q, err := http.NewRequest(v.method, "http://"+s.address(node+".caller")+"/"+id+query, strings.NewReader(id))
	if err != nil {
		s.fail(err)
		return
	}
	q.Header.Set("X-Run", id)
	if v.endless {
		q.Header.Set("Dragonflydoor-Deadline-Ms", endlessBound)
	}
	q.GetBody = nil
	r, err := c.Do(q)
	if err == nil && r.StatusCode == http.StatusOK && k%8 == 0 {
		n, e := io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		switch {
		case e != nil:
			v.broken = e.Error()
		case n != largeAnswer:
			v.wrong = fmt.Sprintf("%d bytes of %d, and no error", n, largeAnswer)
		default:
			v.status = r.StatusCode
		}
	} else {
		v.read(r, err)
	}
	if v.endless && v.status == http.StatusOK && v.broken == "" {
		v.wrong = "an answer without end was passed on as whole"
	}
	s.guard.Lock()
	s.results = append(s.results, v)
	s.guard.Unlock()
	if v.status != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
}

// watchGenerations checks while the soak runs that no process of a node goes back to
// an older configuration.
func (s *soak) watchGenerations(ctx context.Context) {
	type run struct {
		node     string
		restarts int
	}
	seen := make(map[run]uint64)
	for ctx.Err() == nil {
		for _, n := range s.nodes {
			l := run{n, s.process(n).restarts}
			d, err := s.dump(n)
			if err != nil || l.restarts != s.process(n).restarts {
				continue
			}
			if d.Generation < seen[l] {
				s.fail(fmt.Errorf("%s went back from generation %d to %d", n, seen[l], d.Generation))
			}
			seen[l] = d.Generation
		}
		time.Sleep(4 * pollPeriod)
	}
}

// verify compares what callers got with what targets ran. Planned stops
// after calm, with nothing else going on, cut nothing off.
func (s *soak) verify(calm time.Time) error {
	j, err := s.journals()
	if err != nil {
		return err
	}
	runs := make(map[string]int)
	for _, l := range j {
		for _, e := range l {
			runs[e.request]++
		}
	}
	for _, v := range s.results {
		if e := v.check(runs[v.id]); e != nil {
			err = errors.Join(err, fmt.Errorf("request %s (%s, answered %d %s %s): %w", v.id, v.method, v.status, v.verdict, v.broken, e))
		}
		if v.at.After(calm) && v.broken != "" && !v.endless && runs[v.id] > 0 {
			err = errors.Join(err, fmt.Errorf("request %s was cut by a planned stop: %s", v.id, v.broken))
		}
	}
	for _, d := range s.drains {
		for _, e := range j[d.log] {
			if e.at.After(d.at.Add(drainBound)) {
				err = errors.Join(err, fmt.Errorf("%s ran %s %s after its draining was confirmed", d.log, e.request, e.at.Sub(d.at)))
			}
		}
	}
	return errors.Join(err, s.checkHistory())
}
