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
	bytesUnit   = "By"
	countUnit   = ""
	secondsUnit = "s"
	// millisecondsUnit is for counters of time, which count whole numbers.
	millisecondsUnit = "ms"
)

// durationBounds are the upper bounds of request durations, in seconds: denser
// where the objectives of the users' routes lie.
var durationBounds = []float64{.005, .01, .025, .05, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2.5, 5}

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
		klog.ErrorS(err, "Metrics are off")
		return http.NotFoundHandler()
	}
	for _, c := range append(n.counters(), n.receiverCounters()...) {
		err = errors.Join(err, i.Counter("dragonflydoor_"+c.name, c.unit, c.text, c.value))
	}
	for _, g := range append(n.gauges(), n.receiverGauges()...) {
		err = errors.Join(err, i.Gauge("dragonflydoor_"+g.name, g.unit, g.text, g.value))
	}
	err = errors.Join(err, i.LabelledCounter("dragonflydoor_store_calls", countUnit, "Calls of the store.", n.countStoreCalls))
	err = errors.Join(err, i.LabelledCounter("dragonflydoor_slot_time", millisecondsUnit, "How long requests have held slots of targets beside this node.", n.countSlotTimes))
	if n.stager != nil {
		err = errors.Join(err, i.LabelledCounter("dragonflydoor_version_attempts", countUnit, "Attempts at targets by service, version and outcome.", n.countVersions))
	}
	h, e := i.Histogram("dragonflydoor_request_duration", secondsUnit, "Time from the arrival of a request to its answer.", durationBounds)
	if e == nil {
		n.stats.Observe = func(d time.Duration) { h(d.Seconds()) }
	}
	if err = errors.Join(err, e); err != nil {
		klog.ErrorS(err, "Some metrics are off")
	}
	return i.Handler()
}

func (n *Node) counters() []counter {
	return []counter{
		{"control_received", bytesUnit, "Control bytes read from sockets.", n.control.Received},
		{"control_sent", bytesUnit, "Control bytes written to sockets.", n.control.Sent},
		{"calls_received", bytesUnit, "Call bytes read from sockets.", n.callsReceived},
		{"calls_sent", bytesUnit, "Call bytes written to sockets.", n.callsSent},
		{"requests", countUnit, "Requests from callers.", n.stats.Requests.Load},
		{"retries", countUnit, "Calls made again.", n.stats.Retries.Load},
		{"refused_not_run", countUnit, "Requests refused that have not run.", n.stats.NotRun.Load},
		{"refused_for_others", countUnit, "Requests rejected at the entry because others lose more.", n.entry.Shed},
		{"refused_held_in_vain", countUnit, "Requests refused after an eighth of their objective.", n.stats.HeldInVain.Load},
		{"refused_unauthenticated", countUnit, "Requests refused for the lack of a valid key.", n.stats.Unauthenticated.Load},
		{"refused_unconfirmed", countUnit, "Requests refused because the node could not tell whether their key is valid.", n.stats.Unconfirmed.Load},
		{"failed_may_have_run", countUnit, "Requests failed that may have run.", n.stats.MayHaveRun.Load},
		{"target_connections_opened", countUnit, "Connections opened to targets.", func() uint64 { return n.gate.Connections().Opened }},
		{"target_connections_reused", countUnit, "Exchanges on kept connections to targets.", func() uint64 { return n.gate.Connections().Reused }},
		{"peer_connections_opened", countUnit, "Connections opened to other nodes for calls.", func() uint64 { return n.peers.Stats().Opened }},
		{"log_lines_dropped", countUnit, "Lines about requests and clients that exceeded the rate.", func() uint64 { return n.lines.Dropped() + n.clientLines.Dropped() }},
		{"answers_cut", countUnit, "Answers broken off.", n.stats.AnswersCut.Load},
		{"load_probes", countUnit, "Health checks of targets that were asked for the slowdown.", n.loadProbes.Load},
		{"loads_sent", countUnit, "Loads of targets in reports and answers to other nodes.", func() uint64 { return n.loads.Counts().Sent }},
		{"loads_received", countUnit, "Loads of targets in reports and answers from other nodes.", func() uint64 { return n.loads.Counts().Received }},
		{"loads_omitted", countUnit, "Loads of targets that did not fit in an answer.", func() uint64 { return n.loads.Counts().Omitted }},
		{"refused_stale", countUnit, "Older generations refused.", func() uint64 { return n.holder.Refused(holder.Stale) }},
		{"refused_forked", countUnit, "Equal generations with other content refused.", func() uint64 { return n.holder.Refused(holder.Forked) }},
		{"fleet_reports", countUnit, "Reports on the state of the fleet sent to hubs.", func() uint64 { return n.aggregator.Counts().Reports }},
		{"fleet_answers", countUnit, "Answers to such reports sent.", func() uint64 { return n.aggregator.Counts().Answers }},
		{"fleet_oversized", countUnit, "Parts of such reports and answers dropped for their size.", func() uint64 { return n.aggregator.Counts().Oversized }},
		{"fleet_hubs_passed_over", countUnit, "Hubs passed over because they were silent.", func() uint64 { return n.aggregator.Counts().PassedOver }},
		{"caps_admitted", countUnit, "Requests of workspaces admitted within their caps.", func() uint64 { return n.caps.counts().Admitted }},
		{"caps_rejected", countUnit, "Requests of workspaces rejected beyond their caps.", func() uint64 { return n.caps.counts().Rejected }},
		{"caps_alone", countUnit, "Decisions on caps without recent state of the fleet.", func() uint64 { return n.caps.counts().Alone }},
		{"caps_given_back", countUnit, "Admitted requests that have reached no target.", func() uint64 { return n.caps.counts().GivenBack }},
		{"caps_repeated", countUnit, "Further arrivals of admitted requests at targets.", func() uint64 { return n.caps.counts().Repeated }},
		{"refused_rejected", countUnit, "Incomplete or invalid generations refused.", func() uint64 { return n.holder.Refused(holder.Rejected) }},
	}
}

