package exchanger

import (
	"errors"
	"io"
)

// errHeadTooLong reports a head that is longer than any sound one.
var errHeadTooLong = errors.New("the head of the answer does not end")

// guard bounds what is read while a head is parsed: net/http reads heads of any
// size, and a target in trouble may send one that never ends.
type guard struct {
	reader  io.Reader
	limited bool
	left    int
}

// limit allows n more bytes until lift is called.
func (g *guard) limit(n int) {
	g.limited = true
	g.left = n
}

func (g *guard) lift() {
	g.limited = false
}

// Read implements io.Reader.
func (g *guard) Read(p []byte) (int, error) {
	if !g.limited {
		return g.reader.Read(p)
	}
	if g.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := g.reader.Read(p[:min(len(p), g.left)])
	g.left -= n
	return n, err
}
