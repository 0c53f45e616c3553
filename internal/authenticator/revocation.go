package authenticator

import (
	"crypto/sha256"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	// denialRetention is how long it is remembered since when a credential is denied. It
	// is short because a key may be added after a caller has tried it in vain.
	denialRetention = 5 * time.Second
	// maxDenials limits the memory for them.
	maxDenials = 4096
)

// Revocation says how current a configuration has to be.
type Revocation struct {
	// Strict makes Bound apply: no request runs that has arrived later than Bound after
	// the configuration was last known to be the newest one.
	Strict bool
	Bound  time.Duration
	// WaitAtDenial is how long a denial may wait for a confirmation. A denial is final
	// for a caller, and its key may have been added just now.
	WaitAtDenial time.Duration
}

// Admits reports whether a request with a key may run that has arrived at the given time,
// if the configuration which holds its key was last confirmed at confirmed.
func (r Revocation) Admits(arrived, confirmed time.Time) bool {
	return !r.Strict || (!confirmed.IsZero() && arrived.Sub(confirmed) <= r.Bound)
}

// Wait returns how long the denial of a request may wait for a confirmation, if the
// configuration was last confirmed at confirmed and the request has left until its
// deadline. Without a path to the store, waiting is in vain.
func (r Revocation) Wait(arrived, confirmed time.Time, left time.Duration) time.Duration {
	if confirmed.IsZero() || arrived.Sub(confirmed) > 2*r.WaitAtDenial {
		return 0
	}
	return min(r.WaitAtDenial, left/2)
}

// Denials remembers since when credentials are denied, so that the same one waits for a
// confirmation once. Its zero value is empty.
type Denials struct {
	mu    sync.Mutex
	since map[keyedDigest]time.Time
}

// Since returns the time from which on the credential of a request for route was seen and
// denied, which is now if it was not seen within denialRetention.
func (d *Denials) Since(authorization []string, route string, now time.Time) time.Time {
	k := newKeyedDigest(credentialDigest(authorization, route))
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.since[k]; ok && now.Sub(t) <= denialRetention {
		return t
	}
	if len(d.since) >= maxDenials {
		d.expire(now)
	}
	if d.since == nil {
		d.since = make(map[keyedDigest]time.Time)
	}
	if len(d.since) < maxDenials {
		d.since[k] = now
	}
	return now
}

func (d *Denials) expire(now time.Time) {
	for k, t := range d.since {
		if now.Sub(t) > denialRetention {
			delete(d.since, k)
		}
	}
}

// credentialDigest identifies a credential, or the lack of one on a route.
func credentialDigest(authorization []string, route string) router.KeyDigest {
	if len(authorization) > 0 {
		route = ""
	}
	return sha256.Sum256([]byte(route + "\x00" + strings.Join(authorization, "\x00")))
}
