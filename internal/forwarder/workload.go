package forwarder

import (
	"strings"
	"sync"
)

// parentSeparator ends the identifier of a parent at the start of that of a
// request which its target makes.
const parentSeparator = '.'

// workload knows the requests that targets beside the node run, so that those
// which the targets make on their behalf are recognized. Its zero value is
// empty.
type workload struct {
	mu      sync.Mutex
	running map[string]int
}

// begin notes that a target runs a request, until the returned function is
// called.
func (w *workload) begin(request string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == nil {
		w.running = make(map[string]int)
	}
	w.running[request]++
	return func() { w.end(request) }
}

func (w *workload) end(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[request]--; w.running[request] <= 0 {
		delete(w.running, request)
	}
}

// extends reports whether the identifier is that of a running request with
// something added.
func (w *workload) extends(request string) bool {
	i := strings.LastIndexByte(request, parentSeparator)
	if i <= 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[request[:i]] > 0
}
