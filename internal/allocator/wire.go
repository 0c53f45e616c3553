package allocator

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// id identifies a workspace on the wire.
type id uint32

func idOf(workspace string) id {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace))
	return id(h.Sum32())
}

// usage counts what became of requests. Both counts only grow, but for requests that are
// given back.
type usage struct {
	admitted, rejected int64
}

// freed returns how many requests become free in the time d after the offer was true.
func (o offer) freed(d, refillTime time.Duration) float64 {
	return o.refill*min(d, refillTime).Seconds() + o.later*max(d-refillTime, 0).Seconds()
}

func (u usage) plus(v usage) usage {
	return usage{u.admitted + v.admitted, u.rejected + v.rejected}
}

func (u usage) minus(v usage) usage {
	return usage{u.admitted - v.admitted, u.rejected - v.rejected}
}

// offer is what the root tells of a workspace whose level is not high.
type offer struct {
	workspace id
	// level is how many more requests all nodes together may admit in the window.
	level float64
	// refill is how many a second become free in the next refillTime, and later how many
	// after that. demand is how many a second are asked.
	refill, later, demand float64
	// fraction is the part of the requests to admit where too few come to count tokens.
	fraction float64
	// wait is when the turn of a rejected request comes.
	wait time.Duration
}

const (
	// unit scales fractional numbers on the wire.
	unit        = 32
	waitUnit    = 50 * time.Millisecond
	headerBytes = 12
	idBytes     = 4
	// maxUsage is the longest encoding of a usage.
	maxUsage = idBytes + 2*10
	// partial marks the age of an answer in which not all offers fitted.
	partial = 1 << 31
)

// header begins reports and answers.
type header struct {
	// session is the sender's: of the counters in a report, or the epoch of the tier
	// that answers.
	session uint32
	// peer is the epoch that a report is meant for, or the hash of the configuration of
	// an answer.
	peer uint32
	// age of the root's offers in milliseconds, plus 1; 0 if there are none.
	age uint32
}

func (h header) encode() []byte {
	b := make([]byte, 0, 2*headerBytes)
	b = binary.LittleEndian.AppendUint32(b, h.session)
	b = binary.LittleEndian.AppendUint32(b, h.peer)
	return binary.LittleEndian.AppendUint32(b, h.age)
}

func readHeader(b []byte) (header, []byte, bool) {
	if len(b) < headerBytes {
		return header{}, nil, false
	}
	return header{
		session: binary.LittleEndian.Uint32(b),
		peer:    binary.LittleEndian.Uint32(b[4:]),
		age:     binary.LittleEndian.Uint32(b[8:]),
	}, b[headerBytes:], true
}

func appendUsage(b []byte, k id, u usage) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(k))
	b = binary.AppendVarint(b, u.admitted)
	return binary.AppendVarint(b, u.rejected)
}

func appendOffer(b []byte, o offer) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(o.workspace))
	b = binary.AppendVarint(b, int64(o.level))
	b = binary.AppendUvarint(b, uint64(o.refill*unit))
	b = binary.AppendUvarint(b, uint64(o.later*unit))
	b = binary.AppendUvarint(b, uint64(o.demand*unit))
	b = binary.LittleEndian.AppendUint16(b, uint16(min(max(o.fraction, 0), 1)*0xffff))
	return binary.AppendUvarint(b, uint64(o.wait/waitUnit))
}

// reader reads numbers from a body. It fails for good at the first one that is cut short.
type reader struct {
	body   []byte
	failed bool
}

func (r *reader) more() bool {
	return len(r.body) > 0 && !r.failed
}

func (r *reader) take(n int) []byte {
	if n <= 0 || n > len(r.body) {
		r.failed, r.body = true, nil
		return make([]byte, idBytes)
	}
	b := r.body[:n]
	r.body = r.body[n:]
	return b
}

func (r *reader) id() id {
	return id(binary.LittleEndian.Uint32(r.take(idBytes)))
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.body)
	r.take(n)
	return v
}

func (r *reader) unsigned() uint64 {
	v, n := binary.Uvarint(r.body)
	r.take(n)
	return v
}

func (r *reader) usage() (id, usage) {
	k := r.id()
	return k, usage{admitted: r.signed(), rejected: r.signed()}
}

func (r *reader) offer() offer {
	return offer{
		workspace: r.id(),
		level:     float64(r.signed()),
		refill:    float64(r.unsigned()) / unit,
		later:     float64(r.unsigned()) / unit,
		demand:    float64(r.unsigned()) / unit,
		fraction:  float64(binary.LittleEndian.Uint16(r.take(2))) / 0xffff,
		wait:      time.Duration(min(r.unsigned(), 1<<16)) * waitUnit,
	}
}

// readOffers returns the offers of an answer.
func readOffers(body []byte) (map[id]offer, bool) {
	l := make(map[id]offer)
	d := reader{body: body}
	for d.more() {
		o := d.offer()
		l[o.workspace] = o
	}
	return l, !d.failed
}
