package gossiper

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// Kind is the type of a packet.
type Kind uint8

// The kinds of packets.
const (
	// Ping asks for an Ack with the same number.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping the subject.
	PingRequest
	// Rumor carries updates only.
	Rumor
	// Report carries state of the fleet to a hub or to the root, and Answer answers a
	// Report with the same number. The membership protocol ignores both.
	Report
	Answer
)

// Section is what one topic says in a Report or an Answer.
type Section struct {
	Topic uint8
	Body  []byte
}

// Packet is one membership datagram.
type Packet struct {
	Kind    Kind
	Number  uint64
	From    string
	Subject string
	// Generation and StateDigest identify the sender's configuration.
	Generation  uint64
	StateDigest []byte
	// ConfirmedAge is how long ago the sender's configuration was the newest one in the
	// store; zero means unknown.
	ConfirmedAge time.Duration
	// TableDigest identifies the sender's whole table.
	TableDigest uint64
	Members     []Member
	Tombstones  []Tombstone
	Strikes     []quarantiner.Strike
	// Sections, Tier and Covered belong to reports and answers. Covered is the number of
	// nodes whose reports a reporting hub has received recently.
	Sections []Section
	Tier     uint8
	Covered  int
}

// EncodePacket returns the wire form of p. It fails if a text in p is not valid UTF-8.
func EncodePacket(p Packet) ([]byte, error) {
	w := &messenger.Packet{
		Kind:        uint32(p.Kind),
		Number:      p.Number,
		From:        p.From,
		Subject:     p.Subject,
		Generation:  p.Generation,
		StateDigest: p.StateDigest,
		TableDigest: p.TableDigest,
		Members:     WriteMembers(p.Members),

		ConfirmedAgeMs: writeAge(p.ConfirmedAge),

		Tier:    uint32(p.Tier),
		Covered: uint32(p.Covered),
	}
	for _, s := range p.Sections {
		w.Sections = append(w.Sections, &messenger.Section{Topic: uint32(s.Topic), Body: s.Body})
	}
	for _, t := range p.Tombstones {
		w.Tombstones = append(w.Tombstones, writeTombstone(t))
	}
	for _, s := range p.Strikes {
		w.Strikes = append(w.Strikes, &messenger.Strike{
			Fingerprint: uint64(s.Fingerprint),
			Crash:       s.Crash,
			Shared:      s.Shared,
			Cleared:     s.Cleared,
		})
	}
	b, err := proto.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("gossiper: encode packet: %w", err)
	}
	return b, nil
}

// DecodePacket parses the wire form of a packet.
func DecodePacket(data []byte) (Packet, error) {
	var w messenger.Packet
	if err := proto.Unmarshal(data, &w); err != nil {
		return Packet{}, fmt.Errorf("gossiper: invalid packet: %w", err)
	}
	if w.GetKind() < uint32(Ping) || w.GetKind() > uint32(Answer) {
		return Packet{}, fmt.Errorf("gossiper: packet has unknown kind %d", w.GetKind())
	}
	p := Packet{
		Kind:        Kind(w.GetKind()),
		Number:      w.GetNumber(),
		From:        w.GetFrom(),
		Subject:     w.GetSubject(),
		Generation:  w.GetGeneration(),
		StateDigest: w.GetStateDigest(),
		TableDigest: w.GetTableDigest(),
		Members:     ReadMembers(w.GetMembers()),
		Tombstones:  readTombstones(w.GetTombstones()),

		ConfirmedAge: time.Duration(w.GetConfirmedAgeMs()) * time.Millisecond,

		Tier:    uint8(min(w.GetTier(), math.MaxUint8)),
		Covered: int(w.GetCovered()),
	}
	for _, s := range w.GetSections() {
		p.Sections = append(p.Sections, Section{Topic: uint8(min(s.GetTopic(), math.MaxUint8)), Body: s.GetBody()})
	}
	for _, s := range w.GetStrikes() {
		p.Strikes = append(p.Strikes, quarantiner.Strike{
			Fingerprint: quarantiner.Fingerprint(s.GetFingerprint()),
			Crash:       s.GetCrash(),
			Shared:      s.GetShared(),
			Cleared:     s.GetCleared(),
		})
	}
	return p, nil
}

// writeAge rounds up, so that an age is never understated and 0 means unknown.
func writeAge(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

func writeTombstone(t Tombstone) *messenger.Tombstone {
	return &messenger.Tombstone{NodeHash: t.NodeHash, Incarnation: t.Incarnation, Condition: uint32(t.Condition)}
}

func readTombstones(list []*messenger.Tombstone) []Tombstone {
	l := make([]Tombstone, 0, len(list))
	for _, w := range list {
		l = append(l, Tombstone{
			NodeHash:    w.GetNodeHash(),
			Incarnation: w.GetIncarnation(),
			Condition:   readCondition(w.GetCondition()),
		})
	}
	return l
}

// WriteMembers converts records to their wire form.
func WriteMembers(list []Member) []*messenger.Member {
	l := make([]*messenger.Member, 0, len(list))
	for _, m := range list {
		w := &messenger.Member{
			Node:        m.Node,
			PeerAddress: m.PeerAddress,
			DataCenter:  m.DataCenter,
			Incarnation: m.Incarnation,
			Condition:   uint32(m.Condition),
			Status:      uint32(m.Status),
			Relay:       m.Relay,
			Homes:       m.Homes,
		}
		for _, t := range m.Targets {
			w.Targets = append(w.Targets, writeTarget(t))
		}
		l = append(l, w)
	}
	return l
}

// ReadMembers converts records from their wire form. It skips records without a
// node or an address.
func ReadMembers(list []*messenger.Member) []Member {
	l := make([]Member, 0, len(list))
	for _, w := range list {
		if w.GetNode() == "" || w.GetPeerAddress() == "" {
			continue
		}
		m := Member{
			Node:        w.GetNode(),
			PeerAddress: w.GetPeerAddress(),
			DataCenter:  w.GetDataCenter(),
			Incarnation: w.GetIncarnation(),
			Condition:   readCondition(w.GetCondition()),
			Status:      Status(min(w.GetStatus(), uint32(Left))),
			Relay:       w.GetRelay(),
			Homes:       w.GetHomes(),
		}
		for _, t := range w.GetTargets() {
			m.Targets = append(m.Targets, readTarget(t))
		}
		l = append(l, m)
	}
	return l
}

const drainingState = 1

func writeTarget(t Target) *messenger.Target {
	w := &messenger.Target{
		Service:     t.Service,
		Address:     t.Address,
		Slots:       uint32(t.Slots),
		Connections: uint32(t.Connections),
		Instance:    t.Instance,
		Born:        t.StartedAtUnixMS,
		Version:     t.Version,
	}
	if t.Draining {
		w.State = drainingState
	}
	return w
}

func readTarget(w *messenger.Target) Target {
	return Target{
		Service:         w.GetService(),
		Address:         w.GetAddress(),
		Draining:        w.GetState() == drainingState,
		Slots:           int(w.GetSlots()),
		Connections:     int(w.GetConnections()),
		Instance:        w.GetInstance(),
		StartedAtUnixMS: w.GetBorn(),
		Version:         w.GetVersion(),
	}
}

func readCondition(n uint32) Condition {
	return Condition(min(n, uint32(Dead)))
}
