// Package evaluator decides by a sequential test whether one version of a service is
// worse than another: it fails more requests of some route, or takes longer for them.
package evaluator

import (
	"math"
	"time"
)

const (
	// Buckets is the number of counts of a Histogram: failures, and durations from 1 ms
	// to 32 s in steps of the square root of two.
	Buckets        = 32
	bucketsPerFold = 2
	// Groups is the number of groups that the targets of the new version are divided
	// into. The test leaves out each group in turn.
	Groups = 8
)

// Histogram counts attempts: element 0 those that failed, the others those that were
// answered, by duration.
type Histogram [Buckets]uint32

// Add counts one attempt.
func (h *Histogram) Add(failed bool, took time.Duration) {
	h[bucketOf(failed, took)]++
}

func bucketOf(failed bool, took time.Duration) int {
	if failed {
		return 0
	}
	ms := float64(took) / float64(time.Millisecond)
	if ms < 1 {
		return 1
	}
	return min(1+int(bucketsPerFold*math.Log2(ms)), Buckets-1)
}

// Total returns the number of attempts.
func (h Histogram) Total() uint64 {
	var n uint64
	for _, c := range h {
		n += uint64(c)
	}
	return n
}

// Plus returns the sum of two histograms.
func (h Histogram) Plus(o Histogram) Histogram {
	for i, c := range o {
		h[i] += c
	}
	return h
}

// Minus returns h without what o counts; a count that would be negative is 0, as when a
// node has lost its counts.
func (h Histogram) Minus(o Histogram) Histogram {
	for i, c := range o {
		h[i] -= min(c, h[i])
	}
	return h
}

// Max returns the greater of the counts of h and o.
func (h Histogram) Max(o Histogram) Histogram {
	for i, c := range o {
		h[i] = max(h[i], c)
	}
	return h
}

// Key names the attempts that one histogram counts.
type Key struct {
	Route string
	// New tells the version on trial from those in use.
	New bool
	// Group is the group of the target. It is 0 for versions in use.
	Group uint8
}

// Counts holds histograms by route, version and group of targets.
type Counts map[Key]Histogram

// Plus adds o to c.
func (c Counts) Plus(o Counts) {
	for k, h := range o {
		c[k] = c[k].Plus(h)
	}
}

// Keep adds the histograms of earlier whose routes c does not hold.
func (c Counts) Keep(earlier Counts) {
	held := make(map[string]bool)
	for k := range c {
		held[k.Route] = true
	}
	for k, h := range earlier {
		if !held[k.Route] {
			c[k] = h
		}
	}
}

// Since returns what c counts beyond earlier.
func (c Counts) Since(earlier Counts) Counts {
	d := make(Counts)
	for k, h := range c {
		if m := h.Minus(earlier[k]); m != (Histogram{}) {
			d[k] = m
		}
	}
	return d
}
