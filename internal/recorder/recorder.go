// Package recorder records in the store which targets of a node have left, so that the
// node knows it after all processes of the mesh have ended at the same time.
package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

const (
	// Retention is how long a record stays in the store. It exceeds the time that an
	// announcement may be late.
	Retention = 2 * time.Minute
	// maxDepartures limits the record; the oldest departures are dropped.
	maxDepartures  = 64
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Recorder holds the departures of one node's targets and writes them to the store.
type Recorder struct {
	store storer.Store
	key   string
	// Restored is called with the departures that an earlier process has recorded.
	Restored func([]gossiper.Target)

	changed chan struct{}

	mu         sync.Mutex
	departures []gossiper.Target
	// added counts the departures added by this process, and stored how many of them
	// the store has.
	added, stored int
	// progress is closed when stored has grown.
	progress chan struct{}
}

// New returns a recorder for the targets of node.
func New(s storer.Store, node string) *Recorder {
	return &Recorder{store: s, key: storer.DepartureKey(node), changed: make(chan struct{}, 1), progress: make(chan struct{})}
}

// Record adds the departure of a target process, and waits until the store has it or ctx
// is done. It reports whether the store has it; otherwise Run keeps trying.
func (r *Recorder) Record(ctx context.Context, t gossiper.Target) bool {
	return r.await(ctx, r.add(t))
}

// Flush waits until the store has every departure that was recorded before, or ctx is done.
// It reports whether the store has them.
func (r *Recorder) Flush(ctx context.Context) bool {
	r.mu.Lock()
	n := r.added
	r.mu.Unlock()
	return r.await(ctx, n)
}

// await waits until n departures of this process are stored, or ctx is done.
func (r *Recorder) await(ctx context.Context, n int) bool {
	for {
		r.mu.Lock()
		stored, progress := r.stored >= n, r.progress
		r.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}

// add returns the count of departures that must be stored for t to be stored.
func (r *Recorder) add(t gossiper.Target) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.departures, func(d gossiper.Target) bool { return sameProcess(d, t) }) {
		return r.added
	}
	r.departures = append(r.departures, t)
	r.added++
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return r.added
}

func sameProcess(a, b gossiper.Target) bool {
	return a.Instance == b.Instance && a.StartedAtUnixMS == b.StartedAtUnixMS
}

// Run restores the departures of an earlier process and writes new ones, until ctx is done.
func (r *Recorder) Run(ctx context.Context) {
	ctx = storer.WithPurpose(ctx, storer.ForDepartures)
	b := sleeper.Backoff{First: initialBackoff, Max: maxBackoff}
	revision, known := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = r.write(ctx, revision)
		} else {
			revision, err = r.restore(ctx)
		}
		if err != nil {
			klog.V(1).InfoS("Recording departures failed", "key", r.key, "cause", err)
			// A write may have been made although it failed.
			known = false
			b.Sleep(ctx)
			continue
		}
		b.Reset()
		if !known {
			known = true
			continue
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
		}
	}
}

// restore reads the record, adds what it holds, and returns its revision.
func (r *Recorder) restore(ctx context.Context) (uint64, error) {
	v, err := r.store.Get(ctx, r.key)
	if classifier.Is(err, classifier.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	l, err := decode(v.Data)
	if err != nil {
		// The record is replaced by the next departure.
		klog.ErrorS(err, "Record of departures is not usable", "key", r.key, "revision", v.Revision)
	}
	r.merge(l)
	if len(l) > 0 && r.Restored != nil {
		r.Restored(l)
	}
	return v.Revision, nil
}

// merge puts the departures of an earlier process before those of this one.
func (r *Recorder) merge(earlier []gossiper.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := slices.Clone(earlier)
	for _, d := range r.departures {
		if !slices.ContainsFunc(earlier, func(e gossiper.Target) bool { return sameProcess(d, e) }) {
			n = append(n, d)
		}
	}
	r.departures = n
}

// write writes the departures if the store lacks any, and returns the record's revision.
func (r *Recorder) write(ctx context.Context, revision uint64) (uint64, error) {
	r.mu.Lock()
	added, stored := r.added, r.stored
	r.departures = r.departures[max(0, len(r.departures)-maxDepartures):]
	l := slices.Clone(r.departures)
	r.mu.Unlock()
	if added == stored {
		return revision, nil
	}
	id, err := r.store.Grant(ctx, Retention)
	if err != nil {
		return 0, err
	}
	if revision, err = r.store.Put(ctx, r.key, encode(l), revision, id); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = added
	close(r.progress)
	r.progress = make(chan struct{})
	return revision, nil
}
