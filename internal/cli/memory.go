package cli

import (
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
)

const (
	// garbagePercent lets the heap grow to four times what is in use. With the
	// runtime's default, a node whose heap is small spent an eighth of its
	// processor time on collecting garbage.
	garbagePercent = 300
	// memoryPart of the VM's memory is used before garbage is collected more
	// often. The rest is for what the system buffers for the process.
	memoryPart = 0.6

	bytesPerMegabyte = 1 << 20
)

// tuneMemory trades memory for processor time where the VM's memory is known.
func tuneMemory(s configurer.Settings) {
	if s.MemoryMB <= 0 {
		return
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryPart * s.MemoryMB * bytesPerMegabyte))
	klog.InfoS("Collecting garbage less often", "garbagePercent", garbagePercent, "memory", s.MemoryMB, "part", memoryPart)
}
