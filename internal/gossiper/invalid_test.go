package gossiper

import (
	"net"
	"testing"

	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// TestUnencodablePacketsAreDropped guards against the end of the process by a record that
// cannot be encoded: the packet is not sent, and others are.
func TestUnencodablePacketsAreDropped(t *testing.T) {
	s, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var m meter.Traffic
	g := New(Member{Node: "n", PeerAddress: s.LocalAddr().String()}, s, &m)
	odd := Packet{Kind: Rumor, Members: []Member{{Node: "m", PeerAddress: "127.0.0.1:1", Targets: []Target{{Service: "s", Address: "a", Instance: "\xff"}}}}}
	g.send([]Outgoing{
		{Address: s.LocalAddr().String(), Packet: odd},
		{Address: s.LocalAddr().String(), Packet: Packet{Kind: Ping, Number: 7}},
	})
	b := make([]byte, readBuffer)
	n, _, err := s.ReadFrom(b)
	if err != nil {
		t.Fatal(err)
	}
	if p, err := DecodePacket(b[:n]); err != nil || p.Number != 7 {
		t.Errorf("got %+v, %v", p, err)
	}
}
