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

// ownSurroundings are those of a node with the product's own interface.
func ownSurroundings() runner.Surroundings {
	return runner.Surroundings{
		Store:   newStore,
		Dialect: forwarder.DefaultDialect,
		Local:   func(_ *runner.Node, own http.Handler) http.Handler { return own },
	}
}

// platformSurroundings are those of a node on the users' platform.
func platformSurroundings() runner.Surroundings {
	return runner.Surroundings{
		Store:    newStore,
		Document: &relayer.Document{Key: platform.DocumentKey, Decode: platform.DecodeDocument},
		Dialect:  platform.Dialect,
		Local:    func(n *runner.Node, own http.Handler) http.Handler { return platform.ControlHandler(n, own) },
		Ready:    func(n *runner.Node) http.Handler { return platform.ReadyHandler(n) },
	}
}
