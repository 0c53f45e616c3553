package gossiper

import (
	"cmp"
	"slices"

	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

const (
	// packetBytes keeps a datagram below the usual path MTU.
	packetBytes    = 1200
	overheadBytes  = 96
	tombstoneBytes = 22
	strikeBytes    = 24
	memberBytes    = 48
	targetBytes    = 24
)

// update is a record with the number of packets in which it was sent.
type update struct {
	member Member
	sent   int
	// number orders updates by their arrival.
	number uint64
}

// queue holds the updates and strikes that are still to be gossiped, with at most
// one update for each member. The zero value is an empty queue.
type queue struct {
	updates map[string]*update
	// arrived counts the updates that were put.
	arrived uint64
	// strikes maps each strike to the number of packets in which it was sent.
	strikes map[quarantiner.Strike]int
}

func (q *queue) size() int {
	return len(q.updates) + len(q.strikes)
}

func (q *queue) putStrike(s quarantiner.Strike) {
	if q.strikes == nil {
		q.strikes = make(map[quarantiner.Strike]int)
	}
	q.strikes[s] = 0
}

// fillStrikes adds strikes of up to room bytes to p and returns the bytes left.
func (q *queue) fillStrikes(p *Packet, room, limit int) int {
	for s, n := range q.strikes {
		if strikeBytes > room {
			break
		}
		room -= strikeBytes
		p.Strikes = append(p.Strikes, s)
		q.strikes[s] = n + 1
		if n+1 >= limit {
			delete(q.strikes, s)
		}
	}
	return room
}

func (q *queue) put(m Member) {
	if q.updates == nil {
		q.updates = make(map[string]*update)
	}
	q.arrived++
	q.updates[m.Node] = &update{member: m, number: q.arrived}
}

// putIntroduction adds a record that is not urgent: new updates are sent before it.
func (q *queue) putIntroduction(m Member) {
	q.put(m)
	q.updates[m.Node].sent = 1
}

// fill adds updates to p up to packetBytes, the least often sent first, and drops
// those that have been sent limit times.
func (q *queue) fill(p *Packet, limit int) {
	if q.size() == 0 {
		return
	}
	room := packetBytes - overheadBytes
	for _, m := range p.Members {
		room -= size(m)
	}
	room = q.fillStrikes(p, room, limit)
	for _, u := range q.byTransmissions() {
		s := updateSize(u.member)
		if s > room {
			continue
		}
		room -= s
		u.add(p)
		if u.sent >= limit {
			delete(q.updates, u.member.Node)
		}
	}
}

// size estimates the encoded size of a packet in bytes.
func (p Packet) size() int {
	s := overheadBytes + len(p.Tombstones)*tombstoneBytes + len(p.Strikes)*strikeBytes
	for _, m := range p.Members {
		s += size(m)
	}
	return s
}

func (q *queue) byTransmissions() []*update {
	l := make([]*update, 0, len(q.updates))
	for _, u := range q.updates {
		l = append(l, u)
	}
	slices.SortFunc(l, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.number, b.number))
	})
	return l
}

func (u *update) add(p *Packet) {
	u.sent++
	if u.member.Condition == Alive {
		p.Members = append(p.Members, u.member)
		return
	}
	p.Tombstones = append(p.Tombstones, tombstone(u.member))
}

func updateSize(m Member) int {
	if m.Condition == Alive {
		return size(m)
	}
	return tombstoneBytes
}

func size(m Member) int {
	s := memberBytes + len(m.Node) + len(m.PeerAddress) + len(m.DataCenter)
	for _, t := range m.Targets {
		s += targetBytes + len(t.Service) + len(t.Address)
	}
	for _, h := range m.Homes {
		s += len(h) + 2
	}
	return s
}
