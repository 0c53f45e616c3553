package stager

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/evaluator"
)

const (
	// maxReportBytes leaves room in a datagram of 1,200 bytes for its head and for the
	// reports of other topics' sections.
	maxReportBytes = 1000
	maxTextBytes   = 255
	// maxCountBytes is what the number of routes takes.
	maxCountBytes = 2
	// oldGroup marks counts of the versions in use.
	oldGroup = 0xff
)

// report is what a node, or a hub for its data centre, tells of one service.
type report struct {
	service  string
	revision uint64
	// step is the step that the node acts on, 0 if it has not heard recently; a hub
	// reports the least one. Share is that step's.
	step  uint32
	share uint32
	age   time.Duration
	// nodes is the number of nodes that report.
	nodes uint32
	// requests and exposed count what was sent to targets since the order, to all
	// versions and to the one on trial.
	requests uint64
	exposed  uint64
	oldCalls uint32
	newCalls uint32
	// cold is the number of nodes whose target of the version on trial has just started.
	cold   uint32
	counts evaluator.Counts
}

// encodeReports returns nil for an empty list. Reports are unsigned varints in the order
// of the fields; texts have a length before them. Counts that do not fit are told in
// another turn.
func encodeReports(l []report, turn int) []byte {
	if len(l) == 0 {
		return nil
	}
	var b []byte
	for i, r := range l {
		e := r.encode((maxReportBytes-len(b))/(len(l)-i), turn)
		if len(b)+len(e) <= maxReportBytes {
			b = append(b, e...)
		}
	}
	return b
}

func (r report) encode(limit, turn int) []byte {
	b := appendText(nil, r.service)
	for _, n := range []uint64{
		r.revision, uint64(r.step), uint64(r.share), uint64(max(r.age, 0) / time.Millisecond), uint64(r.nodes),
		r.requests, r.exposed, uint64(r.oldCalls), uint64(r.newCalls), uint64(r.cold),
	} {
		b = binary.AppendUvarint(b, n)
	}
	routes := make(map[string]map[uint8]evaluator.Histogram)
	for k, h := range r.counts {
		if routes[k.Route] == nil {
			routes[k.Route] = make(map[uint8]evaluator.Histogram)
		}
		g := uint8(oldGroup)
		if k.New {
			g = k.Group
		}
		routes[k.Route][g] = h
	}
	names := slices.Sorted(maps.Keys(routes))
	told, list := 0, []byte(nil)
	for i := range names {
		n := names[(i+turn)%len(names)]
		e := binary.AppendUvarint(appendText(nil, n), uint64(len(routes[n])))
		for _, g := range slices.Sorted(maps.Keys(routes[n])) {
			e = appendHistogram(append(e, g), routes[n][g])
		}
		if len(b)+len(list)+len(e)+maxCountBytes > limit {
			break
		}
		list = append(list, e...)
		told++
	}
	return append(binary.AppendUvarint(b, uint64(told)), list...)
}

// appendHistogram writes a bit for each count that is not 0, and those counts.
func appendHistogram(b []byte, h evaluator.Histogram) []byte {
	var used uint32
	for i, c := range h {
		if c > 0 {
			used |= 1 << i
		}
	}
	b = binary.AppendUvarint(b, uint64(used))
	for _, c := range h {
		if c > 0 {
			b = binary.AppendUvarint(b, uint64(c))
		}
	}
	return b
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextBytes)]
	return append(append(b, byte(len(s))), s...)
}

var errMalformed = errors.New("stager: malformed message")

// reader reads what the functions above append. After a fault it returns zeros.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) uvarint() uint64 {
	n, k := binary.Uvarint(r.data)
	if k <= 0 {
		r.bad, r.data = true, nil
		return 0
	}
	r.data = r.data[k:]
	return n
}

func (r *reader) small() uint32 {
	return uint32(min(r.uvarint(), math.MaxUint32))
}

func (r *reader) duration() time.Duration {
	return time.Duration(r.small()) * time.Millisecond
}

func (r *reader) octet() uint8 {
	if len(r.data) == 0 {
		r.bad = true
		return 0
	}
	c := r.data[0]
	r.data = r.data[1:]
	return c
}

func (r *reader) text() string {
	n := int(r.octet())
	if n > len(r.data) {
		r.bad, r.data = true, nil
		return ""
	}
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

func (r *reader) histogram() evaluator.Histogram {
	var h evaluator.Histogram
	used := r.small()
	for i := range h {
		if used&(1<<i) != 0 {
			h[i] = r.small()
		}
	}
	return h
}

func decodeReports(data []byte) ([]report, error) {
	r := &reader{data: data}
	var l []report
	for len(r.data) > 0 && !r.bad {
		p := report{service: r.text(), revision: r.uvarint(), step: r.small(), share: r.small(), age: r.duration(), nodes: r.small()}
		p.requests, p.exposed, p.oldCalls, p.newCalls, p.cold = r.uvarint(), r.uvarint(), r.small(), r.small(), r.small()
		p.counts = r.counts()
		l = append(l, p)
	}
	if r.bad {
		return nil, errMalformed
	}
	return l, nil
}

func (r *reader) counts() evaluator.Counts {
	c := make(evaluator.Counts)
	for n := r.uvarint(); n > 0 && !r.bad; n-- {
		route := r.text()
		for m := r.uvarint(); m > 0 && !r.bad; m-- {
			k := evaluator.Key{Route: route}
			if g := r.octet(); g != oldGroup {
				k.New, k.Group = true, g%evaluator.Groups
			}
			c[k] = r.histogram()
		}
	}
	return c
}

// encodeAnswer returns nil for an empty list. Age is the time since it was formed at the
// root.
func encodeAnswer(age time.Duration, l []directive) []byte {
	if len(l) == 0 {
		return nil
	}
	// Running roll-outs go first, in case that not all fit.
	slices.SortStableFunc(l, func(a, b directive) int { return cmp.Compare(a.phase, b.phase) })
	b := binary.AppendUvarint(nil, uint64((max(age, 0)+time.Millisecond-1)/time.Millisecond))
	for _, d := range l {
		e := appendText(appendText(nil, d.service), d.version)
		for _, n := range []uint64{
			d.revision, uint64(d.phase), uint64(d.step), uint64(d.share), uint64(d.pulse), uint64(d.targets), uint64(max(d.age, 0) / time.Millisecond),
			d.grant, d.requests, d.exposed, uint64(d.evidence), uint64(d.support),
		} {
			e = binary.AppendUvarint(e, n)
		}
		if len(b)+len(e) <= maxReportBytes {
			b = append(b, e...)
		}
	}
	return b
}

func decodeAnswer(data []byte) (time.Duration, []directive, error) {
	if len(data) == 0 {
		return 0, nil, nil
	}
	r := &reader{data: data}
	age := r.duration()
	var l []directive
	for len(r.data) > 0 && !r.bad {
		d := directive{service: r.text(), version: r.text(), revision: r.uvarint(), phase: Phase(min(r.uvarint(), uint64(RolledBack)))}
		d.step, d.share, d.pulse, d.targets, d.age = r.small(), r.small(), r.small(), r.small(), r.duration()
		d.grant, d.requests, d.exposed, d.evidence, d.support = r.uvarint(), r.uvarint(), r.uvarint(), r.small(), r.small()
		l = append(l, d)
	}
	if r.bad {
		return 0, nil, errMalformed
	}
	return age, l, nil
}
