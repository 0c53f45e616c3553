package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/aggregator"
)

const (
	// maxRounds is the number of reports whose answers are awaited.
	maxRounds = 8
	// senderRetention is how long a receiver keeps the counters of a silent sender. A
	// sender that returns later begins a session.
	senderRetention = 10 * time.Second
	maxKept         = 4096
)

// round is one report: when it was sent, and what it told.
type round struct {
	at   time.Time
	told map[id]usage
}

// session is the exchange of a teller with one epoch of the next tier.
type session struct {
	id uint32
	// offset holds the counters at the begin of the session, and acked those that the
	// epoch is known to have.
	offset, acked map[id]usage
	// left is when another epoch was reported to.
	left time.Time
}

// teller reports counters to the next tier: cumulative values since a session began, and
// only those that have changed since the last answer. A lost report is thus made up for
// by the next one. Each tier that takes reports has an epoch; a session is with one of
// them, so that none takes counts for new that another one has seen.
type teller struct {
	// returns is set if an epoch that is reported to again has to be told what others
	// were told meanwhile: roots do not tell each other, hubs tell the same root.
	returns bool

	peer uint32
	// last is the number of the last session.
	last    uint32
	session session
	total   map[id]usage
	rounds  []round
	// next is where the next report begins if not all fit into one.
	next id
	// earlier holds the sessions with other epochs.
	earlier map[uint32]session
}

func newTeller(first uint32, returns bool) teller {
	return teller{
		returns: returns,
		last:    first,
		session: session{id: first, offset: make(map[id]usage), acked: make(map[id]usage)},
		total:   make(map[id]usage),
		earlier: make(map[uint32]session),
	}
}

func (t *teller) add(k id, u usage) {
	if _, ok := t.total[k]; !ok && len(t.total) >= maxKept {
		return
	}
	t.total[k] = t.total[k].plus(u)
}

// report returns the body of the next report.
func (t *teller) report(now time.Time) []byte {
	b := header{session: t.session.id, peer: t.peer}.encode()
	r := round{at: now, told: make(map[id]usage)}
	l := slices.Sorted(maps.Keys(t.total))
	i, _ := slices.BinarySearch(l, t.next)
	t.next = 0
	for n := range l {
		k := l[(i+n)%len(l)]
		if t.total[k] == t.session.acked[k] {
			continue
		}
		if len(b)+maxUsage > aggregator.MaxSection {
			t.next = k
			break
		}
		b = appendUsage(b, k, t.total[k].minus(t.session.offset[k]))
		r.told[k] = t.total[k]
	}
	if len(t.rounds) == maxRounds {
		t.rounds = slices.Delete(t.rounds, 0, 1)
	}
	t.rounds = append(t.rounds, r)
	return b
}

// acknowledge takes the answer of the tier with the given epoch to the report sent at sent.
// It reports whether that tier has counted the report.
func (t *teller) acknowledge(epoch uint32, sent time.Time) bool {
	if epoch != t.peer {
		t.begin(epoch, sent)
		return false
	}
	for i, r := range t.rounds {
		if r.at.Equal(sent) {
			maps.Copy(t.session.acked, r.told)
			t.rounds = slices.Delete(t.rounds, 0, i+1)
			return true
		}
	}
	return false
}

// begin begins or takes up the session with an epoch.
func (t *teller) begin(epoch uint32, now time.Time) {
	maps.DeleteFunc(t.earlier, func(_ uint32, s session) bool { return now.Sub(s.left) > senderRetention/2 })
	s, ok := t.earlier[epoch]
	if !ok {
		// What no epoch has been told goes to this one.
		t.last++
		s = session{id: t.last, offset: maps.Clone(t.session.acked), acked: maps.Clone(t.session.acked)}
	}
	if t.returns {
		t.session.left = now
		t.earlier[t.peer] = t.session
	}
	t.peer, t.session, t.rounds = epoch, s, nil
}

// account is what a receiver knows of a sender.
type account struct {
	session uint32
	seen    map[id]usage
	at      time.Time
	// rates are the admissions a second between the last two reports.
	rates map[id]float64
}

// receiver turns the reports of senders into increments.
type receiver struct {
	epoch    uint32
	accounts map[string]*account
}

func (r *receiver) reset(epoch uint32) {
	r.epoch = epoch
	r.accounts = make(map[string]*account)
}

// merge calls add with what a sender has counted since its last report, and with the time
// of that.
func (r *receiver) merge(sender string, body []byte, now time.Time, add func(k id, u usage, since time.Time)) {
	h, rest, ok := readHeader(body)
	if !ok || h.peer != r.epoch {
		return
	}
	a := r.accounts[sender]
	if a == nil || a.session != h.session {
		if a == nil && len(r.accounts) >= maxKept {
			return
		}
		a = &account{session: h.session, seen: make(map[id]usage), at: now}
		r.accounts[sender] = a
	}
	since := a.at
	a.at = now
	a.rates = make(map[id]float64)
	for d := (reader{body: rest}); d.more(); {
		k, u := d.usage()
		if d.failed {
			return
		}
		n := u.minus(a.seen[k])
		a.seen[k] = u
		if n == (usage{}) {
			continue
		}
		add(k, n, since)
		if t := now.Sub(since).Seconds(); t > 0 {
			a.rates[k] = float64(n.admitted) / t
		}
	}
}

// forget removes senders that have been silent for long.
func (r *receiver) forget(now time.Time) {
	maps.DeleteFunc(r.accounts, func(_ string, a *account) bool { return now.Sub(a.at) > senderRetention })
}
