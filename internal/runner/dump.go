package runner

import (
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
)

type (
	dumpJSON struct {
		Node       string            `json:"node"`
		DataCenter string            `json:"data_center"`
		Profile    string            `json:"profile"`
		UptimeMS   int64             `json:"uptime_ms"`
		Draining   bool              `json:"draining"`
		Relay      bool              `json:"relay"`
		StoreUp    bool              `json:"store_up"`
		Parent     string            `json:"parent,omitempty"`
		Children   int               `json:"children"`
		Generation uint64            `json:"generation"`
		Digest     string            `json:"digest,omitempty"`
		Profiles   []profileDumpJSON `json:"profiles"`
		Applied    []appliedJSON     `json:"applied"`
		Refused    refusedJSON       `json:"refused"`
		Targets    []targetDumpJSON  `json:"targets"`
		Members    []memberDumpJSON  `json:"members"`
		Traffic    trafficJSON       `json:"traffic"`
		Calls      callsJSON         `json:"calls"`
	}
	profileDumpJSON struct {
		Name     string `json:"name"`
		Version  uint64 `json:"version,omitempty"`
		Digest   string `json:"digest,omitempty"`
		Fallback string `json:"fallback,omitempty"`
		Services int    `json:"services"`
		Routes   int    `json:"routes"`
	}
	appliedJSON struct {
		Generation uint64    `json:"generation"`
		Digest     string    `json:"digest"`
		At         time.Time `json:"at"`
	}
	refusedJSON struct {
		Stale    uint64 `json:"stale"`
		Forked   uint64 `json:"forked"`
		Rejected uint64 `json:"rejected"`
	}
	targetDumpJSON struct {
		Service  string `json:"service"`
		Address  string `json:"address"`
		Draining bool   `json:"draining"`
		InFlight int    `json:"in_flight"`
		Waiting  int    `json:"waiting"`
	}
	memberDumpJSON struct {
		Node       string   `json:"node"`
		Address    string   `json:"address"`
		DataCenter string   `json:"data_center"`
		Condition  string   `json:"condition"`
		Status     string   `json:"status"`
		Relay      bool     `json:"relay"`
		Targets    []string `json:"targets,omitempty"`
	}
	trafficJSON struct {
		ControlReceived uint64 `json:"control_received_bytes"`
		ControlSent     uint64 `json:"control_sent_bytes"`
		CallsReceived   uint64 `json:"calls_received_bytes"`
		CallsSent       uint64 `json:"calls_sent_bytes"`
	}
	callsJSON struct {
		Requests   uint64 `json:"requests"`
		Retries    uint64 `json:"retries"`
		NotRun     uint64 `json:"not_run"`
		MayHaveRun uint64 `json:"may_have_run"`
		Cut        uint64 `json:"cut"`
		Ejected    int    `json:"ejected_targets"`
	}
)

// dump answers with the state of the whole process.
func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	c := n.holder.Current()
	s := n.gossiper.Self()
	j := dumpJSON{
		Node:       s.Node,
		DataCenter: s.DataCenter,
		Profile:    n.entry.Profile(),
		UptimeMS:   time.Since(n.started).Milliseconds(),
		Draining:   n.entry.Draining(),
		Relay:      s.Relay,
		StoreUp:    n.relayer.Connected(),
		Parent:     n.puller.Parent(),
		Children:   n.tallier.Children(time.Now()),
		Generation: c.Generation(),
		Profiles:   dumpProfiles(c),
		Applied:    dumpApplied(n.holder.AppliedGenerations()),
		Refused: refusedJSON{
			Stale:    n.holder.Refused(holder.Stale),
			Forked:   n.holder.Refused(holder.Forked),
			Rejected: n.holder.Refused(holder.Rejected),
		},
		Targets: n.dumpTargets(),
		Members: dumpMembers(n.gossiper.View().Members),
		Traffic: n.dumpTraffic(),
		Calls:   n.dumpCalls(),
	}
	if c != nil {
		j.Digest = c.StateDigest.String()
	}
	reply(w, j)
}

func dumpProfiles(c *holder.Snapshot) []profileDumpJSON {
	l := make([]profileDumpJSON, 0)
	if c == nil {
		return l
	}
	for _, e := range c.State.Entries {
		j := profileDumpJSON{Name: e.Profile, Version: e.Version, Fallback: e.Fallback}
		if p := c.Profile(e.Profile); p != nil {
			j.Digest = p.Digest.String()
			j.Services = len(p.Services)
			j.Routes = len(p.Routes)
		}
		l = append(l, j)
	}
	return l
}

func dumpApplied(list []holder.AppliedGeneration) []appliedJSON {
	l := make([]appliedJSON, 0, len(list))
	for _, a := range list {
		l = append(l, appliedJSON{Generation: a.Generation, Digest: a.Digest.String(), At: a.At})
	}
	return l
}

func (n *Node) dumpTargets() []targetDumpJSON {
	l := make([]targetDumpJSON, 0)
	for _, t := range n.registrar.List() {
		l = append(l, targetDumpJSON{
			Service:  t.Service,
			Address:  t.Address,
			Draining: t.Draining,
			InFlight: t.Gate.Running(),
			Waiting:  t.Gate.Waiting(),
		})
	}
	return l
}

func dumpMembers(list []gossiper.Member) []memberDumpJSON {
	l := make([]memberDumpJSON, 0, len(list))
	for _, m := range list {
		j := memberDumpJSON{
			Node:       m.Node,
			Address:    m.PeerAddress,
			DataCenter: m.DataCenter,
			Condition:  m.Condition.String(),
			Status:     m.Status.String(),
			Relay:      m.Relay,
		}
		for _, t := range m.Targets {
			j.Targets = append(j.Targets, t.Service+"@"+t.Address)
		}
		l = append(l, j)
	}
	return l
}

func (n *Node) dumpTraffic() trafficJSON {
	return trafficJSON{
		ControlReceived: n.control.Received(),
		ControlSent:     n.control.Sent(),
		CallsReceived:   n.callsReceived(),
		CallsSent:       n.callsSent(),
	}
}

func (n *Node) dumpCalls() callsJSON {
	return callsJSON{
		Requests:   n.stats.Requests.Load(),
		Retries:    n.stats.Retries.Load(),
		NotRun:     n.stats.NotRun.Load(),
		MayHaveRun: n.stats.MayHaveRun.Load(),
		Cut:        n.stats.AnswersCut.Load(),
		Ejected:    n.entry.Ejected(),
	}
}
