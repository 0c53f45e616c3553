package gossiper

import (
	"cmp"
	"slices"
)

const (
	// packetBytes bounds a datagram below the usual path MTU.
	packetBytes    = 1200
	overheadBytes  = 96
	tombstoneBytes = 22
	memberBytes    = 48
	targetBytes    = 24
)

// update is a record with the number of packets that carried it.
type update struct {
	member Member
	sent   int
}

// queue holds the updates that are still to be spread, one for each member.
// Its zero value is empty.
type queue struct {
	updates map[string]*update
}

func (q *queue) size() int {
	return len(q.updates)
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
	if len(q.updates) == 0 {
		return
	}
	room := packetBytes - overheadBytes
	for _, m := range p.Members {
		room -= size(m)
	}
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
	return s
}
