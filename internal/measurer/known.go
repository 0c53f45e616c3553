package measurer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

const (
	knownWindow  = 5 * time.Second
	phantomSlot  = 3
	packetBuffer = 64 << 10
)

var knownTargets = []int{10, 100, 1000, 6200}

// measureKnown measures one node that knows made-up members.
func (b *bench) measureKnown(ctx context.Context) error {
	for _, n := range knownTargets {
		if err := b.measureOneKnown(ctx, n); err != nil {
			return err
		}
		if b.Short {
			return nil
		}
	}
	return nil
}

func (b *bench) measureOneKnown(ctx context.Context, known int) error {
	f, err := b.newFleet(ctx, meshDesign)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.promote(ctx, profile(0), nil); err != nil {
		return err
	}
	if err := f.startNode(1); err != nil {
		return err
	}
	if err := f.awaitSettled(ctx, 1); err != nil {
		return err
	}
	s, err := net.ListenPacket("udp", address(0, phantomSlot))
	if err != nil {
		return err
	}
	f.group.Go(func() { acknowledgeAll(s) })
	defer func() { _ = s.Close() }()
	if err := introduce(ctx, known); err != nil {
		return err
	}
	time.Sleep(settleWindow)
	return f.printKnown(ctx, known)
}

// introduce pushes made-up members, which share one address, to node 1.
func introduce(ctx context.Context, known int) error {
	q := &messenger.ExchangeRequest{Node: "n0", Buckets: make([]uint64, gossiper.BucketCount)}
	var l []gossiper.Member
	for i := range known {
		l = append(l, gossiper.Member{
			Node:        fmt.Sprintf("made-up-%d", i),
			PeerAddress: address(0, phantomSlot),
			DataCenter:  fmt.Sprintf("dc-far-%d", i%dataCenters),
			Incarnation: 1,
			Relay:       i < dataCenters,
			Targets:     []gossiper.Target{{Service: fmt.Sprintf("service-%d", i%largeServices), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}},
		})
	}
	q.Members = gossiper.WriteMembers(l)
	_, err := messenger.NewMeshProtobufClient("http://"+address(1, 0), http.DefaultClient).Exchange(ctx, q)
	return err
}

// acknowledgeAll answers every ping in the name of the made-up members.
func acknowledgeAll(s net.PacketConn) {
	b := make([]byte, packetBuffer)
	for {
		n, a, err := s.ReadFrom(b)
		if err != nil {
			return
		}
		p, err := gossiper.DecodePacket(b[:n])
		if err != nil || p.Kind != gossiper.Ping {
			continue
		}
		k, err := gossiper.EncodePacket(gossiper.Packet{Kind: gossiper.Ack, Number: p.Number, From: "made-up-0", TableDigest: p.TableDigest})
		if err != nil {
			return
		}
		_, _ = s.WriteTo(k, a)
	}
}

func (f *fleet) printKnown(ctx context.Context, known int) error {
	p := f.nodes[0]
	a, err := p.usage()
	if err != nil {
		return err
	}
	time.Sleep(knownWindow)
	b, err := p.usage()
	if err != nil {
		return err
	}
	s := time.Now()
	if _, err := f.changes(ctx, 1); err != nil {
		return err
	}
	t := time.Since(s)
	c, err := p.usage()
	if err != nil {
		return err
	}
	return f.report("node_known", map[string]float64{
		"known_targets":       float64(known),
		"rss_mb":              c.rss,
		"cpu_percent_idle":    100 * (b.cpu - a.cpu).Seconds() / knownWindow.Seconds(),
		"cpu_percent_changes": 100 * (c.cpu - b.cpu).Seconds() / t.Seconds(),
		"changes_per_s":       float64(f.bench.Changes) / t.Seconds(),
	})
}
