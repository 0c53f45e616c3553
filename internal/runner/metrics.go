package runner

import (
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// The units of instruments (UCUM).
const (
	bytesUnit = "By"
	countUnit = ""
)

type counter struct {
	name, unit, text string
	value            func() uint64
}

type gauge struct {
	name, unit, text string
	value            func() int64
}

// metrics registers the node's instruments and returns their handler.
func (n *Node) metrics() http.Handler {
	i, err := meter.NewInstruments()
	if err != nil {
		klog.Errorf(logPrefix+"Metrics are off: %v", err)
		return http.NotFoundHandler()
	}
	for _, c := range n.counters() {
		err = errors.Join(err, i.Counter("dragonflydoor_"+c.name, c.unit, c.text, c.value))
	}
	for _, g := range n.gauges() {
		err = errors.Join(err, i.Gauge("dragonflydoor_"+g.name, g.unit, g.text, g.value))
	}
	if err != nil {
		klog.Errorf(logPrefix+"Some metrics are off: %v", err)
	}
	return i.Handler()
}

func (n *Node) counters() []counter {
	return []counter{
		{"control_received", bytesUnit, "Control bytes read from sockets.", n.control.Received},
		{"control_sent", bytesUnit, "Control bytes written to sockets.", n.control.Sent},
		{"calls_received", bytesUnit, "Call bytes read from sockets.", n.calls.Received},
		{"calls_sent", bytesUnit, "Call bytes written to sockets.", n.calls.Sent},
		{"requests", countUnit, "Requests from callers.", n.stats.Requests.Load},
		{"retries", countUnit, "Calls made again.", n.stats.Retries.Load},
		{"refused_not_run", countUnit, "Requests refused that have not run.", n.stats.NotRun.Load},
		{"failed_may_have_run", countUnit, "Requests failed that may have run.", n.stats.MayHaveRun.Load},
		{"answers_cut", countUnit, "Answers broken off.", n.stats.Cut.Load},
		{"refused_stale", countUnit, "Older generations refused.", func() uint64 { return n.holder.Refused(holder.Stale) }},
		{"refused_forked", countUnit, "Equal generations with other content refused.", func() uint64 { return n.holder.Refused(holder.Forked) }},
		{"refused_rejected", countUnit, "Incomplete or invalid generations refused.", func() uint64 { return n.holder.Refused(holder.Rejected) }},
	}
}

func (n *Node) gauges() []gauge {
	return []gauge{
		{"generation", countUnit, "Generation in force.", func() int64 { return int64(n.holder.Current().Generation()) }},
		{"known_nodes", countUnit, "Usable nodes known.", func() int64 { return int64(n.gossiper.View().Usable()) }},
		{"children", countUnit, "Nodes that pull from this one.", func() int64 { return int64(n.tallier.Children(time.Now())) }},
		{"relay", countUnit, "1 while this node is a relay.", func() int64 { return flag(n.gossiper.Self().Relay) }},
		{"targets", countUnit, "Targets beside this node.", func() int64 { return int64(len(n.registrar.List())) }},
		{"ejected_targets", countUnit, "Targets left alone for their failures.", func() int64 { return int64(n.entry.Ejected()) }},
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
