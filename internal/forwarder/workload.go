package forwarder

import (
	"strings"
	"sync"
	"time"
)

// parentSeparator ends the identifier of a parent at the start of that of a
// request which its target makes.
const parentSeparator = '.'

// calleeRetention is how long a class is taken to call a service after the
// last call.
const calleeRetention = 10 * time.Second

// workload knows the requests that targets beside the node run, so that those
// which the targets make on their behalf are recognized. Its zero value is
// empty.
type workload struct {
	mu      sync.Mutex
	running map[string]*running
	// calls holds, for each class of requests, the services that were called on
	// behalf of one, and when.
	calls map[string]map[string]time.Time
}

type running struct {
	count  int
	class  string
	repeat bool
	// calleeOverloaded says that a call on its behalf was refused for load.
	calleeOverloaded bool
}

// begin notes that a target runs a request of a class, and whether the request
// has run before, until the returned function is called.
func (w *workload) begin(request, class string, repeat bool) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == nil {
		w.running = make(map[string]*running)
	}
	r := w.running[request]
	if r == nil {
		r = &running{class: class}
		w.running[request] = r
	}
	r.count++
	r.repeat = r.repeat || repeat
	return func() { w.end(request) }
}

func (w *workload) end(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[request]
	if r.count--; r.count == 0 {
		delete(w.running, request)
	}
}

// extends reports whether the identifier of a request to service is that of a
// running one with something added, notes the call, and reports whether the
// running one is a repetition.
func (w *workload) extends(request, service string, now time.Time) (nested, repeat bool) {
	i := strings.LastIndexByte(request, parentSeparator)
	if i <= 0 {
		return false, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[request[:i]]
	if r == nil {
		return false, false
	}
	if w.calls == nil {
		w.calls = make(map[string]map[string]time.Time)
	}
	if w.calls[r.class] == nil {
		w.calls[r.class] = make(map[string]time.Time)
	}
	w.calls[r.class][service] = now
	return true, r.repeat
}

// markCalleeOverloaded notes that a call was refused for load which the target of a running
// request made on its behalf.
func (w *workload) markCalleeOverloaded(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := strings.LastIndexByte(call, parentSeparator)
	if r := w.running[call[:max(i, 0)]]; r != nil {
		r.calleeOverloaded = true
	}
}

// calleeOverloaded reports whether a call on behalf of a running request was refused for
// load.
func (w *workload) calleeOverloaded(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[request]
	return r != nil && r.calleeOverloaded
}

// callees returns the services that are called on behalf of a class.
func (w *workload) callees(class string, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []string
	for s, t := range w.calls[class] {
		if now.Sub(t) > calleeRetention {
			delete(w.calls[class], s)
			continue
		}
		l = append(l, s)
	}
	return l
}
