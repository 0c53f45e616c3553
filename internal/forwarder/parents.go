package forwarder

import (
	"strings"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/authenticator"
)

const (
	// parentRetention is how long a target may still make calls on behalf of a request
	// after its gate has given the request up.
	parentRetention = time.Minute
	// maxEndedParents limits the memory for them to about 2 MB.
	maxEndedParents = 1 << 14
)

// endedParents remembers which requests targets have run. Its zero value is empty.
type endedParents struct {
	// since is the time from which on no request that has ended was forgotten early.
	since time.Time
	ended map[string]time.Time
	// order lists the requests in the order in which they ended; a request that has ended
	// twice is listed twice.
	order []endedParent
}

type endedParent struct {
	request string
	at      time.Time
}

// start begins to remember requests. Before, nothing is known about them.
func (p *endedParents) start(now time.Time) {
	if p.since.IsZero() {
		p.since = now
		p.ended = make(map[string]time.Time)
	}
}

func (p *endedParents) add(request string, now time.Time) {
	if p.since.IsZero() {
		return
	}
	p.ended[request] = now
	p.order = append(p.order, endedParent{request: request, at: now})
	for len(p.order) > 0 {
		o := p.order[0]
		old := now.Sub(o.at) > parentRetention
		if !old && len(p.order) <= maxEndedParents {
			return
		}
		if !old {
			p.since = now
		}
		p.order = p.order[1:]
		if p.ended[o.request].Equal(o.at) {
			delete(p.ended, o.request)
		}
	}
}

// parentOf tells what is known about the parent of a request, by the form of its
// identifier. Once all requests that have ended within parentRetention are remembered,
// an identifier whose parent is not among them belongs to no nested request.
//
// A parent that has ended admits no request: callers choose identifiers, and one whose key
// was removed could go on for ever with names derived from its earlier requests.
func (w *workload) parentOf(request string, now time.Time) authenticator.Parent {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parents.start(now)
	i := strings.LastIndexByte(request, parentSeparator)
	if i <= 0 {
		return authenticator.NoParent
	}
	if w.running[request[:i]] != nil {
		return authenticator.KnownParent
	}
	if t, ok := w.parents.ended[request[:i]]; ok && now.Sub(t) <= parentRetention {
		return authenticator.UnknownParent
	}
	if now.Sub(w.parents.since) > parentRetention {
		return authenticator.NoParent
	}
	return authenticator.UnknownParent
}
