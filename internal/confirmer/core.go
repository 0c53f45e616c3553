// Package confirmer passes on, from the relays to all nodes, when the configuration that
// they hold was the newest one in the store.
//
// A node asks its parent in the tree, which answers at once and after each confirmation
// for as long as the question is recent. An answer states the time of the confirmation
// relative to the arrival of the question. Since the question arrived after it was sent,
// the node counts from when it sent it. A confirmation thus never becomes younger on its
// way, however long a datagram waits in a queue, in the socket of a paused process, or in
// a process between the reading of its clock and the sending.
package confirmer

import "time"

const (
	// askPeriod is the interval of questions while confirmations arrive, and askAgain the
	// one while they do not.
	askPeriod = 2 * time.Second
	askAgain  = 300 * time.Millisecond
	// questionLifetime is how long a parent answers a question.
	questionLifetime = 3 * askPeriod
	// maxQuestions is the number of questions to which answers are expected. The newest
	// ones may still be on their way while the parent answers an older one.
	maxQuestions = 4
	// maxChildren limits the nodes that are told of each confirmation.
	maxChildren = 128
	// driftDivisor allows for clocks that run at rates which differ by 500 ppm, which is
	// more than NTP corrects.
	driftDivisor = 2000
	// clockGrain is by how much a confirmation may seem to be in the future.
	clockGrain = time.Millisecond
	// maxAfterMicros limits the times in answers to a day.
	maxAfterMicros = int64(24 * time.Hour / time.Microsecond)
)

// Outgoing is a message with its destination address.
type Outgoing struct {
	Address string
	Message Message
}

type question struct {
	number uint64
	sent   time.Time
}

// child is a node that has asked, and when its question arrived.
type child struct {
	number  uint64
	arrived time.Time
	// told is the confirmation that the child was last told.
	told time.Time
}

// Core implements the protocol without sockets and timers. All times are on a clock that
// counts pauses of the process and suspensions of the VM. It is not safe for concurrent
// use.
type Core struct {
	// spacing is how much newer than the one before a confirmation must be to be passed
	// on, and within the age from which on the parent is asked more often.
	spacing time.Duration
	within  time.Duration

	held Configuration
	// at is the last time at which held was the newest configuration.
	at time.Time

	parent string
	asked  []question
	// unanswered is the time of the first question since the last answer.
	unanswered time.Time
	children   map[string]child
	// early is the latest confirmation of a configuration that is not held yet.
	early   Configuration
	earlyAt time.Time
}

// New returns a core that passes on confirmations that are newer by spacing, and expects
// one within the given time.
func New(spacing, within time.Duration) *Core {
	return &Core{spacing: spacing, within: within, children: make(map[string]child)}
}

// ConfirmedAt returns the last time at which the held configuration is known to have been
// the newest one, or zero if there is none.
func (c *Core) ConfirmedAt() time.Time {
	return c.at
}

// Hold records that the node holds g, and returns what is to be sent. An earlier
// confirmation remains: nothing newer than g existed then.
func (c *Core) Hold(g Configuration, now time.Time) []Outgoing {
	if g.Generation <= c.held.Generation {
		return nil
	}
	c.held = g
	if c.early == g {
		return c.confirm(c.earlyAt, now)
	}
	return nil
}

// Confirm records that g was the newest configuration in the store at the time at. It
// does not count unless g is held.
func (c *Core) Confirm(g Configuration, at, now time.Time) []Outgoing {
	if g != c.held || g.Generation == 0 {
		return nil
	}
	return c.confirm(at, now)
}

func (c *Core) confirm(at, now time.Time) []Outgoing {
	if !at.After(c.at) || at.After(now.Add(clockGrain)) {
		return nil
	}
	c.at = at
	var o []Outgoing
	for a, k := range c.children {
		if now.Sub(k.arrived) > questionLifetime {
			delete(c.children, a)
			continue
		}
		if at.Sub(k.told) < c.spacing {
			continue
		}
		k.told = at
		c.children[a] = k
		o = append(o, Outgoing{Address: a, Message: c.answer(k)})
	}
	return o
}

func (c *Core) answer(k child) Message {
	return Message{Kind: Answer, Number: k.number, Configuration: c.held, Confirmed: !c.at.IsZero(), After: c.at.Sub(k.arrived)}
}

// Ask returns a question to the node at address parent if one is due; number is a random
// number. An empty address means that there is no parent.
func (c *Core) Ask(parent string, number uint64, now time.Time) []Outgoing {
	if parent != c.parent {
		c.parent, c.asked, c.unanswered = parent, nil, time.Time{}
	}
	if parent == "" {
		return nil
	}
	if n := len(c.asked); n > 0 && now.Sub(c.asked[n-1].sent) < c.askInterval(now) {
		return nil
	}
	c.asked = append(c.asked, question{number: number, sent: now})
	c.asked = c.asked[max(0, len(c.asked)-maxQuestions):]
	if c.unanswered.IsZero() {
		c.unanswered = now
	}
	return []Outgoing{{Address: parent, Message: Message{Kind: Question, Number: number}}}
}

func (c *Core) askInterval(now time.Time) time.Duration {
	if now.Sub(c.at) < c.within && c.unanswered.IsZero() {
		return askPeriod
	}
	return askAgain
}

// Orphaned reports whether the node has no parent that answers.
func (c *Core) Orphaned(now time.Time) bool {
	return c.parent == "" || (!c.unanswered.IsZero() && now.Sub(c.unanswered) >= askAgain)
}

// Receive handles a message from address and returns the messages to send.
func (c *Core) Receive(address string, m Message, now time.Time) []Outgoing {
	if m.Kind == Question {
		return c.take(address, m.Number, now)
	}
	for _, q := range c.asked {
		if q.number == m.Number {
			c.unanswered = time.Time{}
			return c.accept(m, q.sent, now)
		}
	}
	return nil
}

// take records a question and answers it.
func (c *Core) take(address string, number uint64, now time.Time) []Outgoing {
	k := child{number: number, arrived: now, told: c.at}
	if _, ok := c.children[address]; ok || len(c.children) < maxChildren {
		c.children[address] = k
	}
	return []Outgoing{{Address: address, Message: c.answer(k)}}
}

// accept applies an answer to a question that was sent at the given time.
func (c *Core) accept(m Message, sent, now time.Time) []Outgoing {
	if !m.Confirmed {
		return nil
	}
	at := sent.Add(m.After - m.After.Abs()/driftDivisor)
	if m.Configuration.Generation > c.held.Generation && (m.Configuration != c.early || at.After(c.earlyAt)) {
		// The configuration itself is still on its way.
		c.early, c.earlyAt = m.Configuration, at
		return nil
	}
	return c.Confirm(m.Configuration, at, now)
}
