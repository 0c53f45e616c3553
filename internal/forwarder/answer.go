package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is complete. It
	// is above the largest downloads of the users' deployments, and small compared to
	// the memory of a node.
	maxBufferedBytes = 1 << 20
	// maxBufferedBytesUnknownLength is the same limit for answers without a stated length. An endless
	// one takes this much memory on each node before it is streamed.
	maxBufferedBytesUnknownLength = 256 << 10
	streamBytes                   = 32 << 10
	// stallTimeout is the write timeout for one part of an answer.
	stallTimeout = 30 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([streamBytes]byte) }}

// answer is a response: buffered whole, or with a rest that is streamed.
type answer struct {
	status int
	header http.Header
	// length is the length of the whole body, -1 when it is not known.
	length int64
	held   []byte
	// calleeOverloaded means that the target failed after a call that it made for the
	// request was refused because of overload.
	calleeOverloaded bool
	// refusedBy is the service whose gates refused that call for load. It is known where
	// loads are shared.
	refusedBy string
	// rest is nil if the whole answer is buffered.
	rest io.ReadCloser
}

// bufferAnswer buffers the body of r, the answer to a request with method, until it is
// complete or too large to be buffered.
func bufferAnswer(r *exchanger.Response, method string) (*answer, error) {
	a := &answer{status: r.Status, header: r.Header, length: r.Length}
	if r.Length > maxBufferedBytes {
		a.rest = r.Body
		return a, nil
	}
	var b bytes.Buffer
	limit := int64(maxBufferedBytesUnknownLength)
	if r.Length >= 0 {
		limit = maxBufferedBytes
		b.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(r.Body, limit))
	a.held = b.Bytes()
	if err != nil {
		_ = r.Body.Close()
		return nil, err
	}
	if n == limit {
		a.rest = r.Body
		return a, nil
	}
	_ = r.Body.Close()
	if method != http.MethodHead {
		a.length = n
	}
	return a, nil
}

// cancelOnClose calls cancel once the answer has been streamed, or at once if it is buffered
// whole.
func (a *answer) cancelOnClose(cancel context.CancelFunc) *answer {
	if a.rest == nil {
		cancel()
		return a
	}
	a.rest = &cancelBody{ReadCloser: a.rest, cancel: cancel}
	return a
}

// discard closes what is left of an answer. It does nothing on nil.
func (a *answer) discard() {
	if a != nil && a.rest != nil {
		_ = a.rest.Close()
	}
}

type cancelBody struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// write sends the answer to w and closes it. A streamed one is sent until end, unless end
// is zero. An error means that the answer was cut short, which has to be visible to the
// caller.
func (a *answer) write(w http.ResponseWriter, end time.Time) error {
	defer a.discard()
	copyHeader(w.Header(), a.header)
	if bodyAllowed(a.status) {
		setLength(w.Header(), a.length)
	}
	w.WriteHeader(a.status)
	c := http.NewResponseController(w)
	if a.rest == nil {
		// A buffered answer is sent even after the deadline.
		end = time.Time{}
	}
	_ = c.SetWriteDeadline(partDeadline(end))
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	if _, err := w.Write(a.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if a.rest == nil {
		return nil
	}
	return stream(w, a.rest, end)
}

// partDeadline returns the write deadline for the next part of an answer.
func partDeadline(end time.Time) time.Time {
	t := time.Now().Add(stallTimeout)
	if !end.IsZero() && end.Before(t) {
		return end
	}
	return t
}

// stream copies r to w until end in parts of streamBytes and flushes each part.
func stream(w http.ResponseWriter, r io.Reader, end time.Time) error {
	b, _ := buffers.Get().(*[streamBytes]byte)
	defer buffers.Put(b)
	c := http.NewResponseController(w)
	// The connection may be reused for another request.
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	for {
		n, err := r.Read(b[:])
		_ = c.SetWriteDeadline(partDeadline(end))
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = c.Flush()
	}
}

func copyHeader(to, from http.Header) {
	for n, v := range from {
		to[n] = v
	}
}

func setLength(h http.Header, n int64) {
	if n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
