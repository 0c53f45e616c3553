package runner

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// warden shares strikes with the whole mesh through the membership protocol.
type warden struct {
	gossiper *gossiper.Gossiper
}

// Blocked implements forwarder.Warden.
func (w warden) Blocked(f quarantiner.Fingerprint) bool {
	return w.gossiper.Quarantine().Blocked(f, time.Now())
}

// Suspected implements forwarder.Warden.
func (w warden) Suspected(f quarantiner.Fingerprint) bool {
	return w.gossiper.Quarantine().Suspected(f)
}

// Strike implements forwarder.Warden.
func (w warden) Strike(service string, s quarantiner.Strike) {
	w.gossiper.AddStrike(service, s)
}
