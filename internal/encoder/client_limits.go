package encoder

import (
	"io"

	"github.com/dragonflydoor/dragonflydoor/internal/parser"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	clientLimitsField    = "client_limits"
	maxClientHeaderBytes = 16 << 20
)

type clientLimitsJSON struct {
	MaxHeaderBytes int64  `json:"max_header_bytes,omitempty"`
	HeaderTimeout  string `json:"header_timeout,omitempty"`
	IdleTimeout    string `json:"idle_timeout,omitempty"`
}

// clientLimitsFromObject reads the limits in o, none if the field is missing.
func clientLimitsFromObject(o *parser.Object) router.ClientLimits {
	c := o.Object(clientLimitsField)
	l := router.ClientLimits{
		MaxHeaderBytes: c.Number("max_header_bytes", 0, 1, maxClientHeaderBytes),
		HeaderTimeout:  c.Duration("header_timeout", 0, minTimeout, maxTimeout),
		IdleTimeout:    c.Duration("idle_timeout", 0, minTimeout, maxTimeout),
	}
	c.Close()
	return l
}

// clientLimitsToJSON returns nil without limits, so that profiles without them keep their
// canonical form.
func clientLimitsToJSON(l router.ClientLimits) *clientLimitsJSON {
	if l == (router.ClientLimits{}) {
		return nil
	}
	return &clientLimitsJSON{
		MaxHeaderBytes: l.MaxHeaderBytes,
		HeaderTimeout:  formatDuration(l.HeaderTimeout),
		IdleTimeout:    formatDuration(l.IdleTimeout),
	}
}

// writeClientLimits adds the limits to the input of a profile's digest, nothing without
// limits.
func writeClientLimits(w io.Writer, l router.ClientLimits) {
	if j := clientLimitsToJSON(l); j != nil {
		_, _ = io.WriteString(w, clientLimitsField)
		_, _ = w.Write(mustMarshal(j))
	}
}
