package runner

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// Reload applies settings that were read again. What a running node cannot
// change, such as its addresses, is logged and waits for the next start.
func (n *Node) Reload(s configurer.Settings) {
	o := n.live.Swap(&s)
	changed := differing(*o, s)
	klog.InfoS("Settings read again", "node", n.settings.Node, "changed", changed, "waitingForRestart", differing(n.fixed(s), n.fixed(n.settings)))
	if o.StoreAddress != s.StoreAddress {
		n.store.use(n.storeCalls.Count(n.around.Store(s.StoreAddress, &n.control)))
	}
	n.entry.SetLocalService(s.Service)
}

// fixed returns the part of s that a running node cannot change.
func (n *Node) fixed(s configurer.Settings) configurer.Settings {
	s.StoreAddress = ""
	s.Service = ""
	s.TargetAddress = ""
	s.StopBound = 0
	s.Linger = 0
	return s
}

// differing returns the names of the fields in which a and b differ.
func differing(a, b configurer.Settings) []string {
	var l []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			l = append(l, x.Type().Field(i).Name)
		}
	}
	return l
}

// storeSwitch is a store that can be replaced by the one at another address.
type storeSwitch struct {
	current atomic.Pointer[storer.Store]
}

func newSwitch(s storer.Store) *storeSwitch {
	w := &storeSwitch{}
	w.use(s)
	return w
}

func (w *storeSwitch) use(s storer.Store) { w.current.Store(&s) }

func (w *storeSwitch) now() storer.Store { return *w.current.Load() }

// Get implements storer.Store.
func (w *storeSwitch) Get(ctx context.Context, key string) (storer.Value, error) {
	return w.now().Get(ctx, key)
}

// Put implements storer.Store.
func (w *storeSwitch) Put(ctx context.Context, key string, data []byte, revision uint64, lease storer.LeaseID) (uint64, error) {
	return w.now().Put(ctx, key, data, revision, lease)
}

// Delete implements storer.Store.
func (w *storeSwitch) Delete(ctx context.Context, key string, revision uint64) error {
	return w.now().Delete(ctx, key, revision)
}

// List implements storer.Store.
func (w *storeSwitch) List(ctx context.Context, prefix string, f storer.Freshness) ([]storer.Item, error) {
	return w.now().List(ctx, prefix, f)
}

// Watch implements storer.Store.
func (w *storeSwitch) Watch(ctx context.Context, key string, held storer.Value, wait time.Duration) (storer.Value, bool, error) {
	return w.now().Watch(ctx, key, held, wait)
}

// Grant implements storer.Store.
func (w *storeSwitch) Grant(ctx context.Context, ttl time.Duration) (storer.LeaseID, error) {
	return w.now().Grant(ctx, ttl)
}

// KeepAlive implements storer.Store.
func (w *storeSwitch) KeepAlive(ctx context.Context, lease storer.LeaseID) error {
	return w.now().KeepAlive(ctx, lease)
}

// Revoke implements storer.Store.
func (w *storeSwitch) Revoke(ctx context.Context, lease storer.LeaseID) error {
	return w.now().Revoke(ctx, lease)
}
