package gossiper

import (
	"bytes"
	"time"
)

// hopTime is how long a packet is assumed to be on its way, so that a confirmation that
// nodes pass to each other in a circle grows old.
const hopTime = 20 * time.Millisecond

// confirmation is the knowledge that the held configuration is the newest one in the
// store. Nodes that watch the store confirm it, and it is passed on along the tree in
// which configurations are pulled. A node that gets no confirmations has lost its path to
// the store, whoever on it has failed.
type confirmation struct {
	// at is the last time at which the held configuration was the newest one, on a clock
	// that counts suspensions of the VM: the core's time plus suspended.
	at        time.Time
	suspended time.Duration
	// passed is the value of at that the children were last told.
	passed time.Time

	children func() []string
	spacing  time.Duration
}

// age returns the time since the confirmation, at least a nanosecond, or 0 if there is
// none.
func (c *confirmation) age(now time.Time) time.Duration {
	if c.at.IsZero() {
		return 0
	}
	return max(now.Add(c.suspended).Sub(c.at), 1)
}

// Confirm records that the held configuration was the newest one in the store at the time
// at, and returns the packets that tell the children.
func (c *Core) Confirm(at, now time.Time) []Outgoing {
	f := &c.confirmation
	if !at.After(f.at) {
		return nil
	}
	f.at = at
	if f.children == nil || at.Sub(f.passed) < f.spacing {
		return nil
	}
	f.passed = at
	var o []Outgoing
	for _, n := range f.children() {
		if m, ok := c.table.get(n); ok && m.Usable() {
			o = append(o, Outgoing{Address: m.PeerAddress, Packet: c.packet(Rumor, now)})
		}
	}
	return o
}

// confirmBy applies the confirmation of the sender of p, which counts if both hold the
// same configuration and none is known to be newer.
func (c *Core) confirmBy(p Packet, now time.Time) []Outgoing {
	h := c.held
	if p.ConfirmedAge == 0 || h.Generation == 0 || p.Generation != h.Generation || c.newest.Generation > h.Generation {
		return nil
	}
	if !bytes.Equal(p.StateDigest, h.StateDigest[:hintDigestBytes]) {
		return nil
	}
	return c.Confirm(now.Add(c.confirmation.suspended-p.ConfirmedAge-hopTime), now)
}
