package runner

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// crashTracker shares strikes with the whole mesh through the membership protocol.
type crashTracker struct {
	gossiper *gossiper.Gossiper
}

// Blocked implements forwarder.CrashTracker.
func (w crashTracker) Blocked(f quarantiner.Fingerprint) bool {
	return w.gossiper.Quarantine().Blocked(f, time.Now())
}

// Suspected implements forwarder.CrashTracker.
func (w crashTracker) Suspected(f quarantiner.Fingerprint) bool {
	return w.gossiper.Quarantine().Suspected(f)
}

// Strike implements forwarder.CrashTracker.
func (w crashTracker) Strike(service string, s quarantiner.Strike) {
	w.gossiper.AddStrike(service, s)
}
