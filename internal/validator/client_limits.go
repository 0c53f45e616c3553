package validator

import (
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

// Bounds of the limits for callers; zero means the default.
const (
	maxClientHeaderBytes = 16 << 20
	minClientTimeout     = time.Millisecond
	maxClientTimeout     = time.Hour
)

func (c checker) clientLimits(l router.ClientLimits) {
	if n := l.MaxHeaderBytes; n < 0 || n > maxClientHeaderBytes {
		c.report.Add("client_limits.max_header_bytes", n, "a whole number from 1 to 16777216")
	}
	for _, f := range []struct {
		path  string
		value time.Duration
	}{
		{"client_limits.header_timeout", l.HeaderTimeout}, {"client_limits.idle_timeout", l.IdleTimeout},
	} {
		if d := f.value; d != 0 && (d < minClientTimeout || d > maxClientTimeout) {
			c.report.Add(f.path, d.String(), "a duration from 1ms to 1h")
		}
	}
}
