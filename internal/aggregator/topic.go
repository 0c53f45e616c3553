// Package aggregator carries state of the fleet between nodes: each node reports to the
// hub of its data centre, hubs report to one root, and answers go back the same way. The
// cost of a node does not depend on the size of the fleet.
package aggregator

import "time"

// Tier is the place of a node in the exchange of one topic.
type Tier uint8

// The tiers.
const (
	// Leaf is every node.
	Leaf Tier = iota + 1
	// Hub is the node that the nodes of a data centre report to.
	Hub
	// Root is the node that hubs report to.
	Root
)

// The topics.
const (
	UsageTopic uint8 = iota + 1
	RolloutTopic
	LoadTopic
)

// Topic merges one kind of state. A node may be at several tiers at once. Its methods are
// called one at a time, with times of Aggregator.Now, and may call the aggregator's
// Coverage, Known and Period.
type Topic interface {
	ID() uint8
	// Report returns what is told to the next tier: at a leaf what the node observed, at
	// a hub the merged reports of its data centre; nil if there is nothing. Reports and
	// answers may have up to MaxSection bytes, and empty ones are sent.
	Report(from Tier, now time.Time) []byte
	// Merge takes a report that arrived at tier at.
	Merge(at Tier, sender string, report []byte, now time.Time)
	// Answer returns what tier at answers to sender.
	Answer(at Tier, sender string, now time.Time) []byte
	// Apply takes the answer to the report that was sent at sent: it was formed between
	// sent and now.
	Apply(at Tier, answer []byte, sent, now time.Time)
}