func (n *Node) countStoreCalls(yield func(value uint64, labels map[string]string)) {
	for c, v := range n.storeCalls.Counts() {
		yield(v, map[string]string{"kind": c.Kind, "purpose": string(c.Purpose)})
	}
}

func (n *Node) countSlotTimes(yield func(value uint64, labels map[string]string)) {
	for u, d := range n.gate.SlotTimes {
		yield(uint64(d.Milliseconds()), map[string]string{"use": string(u)})
	}
}

// slots returns the number of requests that the targets beside this node may run.
func (n *Node) slots() int64 {
	k := 0
	for _, t := range n.registrar.List() {
		if !t.Down {
			k += t.Gate.Load("").Slots
		}
	}
	return int64(k)
}

func (n *Node) gauges() []gauge {
	return []gauge{
		{"generation", countUnit, "Generation in force.", func() int64 { return int64(n.holder.Current().Generation()) }},
		{"confirmation_age", millisecondsUnit, "Time since the configuration was last known to be the newest one, -1 if it never was.", n.confirmationAge},
		{"known_nodes", countUnit, "Usable nodes known.", func() int64 { return int64(n.gossiper.View().Usable()) }},
		{"children", countUnit, "Nodes that pull from this one.", func() int64 { return int64(n.tallier.Children(time.Now())) }},
		{"relay", countUnit, "1 while this node is a relay.", func() int64 { return flag(n.gossiper.Self().Relay) }},
		{"targets", countUnit, "Targets beside this node.", func() int64 { return int64(len(n.registrar.List())) }},
		{"slots", countUnit, "Requests that the targets beside this node may run at once.", n.slots},
		{"loads_shared", countUnit, "1 while requests are placed by shared loads.", func() int64 { return flag(n.entry.SharesLoads(time.Now())) }},
		{"ejected_targets", countUnit, "Targets left alone for their failures.", func() int64 { return int64(n.entry.Ejected()) }},
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
