package forwarder

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// offers chooses the gates that a request is offered to, one after the other: first those
// that seem to have a free slot, without queueing, then those with a place in a queue.
type offers struct {
	entry *Entry
	job   *job
	// sharing means that the balancer knows the loads that gates share.
	sharing bool
	limit   int
	eager   int
	queued  int
}

func (e *Entry) newOffers(j *job) *offers {
	n, sharing := e.balancer.Questions(time.Now())
	if !sharing {
		n = maxImmediateOffers
	}
	o := &offers{entry: e, job: j, limit: n, sharing: sharing}
	j.queueing = false
	return o
}

// next returns the next gate to ask, or false if there is none. Immediate means that it
// is asked for a free slot only.
func (o *offers) next() (p gossiper.Endpoint, immediate, ok bool) {
	if o.queued >= maxQueuedOffers {
		return gossiper.Endpoint{}, false, false
	}
	if o.sharing && o.eager >= o.limit && o.queued == 0 {
		o.startQueueing()
	}
	p, more := o.entry.pick(o.job)
	if p.Address == "" {
		return p, false, false
	}
	immediate = o.eager < o.limit && o.queued == 0 && more && !o.entry.balancer.Busy(p.Address, time.Now())
	if !immediate && o.queued == 0 && !o.job.queueing {
		o.startQueueing()
		if o.sharing {
			// The shortest queue may be that of a gate which had no free slot.
			p, _ = o.entry.pick(o.job)
		}
	}
	if immediate {
		o.eager++
	} else {
		o.queued++
	}
	return p, immediate, p.Address != ""
}

// withdraw takes back the choice of a gate that was not asked.
func (o *offers) withdraw(immediate bool) {
	if immediate {
		o.eager--
	} else {
		o.queued--
	}
}

// startQueueing allows gates that had no free slot to be asked again: they may have room
// in their queue.
func (o *offers) startQueueing() {
	clear(o.job.refused)
	o.job.queueing = o.sharing
}
