// Package gossiper maintains the membership of the mesh. Only a node itself writes
// its record; other members can only mark it as suspect or dead.
//
// The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// random probes, indirect probes, suspicion that the suspected node refutes with a
// higher incarnation, and updates that are piggybacked on the probes.
package gossiper

import (
	"hash/fnv"
	"slices"
)

// Condition is the state of a member as determined by failure detection.
type Condition uint8

// The conditions. Within an incarnation a later one overrides an earlier one.
const (
	Alive Condition = iota
	Suspect
	Dead
)

var conditionNames = [...]string{"alive", "suspect", "dead"}

// String returns the name used in dumps.
func (c Condition) String() string {
	return conditionNames[min(c, Dead)]
}

// Status is the state of a member as declared by the member itself.
type Status uint8

// The statuses.
const (
	Serving Status = iota
	Draining
	Left
)

var statusNames = [...]string{"serving", "draining", "left"}

// String returns the name used in dumps.
func (s Status) String() string {
	return statusNames[min(s, Left)]
}

// Target is a target on the same VM as a member.
type Target struct {
	Service string
	Address string
	// Draining targets get no new requests.
	Draining    bool
	Slots       int
	Connections int
	// Instance and StartedAtUnixMS identify the process of a draining target.
	Instance        string
	StartedAtUnixMS int64
	// Version is the version of the service that the target runs; empty if unknown.
	Version string
}

// Member is the record of one node. It is immutable.
type Member struct {
	Node        string
	PeerAddress string
	DataCenter  string
	// Incarnation increases with every change that the node makes to its record.
	Incarnation uint64
	Condition   Condition
	Status      Status
	Relay       bool
	Targets     []Target
	// Homes lists the services that have had a target on the node's VM since the
	// node started. The node may be the home of their idempotency keys.
	Homes []string
}

// WithCondition returns the record with another condition.
func (m Member) WithCondition(c Condition) Member {
	m.Condition = c
	return m
}

// WithStatus returns the record with another status.
func (m Member) WithStatus(s Status) Member {
	m.Status = s
	return m
}

// WithRelay returns the record with the relay flag set to r.
func (m Member) WithRelay(r bool) Member {
	m.Relay = r
	return m
}

// WithIncarnation returns the record under another incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// WithTargets returns the record with other targets.
func (m Member) WithTargets(l []Target) Member {
	m.Targets = slices.Clone(l)
	m.Homes = slices.Clone(m.Homes)
	for _, t := range l {
		if !t.Draining && !slices.Contains(m.Homes, t.Service) {
			m.Homes = append(m.Homes, t.Service)
		}
	}
	return m
}

// Usable reports whether requests can be sent to the member.
func (m Member) Usable() bool {
	return m.Condition != Dead && m.Status != Left
}

// canBeHomeOf reports whether the member can be the home of keys of a service.
func (m Member) canBeHomeOf(service string) bool {
	return m.Usable() && m.Status == Serving && slices.Contains(m.Homes, service)
}

// supersedes reports whether m replaces o, a record of the same node. The order
// is total except for equal records, so that merging is commutative.
func (m Member) supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Condition > o.Condition
}

// Tombstone carries only the condition of a member, for receivers that have its
// record.
type Tombstone struct {
	NodeHash    uint64
	Incarnation uint64
	Condition   Condition
}

// HashNode returns the hash that determines a node's position in buckets and trees.
func HashNode(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64())
}

// mix spreads the bits of x (the finalizer of MurmurHash3, Appleby, 2011).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
