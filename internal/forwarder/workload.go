package forwarder

import (
	"strings"
	"sync"
	"time"
)

// parentSeparator separates the identifier of a parent request from the suffix that its
// target appends for a nested request.
const parentSeparator = '.'

// calleeRetention is how long a service counts as a callee of a class after the last
// call.
const calleeRetention = 10 * time.Second

// workload tracks the requests that targets beside the node are running, so that
// nested requests, which the targets make on their behalf, are recognized. Its zero
// value is empty.
type workload struct {
	mu      sync.Mutex
	running map[string]*running
	// calls holds, for each class of requests, the services that were called on
	// behalf of one, with the time of the last call.
	calls   map[string]map[string]time.Time
	parents endedParents
}

type running struct {
	count  int
	class  string
	repeat bool
	// calleeOverloaded means that a call on its behalf was refused because of overload.
	calleeOverloaded bool
	// refusedBy is the service whose gates refused a call on its behalf for load.
	refusedBy string
}

// begin records that a target runs a request of a class until the returned function is
// called. Repeat means that the request may have run before.
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
		w.parents.add(request, time.Now())
	}
}

// recordNested reports whether a request to service was made on behalf of a running
// one, whose identifier is then a prefix of its own, and whether the running one is a
// repetition. It records service as a callee of the running one's class.
func (w *workload) recordNested(request, service string, now time.Time) (nested, repeat bool) {
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

// markCalleeOverloaded records that a call on behalf of a running request was refused
// because of overload.
func (w *workload) markCalleeOverloaded(call string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := strings.LastIndexByte(call, parentSeparator)
	if r := w.running[call[:max(i, 0)]]; r != nil {
		r.calleeOverloaded = true
	}
}

// calleeOverloaded reports whether a call on behalf of a running request was refused
// because of overload.
func (w *workload) calleeOverloaded(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[request]
	return r != nil && r.calleeOverloaded
}

// markRefusedBy records that the gates of a service refused a call on behalf of a running
// request.
func (w *workload) markRefusedBy(call, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := strings.LastIndexByte(call, parentSeparator)
	if r := w.running[call[:max(i, 0)]]; r != nil {
		r.refusedBy = service
	}
}

// refusedBy returns the service whose gates refused a call on behalf of a running
// request, or "".
func (w *workload) refusedBy(request string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[request]; r != nil {
		return r.refusedBy
	}
	return ""
}

// callees returns the services that were recently called on behalf of a class.
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
