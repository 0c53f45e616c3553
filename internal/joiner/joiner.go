// Package joiner brings a starting node into the mesh: it takes the membership
// of a peer named in the settings, or of a relay listed in the store.
package joiner

import (
	"context"
	"math"
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
	// firstSpread is the time in which the nodes of a mesh that starts for the
	// first time look for each other, and firstDoublings how often their number
	// doubles in it: 1,024 nodes, and a few at once in a mesh of the aimed size.
	firstSpread    = 4 * time.Second
	firstDoublings = 10
)

// Exchanger merges tables with the node at an address and reports whether it
// had the time.
type Exchanger interface {
	Exchange(ctx context.Context, address string, joining bool) (bool, error)
}

// Joiner joins one node to the mesh.
type Joiner struct {
	// FirstStart says that the whole mesh starts for the first time, so that nobody
	// is to be found at once.
	FirstStart bool

	exchanger Exchanger
	store     storer.Store
	self      string
	peers     []string
	// listed are the relays that the store told of, as long as one of them
	// answers that it is busy.
	listed []string
	// recent says that the next listing may be some seconds old.
	recent bool
}

// New returns a joiner for the node at peer address self.
func New(e Exchanger, s storer.Store, self string, peers []string) *Joiner {
	return &Joiner{exchanger: e, store: s, self: self, peers: peers, recent: true}
}

// Join returns the address of the peer that has shared its membership, or none
// once it looks as if there were no other node; Retry goes on then.
func (j *Joiner) Join(ctx context.Context) string {
	if j.FirstStart && !sleeper.Sleep(ctx, firstDelay(rand.Float64())) {
		return ""
	}
	b := sleeper.Backoff{First: minBackoff, Max: maxBackoff}
	for n := 0; n < aloneAfter; {
		if a := j.round(ctx); a != "" {
			return a
		}
		if len(j.listed) == 0 {
			n++
		}
		if !b.Sleep(ctx) {
			return ""
		}
	}
	klog.Info(logPrefix + "No other node answers yet.")
	return ""
}

// firstDelay is when a node that drew u, from 0 to 1, looks for others when all
// start for the first time. The number of nodes that have looked doubles ten times
// until firstSpread, whatever the size of the mesh: a few find nobody and become
// relays, and the others find these in answers that cost the store little.
func firstDelay(u float64) time.Duration {
	return time.Duration(max(0, 1+math.Log2(u)/firstDoublings) * float64(firstSpread))
}

// Retry goes on joining until a peer has answered.
func (j *Joiner) Retry(ctx context.Context) {
	b := sleeper.Backoff{First: retryBackoff, Max: maxBackoff}
	for b.Sleep(ctx) && j.round(ctx) == "" {
	}
}

func (j *Joiner) round(ctx context.Context) string {
	if a, _ := j.try(ctx, j.peers); a != "" {
		return a
	}
	if len(j.listed) == 0 {
		j.listed = j.relays(ctx)
	}
	a, busy := j.try(ctx, j.listed)
	if !busy {
		j.listed = nil
	}
	return a
}

// try asks the nodes at addresses in random order, and returns the one that shared
// its membership, or whether one was busy.
func (j *Joiner) try(ctx context.Context, addresses []string) (address string, busy bool) {
	for _, i := range rand.Perm(len(addresses)) {
		a := addresses[i]
		if a == j.self {
			continue
		}
		ok, err := j.exchanger.Exchange(ctx, a, true)
		if ok {
			klog.Infof(logPrefix+"Joined through %s.", a)
			return a, false
		}
		busy = busy || err == nil
		klog.V(1).Infof(logPrefix+"Peer %s did not help: %v", a, err)
	}
	return "", busy
}

// relays lists the relays in the store. The first answer may be old: relays that
// have gone since do not answer, and then a current one is asked for.
func (j *Joiner) relays(ctx context.Context) []string {
	f := storer.Current
	if j.recent {
		f = storer.Recent
	}
	j.recent = !j.recent
	l, err := j.store.List(storer.WithPurpose(ctx, storer.ForJoining), storer.RelayPrefix, f)
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
