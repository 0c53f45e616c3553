package gossiper

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// silentSocket receives nothing and loses what is sent.
type silentSocket struct {
	net.PacketConn

	closed chan struct{}
}

func (s silentSocket) ReadFrom([]byte) (int, net.Addr, error) {
	<-s.closed
	return 0, nil, net.ErrClosed
}

func (s silentSocket) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

func (s silentSocket) Close() error {
	close(s.closed)
	return nil
}

// TestTicksFollowWhatIsDue checks that a node on which nothing is due sleeps, because
// each wake-up takes processor time, and that it wakes as soon as something is.
func TestTicksFollowWhatIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m meter.Traffic
		g := New(Member{Node: "n", PeerAddress: "127.0.0.1:1", Incarnation: 1}, silentSocket{closed: make(chan struct{})}, &m)
		var group grouper.Group
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		group.Loop(ctx, g.tick)
		const seconds = 10
		ticks := 0
		for range seconds * int(time.Second/tickPeriod) {
			g.mu.Lock()
			last := g.core.lastTick
			g.mu.Unlock()
			time.Sleep(tickPeriod)
			synctest.Wait()
			g.mu.Lock()
			if !g.core.lastTick.Equal(last) {
				ticks++
			}
			g.mu.Unlock()
		}
		if ticks > 3*seconds {
			t.Errorf("%d ticks in %d idle seconds", ticks, seconds)
		}
		peer := NewCore(Member{Node: "peer", PeerAddress: "127.0.0.1:2", Incarnation: 1}, g.core.rand, time.Now())
		g.handle("127.0.0.1:2", peer.PingAddress("127.0.0.1:1", time.Now()).Packet)
		time.Sleep(tickPeriod)
		synctest.Wait()
		if n := g.View().Usable(); n != 2 {
			t.Errorf("%d members in the view %s after a member was heard, expected 2", n, tickPeriod)
		}
	})
}

// countingSocket counts the packets that carry a target's address.
type countingSocket struct {
	silentSocket

	sent *int
}

func (s countingSocket) WriteTo(b []byte, _ net.Addr) (int, error) {
	p, err := DecodePacket(b)
	if err == nil && len(p.Members) == 1 && len(p.Members[0].Targets) > 0 {
		*s.sent++
	}
	return len(b), nil
}

// TestFirstTargetIsAnnouncedAtOnce covers the moment after all nodes have started
// together: calls fail until their entries know targets, and rumors take a few periods.
func TestFirstTargetIsAnnouncedAtOnce(t *testing.T) {
	var m meter.Traffic
	sent := 0
	g := New(Member{Node: "n", PeerAddress: "127.0.0.1:1", Incarnation: 1}, countingSocket{sent: &sent}, &m)
	const others = 13
	for i := range others {
		a := fmt.Sprintf("127.0.0.1:%d", 100+i)
		g.core.Merge("", []Member{{Node: a, PeerAddress: a, Incarnation: 1}}, time.Now())
	}
	add := func(address string) int {
		sent = 0
		g.Update(func(m Member) Member {
			return m.WithTargets(append(m.Targets, Target{Service: "s", Address: address}))
		})
		return sent
	}
	if n := add("127.0.0.1:80"); n != others {
		t.Errorf("the first target was announced to %d members at once, expected %d", n, others)
	}
	if n := add("127.0.0.1:81"); n != 0 {
		t.Errorf("another target was announced to %d members at once, expected 0", n)
	}
}
