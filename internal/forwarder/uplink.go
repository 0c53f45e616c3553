package forwarder

import (
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

const (
	// uplinkBound is how long what a gate has promised to send may keep the link
	// of its VM busy. It covers the work of the targets meanwhile, and leaves
	// answers the time that routes usually allow.
	uplinkBound = 500 * time.Millisecond
	// smallAnswer is the size up to which answers are never refused: they hardly
	// add to the queue on the link.
	smallAnswer = 16 << 10
	sizeWeight  = 0.1
)

// uplink keeps a gate from promising more answers than the link of its VM can
// carry. It answers downloads over a slow link: each takes a share of it, and
// when too many are sent at once all of them are late, as is everything else
// that the node has to say. Its zero value knows no bound.
type uplink struct {
	// bytesPerSecond is the rate of the link; 0 is unbounded.
	bytesPerSecond float64

	mu      sync.Mutex
	sizes   map[string]float64
	pending float64
}

// reserve promises an answer of a class. The returned function takes its size,
// or -1 when there was none.
func (u *uplink) reserve(class string) (func(size int64), error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.sizes[class]
	if u.bytesPerSecond > 0 && s > smallAnswer {
		w := time.Duration((u.pending + s) / u.bytesPerSecond * float64(time.Second))
		if w > uplinkBound && u.pending > 0 {
			return nil, judge.WithWait(judge.Error(judge.Overloaded, judge.NotRun, "gate: the link is busy for %s", w), w-uplinkBound)
		}
	}
	u.pending += s
	return func(size int64) { u.release(class, s, size) }, nil
}

func (u *uplink) release(class string, reserved float64, size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending -= reserved
	if size < 0 {
		return
	}
	if u.sizes == nil {
		u.sizes = make(map[string]float64)
	}
	s, ok := u.sizes[class]
	if !ok {
		s = float64(size)
	}
	u.sizes[class] = s + sizeWeight*(float64(size)-s)
}
