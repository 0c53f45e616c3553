package forwarder

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

const (
	// ledgerRetention is longer than a call can last after its sender has lost the
	// connection to the gate.
	ledgerRetention     = 15 * time.Second
	ledgerSweepInterval = 5 * time.Second
)

// ledger records the attempts that were sent to targets, so that a node which has lost its
// connection to the gate can ask whether an attempt may have run. Its zero value is
// empty.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
	swept   time.Time
	// since is when the ledger began: earlier attempts may have run unrecorded, before a
	// restart of the process.
	since time.Time
}

type ledgerEntry struct {
	at        time.Time
	sent      bool
	forbidden bool
}

// send records that an attempt is about to be sent to its target. It returns false if
// the attempt was settled as not run and must not be sent.
func (l *ledger) send(attempt string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(attempt, now)
	if e.forbidden {
		return false
	}
	e.sent = true
	return true
}

// settle returns the verdict of an attempt. If the attempt was not sent to its target
// yet, settle prevents that it is sent later. age is the time since the attempt began.
func (l *ledger) settle(attempt string, now time.Time, age time.Duration) classifier.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(attempt, now)
	if e.sent || now.Add(-age).Before(l.since) {
		return classifier.MayHaveRun
	}
	e.forbidden = true
	return classifier.NotRun
}

func (l *ledger) entry(attempt string, now time.Time) *ledgerEntry {
	if l.entries == nil {
		l.entries = make(map[string]*ledgerEntry)
	}
	if now.Sub(l.swept) > ledgerSweepInterval {
		l.swept = now
		for k, e := range l.entries {
			if now.Sub(e.at) > ledgerRetention {
				delete(l.entries, k)
			}
		}
	}
	e, ok := l.entries[attempt]
	if !ok {
		e = &ledgerEntry{at: now}
		l.entries[attempt] = e
	}
	return e
}
