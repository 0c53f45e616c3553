package exchanger

import (
	"errors"
	"io"
)

// errHeaderTooLong reports a response header that exceeds maxHeaderBytes.
var errHeaderTooLong = errors.New("response header is too long")

// headerLimiter limits the bytes read while a response header is parsed.
// net/http reads headers of any size, and a faulty target may send an endless
// one.
type headerLimiter struct {
	reader    io.Reader
	limited   bool
	remaining int
}

// setLimit allows n more bytes to be read until clearLimit is called.
func (g *headerLimiter) setLimit(n int) {
	g.limited = true
	g.remaining = n
}

func (g *headerLimiter) clearLimit() {
	g.limited = false
}

// Read implements io.Reader.
func (g *headerLimiter) Read(p []byte) (int, error) {
	if !g.limited {
		return g.reader.Read(p)
	}
	if g.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := g.reader.Read(p[:min(len(p), g.remaining)])
	g.remaining -= n
	return n, err
}
