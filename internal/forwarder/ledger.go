package forwarder

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

const (
	// ledgerRetention is longer than any call may last after its sender has
	// lost the connection to the gate.
	ledgerRetention = 15 * time.Second
	ledgerSweep     = 5 * time.Second
)

// ledger remembers the attempts that must not run twice, so that a node which
// lost its connection to the gate can learn what became of one. Its zero value
// is empty.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*ledgerEntry
	swept   time.Time
}

type ledgerEntry struct {
	at        time.Time
	sent      bool
	forbidden bool
}

// send notes that an attempt is about to be handed to its target, and reports
// whether it may be.
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

// settle returns what became of an attempt. One that has not been handed to
// its target never will be.
func (l *ledger) settle(attempt string, now time.Time) judge.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(attempt, now)
	if e.sent {
		return judge.MayHaveRun
	}
	e.forbidden = true
	return judge.NotRun
}

func (l *ledger) entry(attempt string, now time.Time) *ledgerEntry {
	if l.entries == nil {
		l.entries = make(map[string]*ledgerEntry)
	}
	if now.Sub(l.swept) > ledgerSweep {
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
