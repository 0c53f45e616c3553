package runner

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/authenticator"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

// sourcePeriod is how long a node without a parent asks the same member for
// confirmations.
const sourcePeriod = time.Second

// proveConfirmations makes the node count only proved confirmations if keys have to be
// revoked in time.
func (n *Node) proveConfirmations() {
	if !n.settings.StrictRevocation {
		return
	}
	w := min(n.relayer.ConfirmWithin, time.Duration(revocationShare*float64(n.settings.RevocationBound)))
	n.relayer.ConfirmWithin = w
	n.relayer.Prove = true
	n.gossiper.ProveConfirmations(time.Duration(passShare*float64(w)), time.Duration(confirmShare*float64(w)))
}

func (n *Node) revocation() authenticator.Revocation {
	return authenticator.Revocation{
		Strict:       n.settings.StrictRevocation,
		Bound:        n.settings.RevocationBound,
		WaitAtDenial: n.relayer.ConfirmWithin,
	}
}

// confirmationSource returns the address of the node to ask for confirmations: the parent,
// or a member in turn if there is no parent and the configuration is not confirmed. A relay
// that has lost the store uses the paths of others in this way.
func (n *Node) confirmationSource() string {
	if a := n.puller.ParentAddress(); a != "" {
		return a
	}
	now := sleeper.Now()
	if now.Sub(n.gossiper.ConfirmedAt()) < n.relayer.ConfirmWithin {
		return ""
	}
	self := n.settings.Node
	var relays, others []string
	for _, m := range n.gossiper.View().Members {
		switch {
		case m.Node == self || !m.Usable():
		case m.Relay:
			relays = append(relays, m.PeerAddress)
		default:
			others = append(others, m.PeerAddress)
		}
	}
	return pickInTurn(append(relays, others...), now)
}

// pickInTurn returns the entry of list whose turn it is.
func pickInTurn(list []string, now time.Time) string {
	if len(list) == 0 {
		return ""
	}
	return list[int(now.UnixNano()/int64(sourcePeriod))%len(list)]
}

// confirmationAge returns the time in milliseconds since the last confirmation, or -1 if
// there was none.
func (n *Node) confirmationAge() int64 {
	at := n.gossiper.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return sleeper.Now().Sub(at).Milliseconds()
}
