// Package deduplicator makes a request with an idempotency key run at most
// once, however often its caller sends it.
//
// Every key of a service has a home: the first of the service's nodes in an
// order that depends on the key (rendezvous hashing, Thaler and Ravishankar,
// 1998). The home remembers what became of the key. A home that may have
// followed another one since the key was first used can not know, and says so.
package deduplicator

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

const (
	// maxKeys bounds the keys that a home remembers.
	maxKeys = 200_000
	// answerTTL is how long a whole answer is kept; after that only the fact
	// that the request ran is known.
	answerTTL   = time.Minute
	sweepPeriod = 10 * time.Second
	// clockSkew bounds the difference between the clocks of callers and nodes,
	// and spreadBound the time until all nodes agree on a home.
	clockSkew   = 2 * time.Second
	spreadBound = 2 * time.Second
)

// Standing is what a home knows of a key.
type Standing uint8

// The standings.
const (
	// First means that the key is new and the request is to be run.
	First Standing = iota + 1
	// Running means that the request runs already; its end can be waited for.
	Running
	// Done means that the request has ended.
	Done
	// Mismatch means that the key was used with another request.
	Mismatch
	// Uncertain means that an earlier home may have run the request.
	Uncertain
	// Full means that no more keys can be remembered.
	Full
)

// Use is one use of a key.
type Use struct {
	// Key identifies the caller's key within its service.
	Key string
	// Caller is the key as the caller made it; it may carry a time.
	Caller string
	// Request identifies the request, so that a key is not used for another.
	Request uint64
	// Since is when this node became the key's home.
	Since time.Time
	// Window is how long callers may send a request again.
	Window time.Duration
}

// Claim is a key that is being run, or was. A is the type of answers.
type Claim[A any] struct {
	request uint64
	begun   time.Time
	ended   time.Time
	window  time.Duration
	done    chan struct{}
	answer  A
	err     error
}

// Wait returns a channel that is closed once the request has ended.
func (c *Claim[A]) Wait() <-chan struct{} {
	return c.done
}

// Outcome returns how the request ended. It is valid once Wait is closed.
func (c *Claim[A]) Outcome() (A, error) {
	return c.answer, c.err
}

// Table is a home's memory. Its zero value is empty and ready.
type Table[A any] struct {
	mu     sync.Mutex
	claims map[string]*Claim[A]
	swept  time.Time
}

// Begin looks up a key. With First the caller must run the request and End it.
func (t *Table[A]) Begin(u Use, now time.Time) (*Claim[A], Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if c, ok := t.claims[u.Key]; ok {
		return c, c.standing(u)
	}
	if !certain(u, now) {
		return nil, Uncertain
	}
	if len(t.claims) >= maxKeys {
		return nil, Full
	}
	if t.claims == nil {
		t.claims = make(map[string]*Claim[A])
	}
	c := &Claim[A]{request: u.Request, begun: now, window: u.Window, done: make(chan struct{})}
	t.claims[u.Key] = c
	return c, First
}

func (c *Claim[A]) standing(u Use) Standing {
	switch {
	case c.request != u.Request:
		return Mismatch
	case c.ended.IsZero():
		return Running
	}
	return Done
}

// certain reports whether a key that is not remembered was never used before.
// A key that carries its time (UUID version 7) was not if it is younger than
// this home; for others the callers' window must have passed.
func certain(u Use, now time.Time) bool {
	if m, ok := madeAt(u.Caller, now); ok {
		return m.After(u.Since.Add(clockSkew+spreadBound)) && m.After(now.Add(-u.Window))
	}
	return now.Sub(u.Since) > u.Window
}

// End notes how the request of a claim ended. A request that has not run frees
// its key.
func (t *Table[A]) End(u Use, c *Claim[A], answer A, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.answer = answer
	c.err = err
	c.ended = now
	if err != nil && judge.Of(err) == judge.NotRun {
		delete(t.claims, u.Key)
	}
	close(c.done)
}

// Len returns the number of keys remembered.
func (t *Table[A]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// sweep forgets answers and keys that are older than they need to be.
func (t *Table[A]) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepPeriod {
		return
	}
	t.swept = now
	for k, c := range t.claims {
		if c.ended.IsZero() {
			continue
		}
		a := now.Sub(c.ended)
		if a > c.window {
			delete(t.claims, k)
		} else if a > answerTTL && c.err == nil {
			c.forget()
		}
	}
}

// errForgotten says that a request ran, but its answer is no longer kept.
var errForgotten = judge.Interrupted.NewSubtype("forgotten")

func (c *Claim[A]) forget() {
	var zero A
	c.answer = zero
	c.err = judge.Error(errForgotten, judge.MayHaveRun, "the request has run; its answer is no longer kept")
}
