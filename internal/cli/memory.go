package cli

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// minGarbagePercent is the runtime's default, and maxGarbagePercent lets the heap
	// grow to four times what is in use. With the default, a busy node whose heap is
	// small spent an eighth of its processor time on collecting garbage; with the
	// other, a calm one held twice the memory that it needed.
	minGarbagePercent = 100
	maxGarbagePercent = 300
	// tunePeriod is how often the collections are counted. More than
	// maxCollections in it allow more garbage, none allow less.
	tunePeriod     = 2 * time.Second
	maxCollections = 1
	// memoryPart of the VM's memory is used before garbage is collected more
	// often. The rest is for what the system buffers for the process.
	memoryPart = 0.6

	bytesPerMegabyte = 1 << 20
)

// garbagePercent returns how much garbage may gather next, as a part of what is in
// use, after collections in the last period with percent.
func garbagePercent(percent, collections int) int {
	switch {
	case collections > maxCollections:
		return min(2*percent, maxGarbagePercent)
	case collections == 0:
		return max(percent*3/4, minGarbagePercent)
	}
	return percent
}

// tuneMemory trades memory for processor time where the VM's memory is known: while
// a node is busy, its garbage is collected less often.
func tuneMemory(ctx context.Context, s configurer.Settings) {
	if s.MemoryMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(memoryPart * s.MemoryMB * bytesPerMegabyte))
	p := minGarbagePercent
	n := collections()
	for sleeper.Sleep(ctx, tunePeriod) {
		m := collections()
		q := garbagePercent(p, int(m-n))
		if q != p {
			debug.SetGCPercent(q)
			klog.V(1).InfoS("Collecting garbage at another pace", "garbagePercent", q, "before", p, "collections", m-n)
		}
		p, n = q, m
	}
}

// collections returns how often garbage was collected since the process started.
func collections() uint64 {
	l := []metrics.Sample{{Name: "/gc/cycles/automatic:gc-cycles"}}
	metrics.Read(l)
	if l[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return l[0].Value.Uint64()
}
