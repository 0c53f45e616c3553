package relayer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// emptyStore is a store without a configuration. It counts reads.
type emptyStore struct {
	storer.Store

	reads atomic.Int32
}

func (s *emptyStore) Get(context.Context, string) (storer.Value, error) {
	s.reads.Add(1)
	return storer.Value{}, classifier.Error(classifier.NotFound, classifier.NotRun, "no such key")
}

// TestBootstrapLimitsStoreReads starts a node 12 s before the operator writes the
// first configuration. It guards against nodes that keep reading the store
// although a relay will deliver the configuration.
func TestBootstrapLimitsStoreReads(t *testing.T) {
	const wait = 12 * time.Second
	tests := []struct {
		name               string
		relay, alive       bool
		minReads, maxReads int32
	}{
		{"a relay is known", true, true, 2, int32(wait/watchWait) + 2},
		{"the relay is dead", true, false, 6, 20},
		{"no relay is known", false, true, 6, 20},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var m meter.Traffic
				g := gossiper.New(gossiper.Member{Node: "n1", PeerAddress: "127.0.0.1:1"}, nil, &m)
				o := &messenger.Member{Node: "n2", PeerAddress: "127.0.0.2:1", Incarnation: 1, Relay: c.relay}
				if !c.alive {
					o.Condition = uint32(gossiper.Dead)
				}
				gossiper.NewReconciler(g, nil).Serve(&messenger.ExchangeRequest{Node: "n2", Members: []*messenger.Member{o}})
				var h holder.Holder
				s := &emptyStore{}
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				defer cancel()
				New(s, &h, g, 1, nil).Bootstrap(ctx)
				if n := s.reads.Load(); n < c.minReads || n > c.maxReads {
					t.Errorf("the store was read %d times in %s, expected %d to %d", n, wait, c.minReads, c.maxReads)
				}
			})
		})
	}
}

// TestSlotsWithoutAddressAreFree guards against records of another writer that keep the
// slots of relays: such a slot is free, and is replaced at its revision.
func TestSlotsWithoutAddressAreFree(t *testing.T) {
	self := gossiper.Member{Node: "n1", PeerAddress: "127.0.0.1:1", DataCenter: "z"}
	item := func(key, data string, revision uint64) storer.Item {
		return storer.Item{Key: storer.RelayPrefix + key, Value: storer.Value{Data: []byte(data), Revision: revision}}
	}
	tests := []struct {
		name     string
		taken    []storer.Item
		key      string
		revision uint64
	}{
		{"no record", nil, "z/0", 0},
		{"one relay", []storer.Item{item("z/0", "127.0.0.2:1", 3)}, "z/1", 0},
		{"bytes that are no address", []storer.Item{item("z/0", "\xff\xfe", 3), item("z/1", "127.0.0.2:1", 4)}, "z/0", 3},
		{"an empty record", []storer.Item{item("z/0", "127.0.0.2:1", 3), item("z/1", "", 4)}, "z/1", 4},
		{"a name", []storer.Item{item("z/0", "nowhere.example:80", 3), item("z/1", "127.0.0.2:1", 4)}, "z/0", 3},
		{"own record", []storer.Item{item("z/0", "\xff", 3), item("z/1", "127.0.0.1:1", 4)}, "z/1", 4},
		{"all taken", []storer.Item{item("z/0", "127.0.0.2:1", 3), item("z/1", "127.0.0.3:1", 4)}, "", 0},
	}
	for _, c := range tests {
		r := &Relayer{slots: 2}
		k, n, ok := r.freeSlot(self, c.taken)
		if c.key != "" {
			c.key = storer.RelayPrefix + c.key
		}
		if k != c.key || n != c.revision || ok != (c.key != "") {
			t.Errorf("%s: got %q at revision %d, %v", c.name, k, n, ok)
		}
	}
}
