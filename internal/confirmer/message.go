package confirmer

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Kind is the type of a message. The numbers follow those of gossip packets, with which
// messages share a socket; builds that do not know them drop such packets.
type Kind uint8

// The kinds of messages.
const (
	// Question asks the parent to say when its configuration is confirmed, now and after
	// each confirmation.
	Question Kind = 7
	// Answer answers a question. There may be several for one question.
	Answer Kind = 8
)

// digestBytes is how many bytes of a state's digest identify it in messages.
const digestBytes = 8

// Configuration identifies a configuration.
type Configuration struct {
	Generation uint64
	Digest     [digestBytes]byte
}

// NewConfiguration returns the configuration with this generation and state digest.
func NewConfiguration(generation uint64, digest [32]byte) Configuration {
	return Configuration{Generation: generation, Digest: [digestBytes]byte(digest[:digestBytes])}
}

// Message is one datagram.
type Message struct {
	Kind Kind
	// Number identifies the question. It is random, so that no process takes the answer to
	// a question of an earlier one for its own.
	Number uint64
	// Configuration is the one that the sender of an answer holds.
	Configuration Configuration
	// Confirmed means that the configuration is confirmed, and After is the time from the
	// arrival of the question to the confirmation, negative for an earlier one.
	Confirmed bool
	After     time.Duration
}

// The numbers of the fields. Those that packets have too have the same meaning there.
const (
	kindField       = 1
	numberField     = 2
	generationField = 5
	digestField     = 8
	afterField      = 12
	confirmedField  = 13
)

// Encode returns the wire form of m.
func Encode(m Message) []byte {
	b := protowire.AppendTag(nil, kindField, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(m.Kind))
	b = protowire.AppendTag(b, numberField, protowire.VarintType)
	b = protowire.AppendVarint(b, m.Number)
	if m.Kind == Question {
		return b
	}
	b = protowire.AppendTag(b, generationField, protowire.VarintType)
	b = protowire.AppendVarint(b, m.Configuration.Generation)
	b = protowire.AppendTag(b, digestField, protowire.BytesType)
	b = protowire.AppendBytes(b, m.Configuration.Digest[:])
	if m.Confirmed {
		b = protowire.AppendTag(b, afterField, protowire.VarintType)
		b = protowire.AppendVarint(b, protowire.EncodeZigZag(floorMicros(m.After)))
		b = protowire.AppendTag(b, confirmedField, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	return b
}

// floorMicros rounds down, so that a confirmation never becomes later.
func floorMicros(d time.Duration) int64 {
	n := int64(d / time.Microsecond)
	if d%time.Microsecond < 0 {
		n--
	}
	return n
}

// IsMessage reports whether data has the form of a message and not of a packet.
func IsMessage(data []byte) bool {
	return len(data) > 1 && data[0] == kindField<<3 && (Kind(data[1]) == Question || Kind(data[1]) == Answer)
}

// Decode parses the wire form of a message. It returns false if data is malformed.
// Unknown fields are ignored.
func Decode(data []byte) (Message, bool) {
	var m Message
	for len(data) > 0 {
		n, t, k := protowire.ConsumeTag(data)
		if k < 0 {
			return Message{}, false
		}
		data = data[k:]
		switch {
		case n == digestField && t == protowire.BytesType:
			v, k := protowire.ConsumeBytes(data)
			if k < 0 || len(v) != digestBytes {
				return Message{}, false
			}
			copy(m.Configuration.Digest[:], v)
			data = data[k:]
		case t == protowire.VarintType:
			v, k := protowire.ConsumeVarint(data)
			if k < 0 {
				return Message{}, false
			}
			m.set(int(n), v)
			data = data[k:]
		default:
			k := protowire.ConsumeFieldValue(n, t, data)
			if k < 0 {
				return Message{}, false
			}
			data = data[k:]
		}
	}
	return m, m.Kind == Question || m.Kind == Answer
}

func (m *Message) set(field int, v uint64) {
	switch field {
	case kindField:
		m.Kind = Kind(min(v, 0xff))
	case numberField:
		m.Number = v
	case generationField:
		m.Configuration.Generation = v
	case afterField:
		// Values beyond maxAfter are no answers of a node.
		if n := protowire.DecodeZigZag(v); n > -maxAfterMicros && n < maxAfterMicros {
			m.After = time.Duration(n) * time.Microsecond
		} else {
			m.Kind = 0
		}
	case confirmedField:
		m.Confirmed = v == 1
	}
}
