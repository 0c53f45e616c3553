package gossiper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// FuzzExchange gives a node any packet and any exchange request, as from another node. What
// it accepts it must be able to pass on: in the answer, and in the packets that follow.
func FuzzExchange(f *testing.F) {
	m := Member{Node: "m", PeerAddress: "127.0.0.1:2", DataCenter: "z", Incarnation: 2, Relay: true, Targets: []Target{{
		Service: "s", Address: "127.0.0.1:3", Draining: true, Slots: 4, Instance: "i", StartedAtUnixMS: 5,
	}}}
	packet, err := EncodePacket(Packet{Kind: Ping, Number: 1, From: "m", Members: []Member{m}, Tombstones: []Tombstone{tombstone(m)}, ConfirmedAge: time.Second})
	if err != nil {
		f.Fatal(err)
	}
	for _, q := range []*messenger.ExchangeRequest{
		{Node: "m", Joining: true, Members: WriteMembers([]Member{m})},
		{Node: "m", Buckets: make([]uint64, BucketCount)},
		{Node: "m", Wanted: []uint64{HashNode("m"), HashNode("n")}, Members: WriteMembers([]Member{m})},
	} {
		b, err := proto.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packet, b)
	}
	f.Fuzz(func(t *testing.T, packet, request []byte) {
		var traffic meter.Traffic
		g := New(Member{Node: "n", PeerAddress: "127.0.0.1:1", DataCenter: "z", Incarnation: 1}, nil, &traffic)
		r := NewReconciler(g, nil)
		now := time.Now()
		var out []Outgoing
		if p, err := DecodePacket(packet); err == nil {
			out = g.core.Receive("127.0.0.1:2", p, now)
		}
		var q messenger.ExchangeRequest
		if err := proto.Unmarshal(request, &q); err == nil {
			if _, err := proto.Marshal(r.Serve(&q)); err != nil {
				t.Error(err)
			}
		}
		for i := range 3 {
			out = append(out, g.core.Tick(now.Add(time.Duration(i)*probePeriod))...)
		}
		out = append(append(out, g.core.hints(now)...), g.core.announcements(now)...)
		for _, o := range out {
			if _, err := EncodePacket(o.Packet); err != nil {
				t.Error(err)
			}
		}
	})
}
