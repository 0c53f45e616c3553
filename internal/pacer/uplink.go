// Package pacer shares the link of a VM between large answers and all else.
//
// It answers downloads over a slow link: when too many are sent at once all of
// them are late, and so are the small answers that wait behind them in the
// link's queue. So no more is promised than the link carries in time, and what
// was promised is sent one after the other, at the link's rate.
package pacer

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

const (
	// uplinkBound is how long the answers promised before a request without an
	// objective may keep the link of the VM busy: the time that routes usually
	// allow, less the work of the target.
	uplinkBound = 500 * time.Millisecond
	// lateUplinkBound is the same for a request that misses its objective anyway:
	// a fraction, so that timely ones find room.
	lateUplinkBound = 100 * time.Millisecond
	// timelyPart is the part of its objective within which a large answer must be
	// expected to be sent: a queue that is full up to the objective makes most
	// answers a little late, and a shorter one keeps the link as busy.
	timelyPart = 0.6
	// SmallAnswer is the size up to which answers are neither refused nor paced:
	// they hardly add to the queue on the link.
	SmallAnswer = 16 << 10
	// usablePart is the part of the link's rate that is used: headers of packets
	// and acknowledgements, which are not counted, take about 5% of it.
	usablePart = 0.9
	sizeWeight = 0.1
)

// Uplink is the link of a VM. Its zero value knows no bound.
type Uplink struct {
	// BytesPerSecond is the rate of the link; 0 is unbounded.
	BytesPerSecond float64
	// Traffic returns the bytes that the node has sent over the link, and may be
	// nil.
	Traffic func() uint64

	mu      sync.Mutex
	sizes   map[string]float64
	pending float64
	// free is when the link has sent what was handed to it, as of the last claim.
	free, claimed time.Time
	// counted is how much of the traffic free takes into account.
	counted uint64
}

// Reservation is an answer that was promised.
type Reservation struct {
	link  *Uplink
	class string
	bytes float64
}

// Reserve promises an answer of a class that must be sent within objective, if
// that is not zero, and takes the target work.
func (u *Uplink) Reserve(class string, objective, work time.Duration) (*Reservation, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.sizes[class]
	if u.BytesPerSecond > 0 && s > SmallAnswer && u.pending > 0 {
		b := uplinkBound
		if objective > 0 {
			d := time.Duration(timelyPart * float64(objective))
			b = max(d-max(work-u.Duration(u.pending), 0), lateUplinkBound+u.Duration(s))
		}
		if w := max(u.Duration(u.pending), time.Until(u.free)) + u.Duration(s); w > b {
			return nil, judge.WithWait(judge.Error(judge.Overloaded, judge.NotRun, "gate: the link is busy for %s", w), w-b)
		}
	}
	u.pending += s
	return &Reservation{link: u, class: class, bytes: s}, nil
}

// Resize takes the answer's size as soon as it is known. The sizes of a class
// are averaged; before the first, its answers are taken for small.
func (r *Reservation) Resize(size int64) {
	u := r.link
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending += float64(size) - r.bytes
	r.bytes = float64(size)
	if u.sizes == nil {
		u.sizes = make(map[string]float64)
	}
	s, ok := u.sizes[r.class]
	if !ok {
		s = r.bytes
	}
	u.sizes[r.class] = s + sizeWeight*(r.bytes-s)
}

// End notes that the answer was sent, or that there was none.
func (r *Reservation) End() {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.pending -= r.bytes
	r.bytes = 0
}

// Duration is how long large answers of n bytes take.
func (u *Uplink) Duration(n float64) time.Duration {
	return time.Duration(n / (usablePart * u.BytesPerSecond) * float64(time.Second))
}

// Paces reports whether an answer of size bytes, -1 when that is not known, is
// sent at the link's rate.
func (u *Uplink) Paces(size int64) bool {
	return u.BytesPerSecond > 0 && (size < 0 || size > SmallAnswer)
}

// Claim takes the link for n bytes and returns how long it is still busy with
// others: large answers, and all that the node has sent meanwhile.
func (u *Uplink) Claim(n int, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.free.Before(u.claimed) {
		u.free = u.claimed
	}
	var t uint64
	if u.Traffic != nil {
		t = u.Traffic()
	}
	if t > u.counted {
		u.free = u.free.Add(u.Duration(float64(t - u.counted)))
		u.counted = t
	}
	if !u.free.After(now) {
		u.free = now
		// Whatever was claimed has been sent by now, or was given up.
		u.counted = t
	}
	// What is claimed now is counted before it is written.
	u.counted += uint64(n)
	u.claimed = now
	w := u.free.Sub(now)
	u.free = u.free.Add(u.Duration(float64(n)))
	return w
}
