package gossiper

import (
	"cmp"
	"slices"

	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

const (
	// packetBytes bounds a datagram below the usual path MTU.
	packetBytes    = 1200
	overheadBytes  = 96
	tombstoneBytes = 22
	strikeBytes    = 24
	memberBytes    = 48
	targetBytes    = 24
)

// update is a record with the number of packets that carried it.
type update struct {
	member Member
	sent   int
}

// queue holds the updates that are still to be spread, one for each member,
// and strikes. Its zero value is empty.
type queue struct {
	updates map[string]*update
	// strikes counts the packets that carried each strike.
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

// fillStrikes adds strikes to p within room and returns the room left.
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
	q.updates[m.Node] = &update{member: m}
}

// fill adds the least-sent updates to p while there is room, and drops those
// that have been sent limit times.
func (q *queue) fill(p *Packet, limit int) {
	if q.size() == 0 {
		return
	}
	room := packetBytes - overheadBytes
	for _, m := range p.Members {
		room -= size(m)
	}
	room = q.fillStrikes(p, room, limit)
	for _, u := range q.byUse() {
		s := cost(u.member)
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

// size estimates the bytes of a packet.
func (p Packet) size() int {
	s := overheadBytes + len(p.Tombstones)*tombstoneBytes + len(p.Strikes)*strikeBytes
	for _, m := range p.Members {
		s += size(m)
	}
	return s
}

func (q *queue) byUse() []*update {
	l := make([]*update, 0, len(q.updates))
	for _, u := range q.updates {
		l = append(l, u)
	}
	slices.SortFunc(l, func(a, b *update) int { return cmp.Compare(a.sent, b.sent) })
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

func cost(m Member) int {
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
