// Package deduplicator ensures that a request with an idempotency key runs at most
// once, however often the caller sends it.
//
// Every key of a service has a home: the node of the service with the highest rank
// for the key (rendezvous hashing, Thaler and Ravishankar, 1998). The home stores
// the state of the key. A node that may have become the home only after the key was
// first used cannot know whether the request ran, and reports it as uncertain.
package deduplicator

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

const (
	// maxKeys limits the number of keys that a home stores.
	maxKeys = 200_000
	// answerTTL is how long an answer is stored; after that only the fact that the
	// request has run is kept.
	answerTTL   = time.Minute
	sweepPeriod = 10 * time.Second
	// clockSkew is the largest difference expected between the clocks of callers
	// and nodes, and maxSpreadTime the longest time until all nodes agree on a home.
	clockSkew     = 2 * time.Second
	maxSpreadTime = 2 * time.Second
)

// KeyState is the state of a key at its home.
type KeyState uint8

// The states of a key.
const (
	// First means that the key is new and the request must be run.
	First KeyState = iota + 1
	// Running means that the request is already running; callers can wait for it.
	Running
	// Done means that the request has ended.
	Done
	// Mismatch means that the key was used with a different request.
	Mismatch
	// Uncertain means that an earlier home may have run the request.
	Uncertain
	// Full means that no more keys can be stored.
	Full
)

// Use is one use of a key.
type Use struct {
	// Key is the caller's key qualified by its service.
	Key string
	// CallerKey is the key as sent by the caller; it may contain a timestamp.
	CallerKey string
	// RequestHash is a hash of the request, which detects reuse of the key for a
	// different one.
	RequestHash uint64
	// HomeSince is when this node became the key's home.
	HomeSince time.Time
	// Window is how long callers may resend a request.
	Window time.Duration
}

// Claim is a key whose request is running or has ended. A is the type of answers.
type Claim[A any] struct {
	request uint64
	started time.Time
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

// Outcome returns the result of the request. It is valid once the channel returned
// by Wait is closed.
func (c *Claim[A]) Outcome() (A, error) {
	return c.answer, c.err
}

// Table stores the keys of one home. The zero value is ready to use.
type Table[A any] struct {
	mu     sync.Mutex
	claims map[string]*Claim[A]
	swept  time.Time
}

// Begin looks up a key and claims it if it is new. If it returns First, the caller
// must run the request and then call End.
func (t *Table[A]) Begin(u Use, now time.Time) (*Claim[A], KeyState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if c, ok := t.claims[u.Key]; ok {
		return c, c.standing(u)
	}
	if !isNew(u, now) {
		return nil, Uncertain
	}
	if len(t.claims) >= maxKeys {
		return nil, Full
	}
	if t.claims == nil {
		t.claims = make(map[string]*Claim[A])
	}
	c := &Claim[A]{request: u.RequestHash, started: now, window: u.Window, done: make(chan struct{})}
	t.claims[u.Key] = c
	return c, First
}

func (c *Claim[A]) standing(u Use) KeyState {
	switch {
	case c.request != u.RequestHash:
		return Mismatch
	case c.ended.IsZero():
		return Running
	}
	return Done
}

// isNew reports whether a key that is not stored cannot have been used before.
// This holds for a key with a timestamp (UUID version 7) if it was created within
// the window, and after this node became the home by more than clockSkew and
// maxSpreadTime. For other keys this node must have been the home for longer than
// the window.
func isNew(u Use, now time.Time) bool {
	if m, ok := timestamp(u.CallerKey, now); ok {
		return m.After(u.HomeSince.Add(clockSkew+maxSpreadTime)) && m.After(now.Add(-u.Window))
	}
	return now.Sub(u.HomeSince) > u.Window
}

// End stores the result of the request of a claim. If the request has not run, the
// key is deleted and can be claimed again.
func (t *Table[A]) End(u Use, c *Claim[A], answer A, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.answer = answer
	c.err = err
	c.ended = now
	if err != nil && classifier.VerdictOf(err) == classifier.NotRun {
		delete(t.claims, u.Key)
	}
	close(c.done)
}

// Len returns the number of stored keys.
func (t *Table[A]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// sweep deletes keys after their window, and answers after answerTTL.
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
			c.dropAnswer()
		}
	}
}

// errAnswerDropped reports that a request has run but its answer is no longer stored.
var errAnswerDropped = classifier.Interrupted.NewSubtype("forgotten")

func (c *Claim[A]) dropAnswer() {
	var zero A
	c.answer = zero
	c.err = classifier.Error(errAnswerDropped, classifier.MayHaveRun, "the request has run; its answer is no longer kept")
}
