package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	// outageCheckInterval is the interval at which an unreachable node is checked, and
	// outageCheckTimeout the timeout of a check. Calls wait as long for a silent node.
	outageCheckInterval = 500 * time.Millisecond
	outageCheckTimeout  = time.Second
	// outageRetention is how long an unreachable node is checked. By then the
	// membership has either removed it or considers it alive.
	outageRetention = 30 * time.Second
	// silentNodeTime is how long a node may send nothing during a call. Its gate sends
	// three interim responses in that time, also while the call waits for a slot.
	silentNodeTime = 3 * interimResponseInterval
)

// outages holds the nodes that are unreachable from this node. Calls avoid them, and
// the entry checks in the background whether they are reachable again, so that only
// one call has to time out on a failed node. Its zero value is empty.
type outages struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (o *outages) add(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.since[address]; ok {
		return false
	}
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	o.since[address] = now
	return true
}

func (o *outages) remove(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, address)
}

// list returns the nodes to check, and removes those older than outageRetention.
func (o *outages) list(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var l []string
	for a, t := range o.since {
		if now.Sub(t) > outageRetention {
			delete(o.since, a)
			continue
		}
		l = append(l, a)
	}
	return l
}

// withoutUnreachable returns the endpoints on reachable nodes, or all endpoints if no
// node is reachable.
func (o *outages) withoutUnreachable(l []gossiper.Endpoint) []gossiper.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.since) == 0 {
		return l
	}
	r := make([]gossiper.Endpoint, 0, len(l))
	for _, e := range l {
		if _, ok := o.since[e.PeerAddress]; !ok {
			r = append(r, e)
		}
	}
	if len(r) == 0 {
		return l
	}
	return r
}

// recordOutage marks the node of p as unreachable if err means that it did not respond.
func (e *Entry) recordOutage(p gossiper.Endpoint, err error) {
	var x *exchanger.Error
	if !errors.As(err, &x) || !meansOutage(x) {
		return
	}
	if e.outages.add(p.PeerAddress, time.Now()) {
		e.peers.CloseIdle(p.PeerAddress)
		klog.InfoS("Node cannot be reached", "peer", p.Node, "address", p.PeerAddress, "cause", err)
	}
}

// meansOutage reports whether a call failed because its node does not respond. A
// connection attempt that was cut short proves nothing: a round trip over a saturated
// link takes longer. A call that was given up proves it if the node has been silent, as
// a frozen one is; most calls have shorter deadlines than the timeout of reads. So does
// one that timed out: a gate does not read a body further than its target does.
func meansOutage(x *exchanger.Error) bool {
	switch x.Cause {
	case exchanger.Unreachable:
		return !x.CutShort
	case exchanger.TimedOut, exchanger.Canceled:
		return x.Silent >= silentNodeTime
	case exchanger.Broken, exchanger.Invalid, exchanger.Incomplete:
	}
	return false
}

// Watch periodically checks the unreachable nodes until ctx is done.
func (e *Entry) Watch(ctx context.Context) {
	var g grouper.Group
	defer g.Wait()
	for sleeper.Sleep(ctx, outageCheckInterval) {
		for _, a := range e.outages.list(time.Now()) {
			g.Go(func() { e.checkOutage(ctx, a) })
		}
	}
}

func (e *Entry) checkOutage(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, outageCheckTimeout)
	defer cancel()
	q := call{
		hop:    hop{purpose: toCheck, repeatable: true},
		method: http.MethodGet,
		uri:    "/",
		host:   address,
		header: http.Header{},
	}
	q.header.Set(HopHeader, q.format())
	r, err := e.peers.Do(ctx, address, q.exchange(""))
	if err != nil {
		return
	}
	_, _ = bufferAnswer(r, q.method)
	_ = r.Body.Close()
	e.outages.remove(address)
	klog.InfoS("Node can be reached again", "address", address)
}
