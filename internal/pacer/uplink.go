// Package pacer divides the capacity of a VM's network link between large answers
// and other traffic.
//
// When too many large answers are sent at the same time over a slow link, all of
// them are late, and small answers wait behind them in the link's queue. The
// pacer therefore reserves link capacity before requests run, refuses those whose
// answer would be late, and sends large answers one after the other at the rate
// of the link.
package pacer

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
)

const (
	// maxBacklog limits the backlog of reserved answers for a request without an
	// objective: the usual objective of routes minus the time the target needs.
	maxBacklog = 500 * time.Millisecond
	// maxLateBacklog applies to requests that will miss their objective anyway. It
	// is lower to leave capacity for timely requests.
	maxLateBacklog = 100 * time.Millisecond
	// objectiveShare is the share of the objective within which a large answer must
	// be expected to be sent. A backlog up to the full objective would make most
	// answers slightly late; a shorter one keeps the link equally busy.
	objectiveShare = 0.6
	// SmallAnswer is the size up to which answers are neither refused nor paced,
	// because they add little to the backlog of the link.
	SmallAnswer = 16 << 10
	// usableShare is the share of the link rate that is used. Packet headers and
	// acknowledgements are not counted and take about 5%.
	usableShare = 0.9
	sizeWeight  = 0.1
)

// Uplink represents the network link of a VM. Its zero value is unlimited.
type Uplink struct {
	// BytesPerSecond is the rate of the link; 0 means unlimited.
	BytesPerSecond float64
	// Traffic returns the number of bytes that the node has sent over the link. It
	// may be nil.
	Traffic func() uint64

	mu            sync.Mutex
	meanSizes     map[string]float64
	reservedBytes float64
	// freeAt is when the link will have sent everything handed to it, as of the
	// last claim at claimedAt.
	freeAt, claimedAt time.Time
	// countedTraffic is the traffic already included in freeAt.
	countedTraffic uint64
}

// Reservation is link capacity reserved for an answer.
type Reservation struct {
	link  *Uplink
	class string
	bytes float64
}

// Reserve reserves capacity for an answer of a class that must be sent within
// objective, unless that is zero. work is the expected time the target needs.
func (u *Uplink) Reserve(class string, objective, work time.Duration) (*Reservation, error) {
	return u.ReserveWithin(class, objective, 0, work)
}

// ReserveWithin is Reserve for an answer that is worth nothing once left has passed,
// unless that is zero: it is refused at once if the link cannot send it by then.
func (u *Uplink) ReserveWithin(class string, objective, left, work time.Duration) (*Reservation, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.meanSizes[class]
	if w := max(u.Duration(u.reservedBytes), time.Until(u.freeAt), work) + u.Duration(s); left > 0 && u.BytesPerSecond > 0 && s > SmallAnswer && w > left {
		return nil, classifier.WithWait(classifier.Error(classifier.Overloaded, classifier.NotRun, "gate: the link cannot deliver the answer in %s", left), w-left)
	}
	if u.BytesPerSecond > 0 && s > SmallAnswer && u.reservedBytes > 0 {
		b := maxBacklog
		if objective > 0 {
			d := time.Duration(objectiveShare * float64(objective))
			b = max(d-max(work-u.Duration(u.reservedBytes), 0), maxLateBacklog+u.Duration(s))
		}
		if w := max(u.Duration(u.reservedBytes), time.Until(u.freeAt)) + u.Duration(s); w > b {
			return nil, classifier.WithWait(classifier.Error(classifier.Overloaded, classifier.NotRun, "gate: the link is busy for %s", w), w-b)
		}
	}
	u.reservedBytes += s
	return &Reservation{link: u, class: class, bytes: s}, nil
}

// Resize sets the size of the answer once it is known and updates the average
// size of its class. Until a first size is known, answers of a class are assumed
// to be small.
func (r *Reservation) Resize(size int64) {
	u := r.link
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reservedBytes += float64(size) - r.bytes
	r.bytes = float64(size)
	if u.meanSizes == nil {
		u.meanSizes = make(map[string]float64)
	}
	s, ok := u.meanSizes[r.class]
	if !ok {
		s = r.bytes
	}
	u.meanSizes[r.class] = s + sizeWeight*(r.bytes-s)
}

// End releases the reservation after the answer was sent or the request failed.
func (r *Reservation) End() {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.reservedBytes -= r.bytes
	r.bytes = 0
}

// Duration returns the time the link needs to send n bytes.
func (u *Uplink) Duration(n float64) time.Duration {
	return time.Duration(n / (usableShare * u.BytesPerSecond) * float64(time.Second))
}

// Paces reports whether an answer of the given size must be sent at the rate of
// the link. A size of -1 means unknown.
func (u *Uplink) Paces(size int64) bool {
	return u.BytesPerSecond > 0 && (size < 0 || size > SmallAnswer)
}

// Claim schedules n bytes on the link and returns how long the link stays busy
// with earlier claims and with all other traffic of the node.
func (u *Uplink) Claim(n int, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.freeAt.Before(u.claimedAt) {
		u.freeAt = u.claimedAt
	}
	var t uint64
	if u.Traffic != nil {
		t = u.Traffic()
	}
	if t > u.countedTraffic {
		u.freeAt = u.freeAt.Add(u.Duration(float64(t - u.countedTraffic)))
		u.countedTraffic = t
	}
	if !u.freeAt.After(now) {
		u.freeAt = now
		// Earlier claims have been sent or abandoned by now.
		u.countedTraffic = t
	}
	// The claimed bytes will appear in the traffic counter later; count them now.
	u.countedTraffic += uint64(n)
	u.claimedAt = now
	w := u.freeAt.Sub(now)
	u.freeAt = u.freeAt.Add(u.Duration(float64(n)))
	return w
}
