package receiver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxChunkLine limits the line in front of a chunk, and a trailer line.
	maxChunkLine = 4 << 10
	// maxTrailerBytes limits all trailer lines of a request.
	maxTrailerBytes = 4 << 10
	// maxChunkOverhead limits what a client sends beside the data of chunks, beyond 16
	// bytes for each chunk and twice the data.
	maxChunkOverhead = 16 << 10
	chunkAllowance   = 16
)

var (
	errMalformedChunk = errors.New("malformed chunked encoding")
	errLongLine       = errors.New("line of a chunked body is too long")
)

// body is the body of a request.
type body struct {
	exchange *exchange
	// done is closed once the body has been read to its end, or cannot be.
	done chan struct{}
	// expect means that the client waits for 100 (Continue).
	expect atomic.Bool

	mu      sync.Mutex
	chunked bool
	// remaining is what is left of the body, or of the chunk.
	remaining int64
	inChunk   bool
	overhead  int64
	closed    bool
	err       error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	// Before mu is locked: discard is called with the lock of the response held.
	if b.expect.CompareAndSwap(true, false) {
		b.exchange.sendContinue()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

// Close implements io.Closer. What is left of the body is read before the response is
// sent.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

func (b *body) read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, b.end(err)
		}
	}
	n, err := b.exchange.conn.readInto(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case errors.Is(err, io.EOF):
		return n, b.end(io.ErrUnexpectedEOF)
	case err != nil:
		return n, b.end(err)
	case b.remaining == 0 && !b.chunked:
		return n, b.end(io.EOF)
	}
	return n, nil
}

// end ends the body: io.EOF means that it was read whole.
func (b *body) end(err error) error {
	b.err = err
	close(b.done)
	return err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last one.
func (b *body) nextChunk() error {
	c := b.exchange.conn
	if b.inChunk {
		b.inChunk = false
		if l, err := c.readLine(2); err != nil || len(l) != 0 {
			return chunkError(err)
		}
	}
	l, err := c.readLine(maxChunkLine)
	if err != nil {
		return chunkError(err)
	}
	n, ok := parseChunkLine(l)
	if !ok {
		return errMalformedChunk
	}
	b.overhead = max(b.overhead+int64(len(l))+2-chunkAllowance-2*n, 0)
	if b.overhead > maxChunkOverhead {
		return errMalformedChunk
	}
	if n == 0 {
		return b.readTrailer()
	}
	b.remaining, b.inChunk = n, true
	return nil
}

func chunkError(err error) error {
	switch {
	case err == nil:
		return errMalformedChunk
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseChunkLine returns the size of a chunk.
func parseChunkLine(l []byte) (int64, bool) {
	const maxDigits = 15
	l, _, _ = bytes.Cut(l, []byte{';'})
	l = bytes.TrimRight(l, " \t")
	if len(l) == 0 || len(l) > maxDigits {
		return 0, false
	}
	n := int64(0)
	for _, d := range l {
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		case d >= 'A' && d <= 'F':
			d -= 'A' - 10
		default:
			return 0, false
		}
		n = n<<4 | int64(d)
	}
	return n, true
}

// readTrailer reads the trailer lines and sets them in the request.
func (b *body) readTrailer() error {
	q := b.exchange.request
	for n := 0; n <= maxTrailerBytes; {
		l, err := b.exchange.conn.readLine(maxChunkLine)
		if err != nil {
			return chunkError(err)
		}
		if len(l) == 0 {
			return io.EOF
		}
		n += len(l) + 2
		k, v, f := parseHeaderLine(l)
		if f != nil {
			return errMalformedChunk
		}
		if q.Trailer == nil {
			q.Trailer = make(http.Header)
		}
		q.Trailer.Add(k, v)
	}
	return errLongLine
}

// discard reads what is left of the body, up to limit bytes, and reports whether the end
// was reached.
func (b *body) discard(limit int64) bool {
	if b.expect.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil && !b.chunked && b.remaining > limit {
		return false
	}
	p := make([]byte, min(limit, 4<<10))
	for b.err == nil && limit > 0 {
		n, _ := b.read(p)
		limit -= int64(n)
	}
	return errors.Is(b.err, io.EOF)
}

// abandon ends the body if it was not read to its end.
func (b *body) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.err == nil {
		_ = b.end(http.ErrBodyReadAfterClose)
	}
}

// unread reports whether the body was not read to its end.
func (b *body) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !errors.Is(b.err, io.EOF)
}
