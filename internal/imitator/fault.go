package imitator

import (
	"sync"
	"time"
)

// Faults says how the stand-in misbehaves. The zero value is a sound service.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Silent accepts every call and never answers.
	Silent bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect unanswered.
	LoseAnswers int
	// DownAfterLoss makes the service go down with the first lost answer.
	DownAfterLoss bool
	// ReadRate and WriteRate bound calls per second; zero is unbounded.
	ReadRate  int
	WriteRate int
}

// Counts is the number of calls by kind since the start.
type Counts struct {
	Reads     uint64
	Writes    uint64
	Watches   uint64
	Refused   uint64
	PeakReads uint64
	// PeakWrites and PeakReads are the most calls within one second; a
	// waiting watch counts as a read.
	PeakWrites    uint64
	BytesReceived uint64
	BytesSent     uint64
}

// kind is how a call is counted.
type kind uint8

const (
	read kind = iota + 1
	write
	watch
)

// controller applies faults and rates, and counts calls.
type controller struct {
	mu          sync.Mutex
	faults      Faults
	counts      Counts
	second      int64
	readsInRow  uint64
	writesInRow uint64
}

// admit counts a call and reports whether the rates allow it.
func (c *controller) admit(k kind, now time.Time) (Faults, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := now.Unix(); s != c.second {
		c.second = s
		c.readsInRow = 0
		c.writesInRow = 0
	}
	c.count(k)
	f := c.faults
	if exceeds(c.readsInRow, f.ReadRate) || exceeds(c.writesInRow, f.WriteRate) {
		c.counts.Refused++
		return f, false
	}
	return f, true
}

func (c *controller) count(k kind) {
	switch k {
	case write:
		c.counts.Writes++
		c.writesInRow++
	case watch:
		c.counts.Watches++
		c.readsInRow++
	case read:
		c.counts.Reads++
		c.readsInRow++
	}
	c.counts.PeakReads = max(c.counts.PeakReads, c.readsInRow)
	c.counts.PeakWrites = max(c.counts.PeakWrites, c.writesInRow)
}

// loseAnswer reports whether the answer of a write is to be lost.
func (c *controller) loseAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseAnswers == 0 {
		return false
	}
	c.faults.LoseAnswers--
	c.faults.Down = c.faults.DownAfterLoss
	return true
}

func (c *controller) set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *controller) snapshot(reset bool) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.counts
	if reset {
		c.counts.PeakReads = 0
		c.counts.PeakWrites = 0
	}
	return r
}

func exceeds(n uint64, rate int) bool {
	return rate > 0 && n > uint64(rate)
}
