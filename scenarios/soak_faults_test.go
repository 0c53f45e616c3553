package scenarios

import (
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// fault is a kind of trouble. It returns what ends it, nil when nothing does.
type fault struct {
	name  string
	begin func(s *soak, node string, r *rand.Rand) (end func())
}

func storeFault(s *soak, body string) func() {
	u := "http://" + s.address("store") + "/faults"
	_ = send(http.MethodPut, u, body)
	return func() { _ = send(http.MethodPut, u, "{}") }
}

func paused(s *soak, name string) func() {
	s.signal(name, syscall.SIGSTOP)
	return func() { s.signal(name, syscall.SIGCONT) }
}

func signaled(prefix string, v syscall.Signal) func(*soak, string, *rand.Rand) func() {
	return func(s *soak, n string, _ *rand.Rand) func() {
		s.signal(prefix+n, v)
		return nil
	}
}

var faults = []fault{
	{"kill node", signaled("", syscall.SIGKILL)},
	{"stop node", signaled("", syscall.SIGTERM)},
	{"reload node", signaled("", syscall.SIGHUP)},
	{"kill target", signaled("t", syscall.SIGKILL)},
	{"pause node", func(s *soak, n string, _ *rand.Rand) func() { return paused(s, n) }},
	{"pause target", func(s *soak, n string, _ *rand.Rand) func() { return paused(s, "t"+n) }},
	{"pause store", func(s *soak, _ string, _ *rand.Rand) func() { return paused(s, "store") }},
	{"drain target", func(s *soak, n string, _ *rand.Rand) func() { return s.drain(n) }},
	{"reset link", func(s *soak, n string, _ *rand.Rand) func() {
		s.links[n].Reset()
		return nil
	}},
	{"silence link", func(s *soak, n string, _ *rand.Rand) func() {
		s.links[n].Silence()
		return nil
	}},
	{"mute link", func(s *soak, n string, _ *rand.Rand) func() {
		s.links[n].Mute(true)
		return func() { s.links[n].Mute(false) }
	}},
	{"delay link", func(s *soak, n string, r *rand.Rand) func() {
		s.links[n].Delay(time.Duration(r.IntN(200)) * time.Millisecond)
		return func() { s.links[n].Delay(0) }
	}},
	{"cut data centres", func(s *soak, _ string, _ *rand.Rand) func() {
		s.cut("east", "west")
		return s.reconnect
	}},
	{"store down", func(s *soak, _ string, _ *rand.Rand) func() { return storeFault(s, `{"down": true}`) }},
	{"store silent", func(s *soak, _ string, _ *rand.Rand) func() { return storeFault(s, `{"silent": true}`) }},
	{"store slow", func(s *soak, _ string, _ *rand.Rand) func() { return storeFault(s, `{"delay_ms": 300}`) }},
	{"store loses answers", func(s *soak, _ string, _ *rand.Rand) func() { return storeFault(s, `{"lose_answers": 3}`) }},
	{"leases lapse", func(s *soak, _ string, _ *rand.Rand) func() {
		_ = send(http.MethodPost, "http://"+s.address("store")+"/faults/lapse", "")
		return nil
	}},
	{"promote", func(s *soak, _ string, r *rand.Rand) func() {
		v := strconv.Itoa(1 + r.IntN(2))
		s.group.Go(func() {
			if err := s.operate("promote", "--timeout", "3s", "--version", v, "everyday"); err != nil {
				s.log("promote: %v", err)
			}
		})
		return nil
	}},
}

func (s *soak) reconnect() {
	for _, l := range s.links {
		l.Unblock()
	}
}

// drain tells a target's node that the target leaves, and ends the target later.
func (s *soak) drain(node string) func() {
	p := s.process("t" + node)
	_ = send(http.MethodPost, "http://"+s.address("t"+node)+"/standin/silence", "")
	u := "http://" + s.address(node+".local") + "/v1/targets/" + s.address("t"+node) + "/drain"
	if err := expect(http.MethodPost, u, `"in_flight"`); err == nil {
		s.guard.Lock()
		s.drains = append(s.drains, leaving{log: filepath.Base(p.log), at: time.Now()})
		s.guard.Unlock()
	}
	return func() {
		time.Sleep(drainBound + 500*time.Millisecond)
		_ = p.command.Process.Kill()
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.log("healed")
	s.reconnect()
	storeFault(s, "{}")
	s.signal("store", syscall.SIGCONT)
	for _, n := range s.nodes {
		s.links[n].Mute(false)
		s.links[n].Delay(0)
		s.signal(n, syscall.SIGCONT)
		s.signal("t"+n, syscall.SIGCONT)
	}
}
