package runner

import (
	"net/http"
	"syscall"

	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/logger"
	"github.com/dragonflydoor/dragonflydoor/internal/receiver"
)

const (
	// fileDescriptors are reserved for files and for what the system opens.
	fileDescriptors = 200
	// minSockets is the number of connections if less is left of the descriptors.
	minSockets = 48
	// callerPart, peerPart and sidePart are the parts of the connections that callers,
	// other nodes, and each of the other listeners may use. The rest, about a fifth, is for
	// outgoing connections.
	callerPart = 1.0 / 2
	peerPart   = 3.0 / 16
	sidePart   = 1.0 / 24
	// connectionBytes is the memory of an idle connection, with what the kernel keeps, and
	// connectionsShare the share of the VM's memory for all of them.
	connectionBytes  = 12 << 10
	connectionsShare = 1.0 / 4
	bytesPerMegabyte = 1 << 20
	// hopBytes is the space for the headers that nodes add to a call.
	hopBytes = 8 << 10
)

// buildReceivers creates the servers of all listeners. They share one budget.
func (n *Node) buildReceivers() {
	n.budget = receiver.BudgetFor(n.settings.MemoryMB)
	n.clientLines = logger.NewLines()
	k := float64(maxSockets(n.settings, processLimit()))
	server := func(h http.Handler, part float64, o receiver.Options) *receiver.Server {
		o.Budget = n.budget
		o.MaxConnections = int(part * k)
		o.Log = n.clientLines
		o.Stats = &n.received
		return receiver.New(h, o)
	}
	p := n.peerHandler()
	n.peer = server(p, peerPart, receiver.Options{HTTP2: p, Limits: n.peerLimits})
	// The entry rejects requests of ambiguous length itself, in the form that its callers
	// know.
	n.caller = server(n.entry, callerPart, receiver.Options{Limits: n.callerLimits, Concurrent: n.entry.Concurrent, PassAmbiguousLength: true})
	n.local = server(n.around.Local(n, n.localHandler()), sidePart, receiver.Options{Limits: n.callerLimits})
	if n.around.Ready != nil {
		n.ready = server(n.around.Ready(n), sidePart, receiver.Options{Limits: n.callerLimits})
	}
	n.scrape = server(n.scraped, sidePart, receiver.Options{Limits: n.callerLimits})
}

// callerLimits returns the limits for what callers send.
func (n *Node) callerLimits() receiver.Limits {
	var l receiver.Limits
	if p := n.holder.Current().Serving(n.entry.Profile()); p != nil {
		l.MaxHeaderBytes = int(p.ClientLimits.MaxHeaderBytes)
		l.HeaderTimeout = p.ClientLimits.HeaderTimeout
		l.IdleTimeout = p.ClientLimits.IdleTimeout
	}
	return l.WithDefaults()
}

// limitClients applies the limits of a new configuration to open connections.
func (n *Node) limitClients() {
	for _, s := range n.receivers() {
		s.LimitsChanged()
	}
}

// peerLimits returns the limits for what other nodes send. A head that a caller may send
// becomes longer on the way, by a space in each line and the headers of the hop.
func (n *Node) peerLimits() receiver.Limits {
	l := n.callerLimits()
	return receiver.Limits{MaxHeaderBytes: 2*l.MaxHeaderBytes + hopBytes}
}

// maxSockets returns how many connections a process may have open whose own limit of
// descriptors is limit.
func maxSockets(s configurer.Settings, limit int) int {
	if s.MaxFDs > 0 {
		limit = min(limit, s.MaxFDs)
	}
	k := max(limit-fileDescriptors, minSockets)
	if s.MemoryMB > 0 {
		k = min(k, max(int(connectionsShare*s.MemoryMB*bytesPerMegabyte/connectionBytes), minSockets))
	}
	return k
}

// processLimit returns the limit of open descriptors of this process.
func processLimit() int {
	const unknown = 1 << 10
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return unknown
	}
	return int(min(l.Cur, 1<<30))
}

func (n *Node) receiverCounters() []counter {
	s := &n.received
	return []counter{
		{"clients_evicted_idle", countUnit, "Connections without a request closed for others.", s.EvictedIdle.Load},
		{"clients_evicted_slow", countUnit, "Connections with a slow head or body closed for others.", s.EvictedSlow.Load},
		{"clients_overflowing", countUnit, "Connections accepted beyond the limit.", s.Overflowing.Load},
		{"clients_hung_up", countUnit, "Connections closed by callers while requests ran.", s.HangUps.Load},
		{"accept_failures", countUnit, "Failed attempts to accept a connection.", s.AcceptFailures.Load},
		{"requests_malformed", countUnit, "Requests rejected as malformed, and connections with other data.", s.Malformed.Load},
		{"requests_too_large", countUnit, "Requests rejected by 413 or 431 before their route was known.", s.TooLarge.Load},
		{"requests_too_slow", countUnit, "Requests rejected by 408.", s.TooSlow.Load},
		{"requests_over_budget", countUnit, "Requests rejected for lack of memory.", s.OverBudget.Load},
		{"requests_pipelined", countUnit, "Requests read while earlier ones of their connection ran.", s.Pipelined.Load},
	}
}

func (n *Node) receiverGauges() []gauge {
	return []gauge{
		{"request_memory", bytesUnit, "Estimated memory of heads being read and requests held.", func() int64 { return n.budget.Used() }},
		{"client_connections", countUnit, "Open connections of all listeners.", n.clientConnections},
	}
}

func (n *Node) clientConnections() int64 {
	k := 0
	for _, s := range n.receivers() {
		k += s.Connections()
	}
	return int64(k)
}

// receivers returns the servers of all listeners that there are.
func (n *Node) receivers() []*receiver.Server {
	var l []*receiver.Server
	for _, s := range []*receiver.Server{n.peer, n.caller, n.local, n.ready, n.scrape} {
		if s != nil {
			l = append(l, s)
		}
	}
	return l
}
