// Package joiner joins a starting node to the mesh. It fetches the membership from
// a peer named in the settings or from a relay listed in the store.
package joiner

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	logPrefix = "joiner: "

	minBackoff   = 100 * time.Millisecond
	retryBackoff = time.Second
	maxBackoff   = 5 * time.Second
	// silentPause is how long a node may take to answer before another one is asked as
	// well.
	silentPause = 100 * time.Millisecond
	// maxFailedRounds is the number of failed rounds after which a node assumes that it
	// is the first one.
	maxFailedRounds = 2
	// firstStartSpread is the period over which the nodes of a mesh that starts for the
	// first time make their first attempt to join. The number of nodes that have
	// made it doubles firstStartDoublings times in this period. A mesh of 1,024
	// nodes thus begins with one node, and one of the intended size with a few.
	firstStartSpread    = 4 * time.Second
	firstStartDoublings = 10
)

// Exchanger merges membership tables with the node at an address. It returns false
// without an error if that node is busy.
type Exchanger interface {
	Exchange(ctx context.Context, address string, joining bool) (bool, error)
}

// Joiner joins one node to the mesh.
type Joiner struct {
	// FirstStart reports whether the whole mesh starts for the first time, so that
	// no other node can be found initially.
	FirstStart bool

	exchanger Exchanger
	store     storer.Store
	self      string
	peers     []string
	// listedRelays are the relays last listed by the store. They are kept while one of
	// them responds that it is busy.
	listedRelays []string
	// group runs the exchanges, which end when one of them has succeeded.
	group grouper.Group
	// acceptStale reports whether the next listing may be a few seconds old.
	acceptStale bool
}

// New returns a joiner for the node with the peer address self.
func New(e Exchanger, s storer.Store, self string, peers []string) *Joiner {
	return &Joiner{exchanger: e, store: s, self: self, peers: peers, acceptStale: true}
}

// Join returns the address of the peer that has shared its membership, or an empty
// string if no other node seems to run. The caller then continues with Retry.
func (j *Joiner) Join(ctx context.Context) string {
	if j.FirstStart && !sleeper.Sleep(ctx, firstStartDelay(rand.Float64())) {
		return ""
	}
	b := sleeper.Backoff{First: minBackoff, Max: maxBackoff}
	for n := 0; n < maxFailedRounds; {
		if a := j.round(ctx); a != "" {
			return a
		}
		if len(j.listedRelays) == 0 {
			n++
		}
		if !b.Sleep(ctx) {
			return ""
		}
	}
	klog.Info(logPrefix + "No other node has responded yet.")
	return ""
}

// firstStartDelay returns the delay before the first join attempt of a node that drew
// the random number u, from 0 to 1, when the whole mesh starts for the first time.
// The number of nodes that have made their attempt doubles firstStartDoublings times
// within firstStartSpread, whatever the size of the mesh. A few nodes find no other and
// become relays; the rest find these in listings that cost the store little.
func firstStartDelay(u float64) time.Duration {
	return time.Duration(max(0, 1+math.Log2(u)/firstStartDoublings) * float64(firstStartSpread))
}

// Retry repeats join attempts until a peer has shared its membership.
func (j *Joiner) Retry(ctx context.Context) {
	b := sleeper.Backoff{First: retryBackoff, Max: maxBackoff}
	for b.Sleep(ctx) && j.round(ctx) == "" {
	}
}

func (j *Joiner) round(ctx context.Context) string {
	if a, _ := j.try(ctx, j.peers); a != "" {
		return a
	}
	if len(j.listedRelays) == 0 {
		j.listedRelays = j.relays(ctx)
	}
	a, busy := j.try(ctx, j.listedRelays)
	if !busy {
		j.listedRelays = nil
	}
	return a
}

// try asks the nodes at addresses in random order. It returns the address of the
// first that shared its membership, or whether any of them was busy. The next node is
// asked when one has failed, or has not answered for silentPause: connections to a VM
// that has no power hang, as when all VMs return from a power cut one after the other.
func (j *Joiner) try(ctx context.Context, addresses []string) (address string, busy bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(addresses))
	ended, asked := 0, 0
	joinedBy := func(r result) bool {
		ended++
		r.log()
		busy = busy || (!r.joined && r.err == nil)
		return r.joined
	}
	for _, i := range rand.Perm(len(addresses)) {
		a := addresses[i]
		if a == j.self {
			continue
		}
		asked++
		j.group.Go(func() {
			ok, err := j.exchanger.Exchange(ctx, a, true)
			results <- result{address: a, joined: ok, err: err}
		})
		if r, ok := receive(results, silentPause); ok && joinedBy(r) {
			return r.address, false
		}
	}
	for ended < asked {
		if r := <-results; joinedBy(r) {
			return r.address, false
		}
	}
	return "", busy
}

// result is the result of an exchange with a node.
type result struct {
	address string
	joined  bool
	err     error
}

func (r result) log() {
	if r.joined {
		klog.Infof(logPrefix+"Joined through %s.", r.address)
		return
	}
	klog.V(1).Infof(logPrefix+"Joining through %s failed: %v", r.address, r.err)
}

// receive returns the next result, or false if there is none within d.
func receive(results <-chan result, d time.Duration) (result, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r := <-results:
		return r, true
	case <-t.C:
		return result{}, false
	}
}

// relays lists the relays in the store. The first listing may be stale: if its
// relays have stopped and do not respond, the next call requests a current one.
func (j *Joiner) relays(ctx context.Context) []string {
	f := storer.Current
	if j.acceptStale {
		f = storer.Recent
	}
	j.acceptStale = !j.acceptStale
	l, err := j.store.List(storer.WithPurpose(ctx, storer.ForJoining), storer.RelayPrefix, f)
	if err != nil {
		klog.V(1).Infof(logPrefix+"Listing relays failed: %v", err)
		return nil
	}
	var r []string
	for _, i := range l {
		if a, ok := i.RelayAddress(); ok {
			r = append(r, a)
		}
	}
	return r
}
