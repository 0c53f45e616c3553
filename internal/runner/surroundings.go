package runner

import (
	"net/http"

	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/relayer"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// Surroundings are what a node meets outside the product: the store, and the
// ways in which its callers and targets speak.
type Surroundings struct {
	// Store returns a client for the store at an address whose bytes m counts.
	Store func(address string, m *meter.Traffic) storer.Store
	// Document is where the configuration lies, nil for the product's own
	// records.
	Document *relayer.Document
	// Rollouts is how roll-outs are ordered and their states recorded.
	Rollouts RolloutFormat
	Dialect  forwarder.Dialect
	// Local returns the handler of the local address, made from the product's
	// own one.
	Local func(n *Node, own http.Handler) http.Handler
	// Ready returns the handler of the ready address, if there is one.
	Ready func(n *Node) http.Handler
}
