package cli

import (
	"net/http"

	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/relayer"
	"github.com/dragonflydoor/dragonflydoor/internal/runner"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
	"github.com/dragonflydoor/dragonflydoor/platform"
)

func newStore(address string, t *meter.Traffic) storer.Store {
	return platform.NewStore(address, t)
}

// rolloutFormat is the platform's: it is also the one of the product's own interface.
var rolloutFormat = runner.RolloutFormat{
	OrderPrefix:  platform.OrderPrefix,
	StatusPrefix: platform.StatusPrefix,
	DecodeOrder:  platform.DecodeOrder,
	DecodeStatus: platform.DecodeStatus,
	EncodeStatus: platform.EncodeStatus,
}

// ownSurroundings are those of a node with the product's own interface.
func ownSurroundings() runner.Surroundings {
	return runner.Surroundings{
		Store:    newStore,
		Dialect:  forwarder.DefaultDialect,
		Rollouts: rolloutFormat,
		Local:    func(_ *runner.Node, own http.Handler) http.Handler { return own },
	}
}

// platformSurroundings are those of a node on the users' platform.
func platformSurroundings() runner.Surroundings {
	return runner.Surroundings{
		Store:    newStore,
		Document: &relayer.Document{Key: platform.DocumentKey, Decode: platform.DecodeDocument},
		Dialect:  platform.Dialect,
		Rollouts: rolloutFormat,
		Local:    func(n *runner.Node, own http.Handler) http.Handler { return platform.ControlHandler(n, own) },
		Ready:    func(n *runner.Node) http.Handler { return platform.ReadyHandler(n) },
	}
}
