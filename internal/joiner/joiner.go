// Package joiner brings a starting node into the mesh: it takes the membership
// of a peer named in the settings, or of a relay listed in the store.
package joiner

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	logPrefix = "joiner: "

	minBackoff   = 100 * time.Millisecond
	retryBackoff = time.Second
	maxBackoff   = 5 * time.Second
	// aloneAfter is the number of fruitless rounds after which a node takes
	// itself for the first one.
	aloneAfter = 2
)

// Exchanger merges tables with the node at an address and reports whether it
// had the time.
type Exchanger interface {
	Exchange(ctx context.Context, address string, joining bool) (bool, error)
}

// Joiner joins one node to the mesh.
type Joiner struct {
	exchanger Exchanger
	store     storer.Store
	self      string
	peers     []string
}

// New returns a joiner for the node at peer address self.
func New(e Exchanger, s storer.Store, self string, peers []string) *Joiner {
	return &Joiner{exchanger: e, store: s, self: self, peers: peers}
}

// Join returns true once a peer has shared its membership, and false once it
// looks as if there were no other node; Retry goes on then.
func (j *Joiner) Join(ctx context.Context) bool {
	b := sleeper.Backoff{First: minBackoff, Max: maxBackoff}
	for range aloneAfter {
		if j.round(ctx) {
			return true
		}
		if !b.Sleep(ctx) {
			return false
		}
	}
	klog.Info(logPrefix + "No other node answers yet.")
	return false
}

// Retry goes on joining until a peer has answered.
func (j *Joiner) Retry(ctx context.Context) {
	b := sleeper.Backoff{First: retryBackoff, Max: maxBackoff}
	for b.Sleep(ctx) && !j.round(ctx) {
	}
}

func (j *Joiner) round(ctx context.Context) bool {
	return j.try(ctx, j.peers) || j.try(ctx, j.relays(ctx))
}

func (j *Joiner) try(ctx context.Context, addresses []string) bool {
	for _, i := range rand.Perm(len(addresses)) {
		a := addresses[i]
		if a == j.self {
			continue
		}
		ok, err := j.exchanger.Exchange(ctx, a, true)
		if ok {
			klog.Infof(logPrefix+"Joined through %s.", a)
			return true
		}
		klog.V(1).Infof(logPrefix+"Peer %s did not help: %v", a, err)
	}
	return false
}

func (j *Joiner) relays(ctx context.Context) []string {
	l, err := j.store.List(ctx, storer.RelayPrefix)
	if err != nil {
		klog.V(1).Infof(logPrefix+"Listing relays failed: %v", err)
		return nil
	}
	var r []string
	for _, i := range l {
		r = append(r, string(i.Value.Data))
	}
	return r
}
