package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
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
	// smallAnswer is the size up to which answers are neither refused nor paced:
	// they hardly add to the queue on the link.
	smallAnswer = 16 << 10
	// usablePart is the part of the link's rate that is used: headers of packets
	// and acknowledgements, which are not counted, take about 5% of it.
	usablePart = 0.9
	sizeWeight = 0.1
)

// uplink keeps a gate from promising more answers than the link of its VM can
// carry, and from filling the queue on that link. It answers downloads over a
// slow link: when too many are sent at once all of them are late, and so are the
// small answers that wait behind them in the link's queue. Its zero value knows
// no bound.
type uplink struct {
	// bytesPerSecond is the rate of the link; 0 is unbounded.
	bytesPerSecond float64
	// traffic returns the bytes that the node has sent over the link, and may be
	// nil.
	traffic func() uint64

	mu      sync.Mutex
	sizes   map[string]float64
	pending float64
	// free is when the link has sent what was handed to it, as of the last claim.
	free, claimed time.Time
	// counted is how much of the traffic free takes into account.
	counted uint64
}

// reservation is an answer that was promised.
type reservation struct {
	link  *uplink
	class string
	bytes float64
}

// reserve promises an answer of a class that must be sent within objective, if
// that is not zero, and takes the target work.
func (u *uplink) reserve(class string, objective, work time.Duration) (*reservation, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.sizes[class]
	if u.bytesPerSecond > 0 && s > smallAnswer && u.pending > 0 {
		b := uplinkBound
		if objective > 0 {
			d := time.Duration(timelyPart * float64(objective))
			b = max(d-max(work-u.duration(u.pending), 0), lateUplinkBound+u.duration(s))
		}
		if w := max(u.duration(u.pending), time.Until(u.free)) + u.duration(s); w > b {
			return nil, judge.WithWait(judge.Error(judge.Overloaded, judge.NotRun, "gate: the link is busy for %s", w), w-b)
		}
	}
	u.pending += s
	return &reservation{link: u, class: class, bytes: s}, nil
}

// resize takes the answer's size as soon as it is known. The sizes of a class
// are averaged; before the first, its answers are taken for small.
func (r *reservation) resize(size int64) {
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

// end notes that the answer was sent, or that there was none.
func (r *reservation) end() {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.pending -= r.bytes
	r.bytes = 0
}

// duration is how long large answers of n bytes take.
func (u *uplink) duration(n float64) time.Duration {
	return time.Duration(n / (usablePart * u.bytesPerSecond) * float64(time.Second))
}

// pace returns a writer to w that sends an answer of size bytes, -1 when that is
// not known, at the link's rate.
func (u *uplink) pace(ctx context.Context, w http.ResponseWriter, size int64) http.ResponseWriter {
	if u.bytesPerSecond == 0 || (size >= 0 && size <= smallAnswer) {
		return w
	}
	return &pacedWriter{ResponseWriter: w, ctx: ctx, link: u}
}

// claim takes the link for n bytes and returns how long it is still busy with
// others: large answers, and all that the node has sent meanwhile.
func (u *uplink) claim(n int, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.free.Before(u.claimed) {
		u.free = u.claimed
	}
	if u.traffic != nil {
		// What was claimed and is not written yet is counted ahead.
		if t := u.traffic(); t > u.counted {
			u.free = u.free.Add(u.duration(float64(t - u.counted)))
			u.counted = t
		}
		u.counted += uint64(n)
	}
	if u.free.Before(now) {
		u.free = now
	}
	u.claimed = now
	w := u.free.Sub(now)
	u.free = u.free.Add(u.duration(float64(n)))
	return w
}

// pacedWriter writes an answer at the rate of a link, after those that claimed
// the link before it. An answer whose reader stalls only loses its own turn.
type pacedWriter struct {
	http.ResponseWriter

	ctx  context.Context //nolint:containedctx // the life of one answer
	link *uplink
}

// Write implements io.Writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	now := time.Now()
	begin := now.Add(w.link.claim(len(p), now))
	sent := 0
	for sent < len(p) {
		if !sleeper.Sleep(w.ctx, time.Until(begin.Add(w.link.duration(float64(sent))))) {
			return sent, context.Cause(w.ctx)
		}
		n, err := w.ResponseWriter.Write(p[sent:min(len(p), sent+smallAnswer)])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Unwrap returns the writer to http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
