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
	// holdBytes is the size up to which an answer is held until complete: above
	// the largest downloads of the users' deployments, and small against the
	// memory of a node.
	holdBytes = 1 << 20
	// holdUnknownBytes is the same for answers that do not state their length: one
	// that never ends takes this much on each node before it is streamed.
	holdUnknownBytes = 256 << 10
	streamBytes      = 32 << 10
	// stallBound is how long a reader may take for one part of an answer.
	stallBound = 30 * time.Second
)

var buffers = sync.Pool{New: func() any { return new([streamBytes]byte) }}

// answer is a response, held whole or with the rest still to be streamed.
type answer struct {
	status int
	header http.Header
	// length is the length of the whole body, -1 when it is not known.
	length int64
	held   []byte
	// calleeOverloaded says that the target failed after a call that it made for the request
	// was refused for load.
	calleeOverloaded bool
	// rest is nil when the answer is held whole.
	rest io.ReadCloser
}

// hold reads the body of r, the answer to a request with method, until it is
// complete or too large to be held.
func hold(r *exchanger.Response, method string) (*answer, error) {
	a := &answer{status: r.Status, header: r.Header, length: r.Length}
	if r.Length > holdBytes {
		a.rest = r.Body
		return a, nil
	}
	var b bytes.Buffer
	limit := int64(holdUnknownBytes)
	if r.Length >= 0 {
		limit = holdBytes
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

// closing ends cancel's context once the answer has been passed on.
func (a *answer) closing(cancel context.CancelFunc) *answer {
	if a.rest == nil {
		cancel()
		return a
	}
	a.rest = &cancelBody{ReadCloser: a.rest, cancel: cancel}
	return a
}

// discard gives up an answer that is not passed on. It does nothing on nil.
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

// write passes the answer on, and one that is streamed until end, unless that is
// zero. An error means that it was cut short, which the caller must be able to see.
func (a *answer) write(w http.ResponseWriter, end time.Time) error {
	copyHeader(w.Header(), a.header)
	if bodyAllowed(a.status) {
		setLength(w.Header(), a.length)
	}
	w.WriteHeader(a.status)
	c := http.NewResponseController(w)
	if a.rest == nil {
		// An answer that is ready is delivered, also late.
		end = time.Time{}
	}
	_ = c.SetWriteDeadline(stallUntil(end))
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	if _, err := w.Write(a.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if a.rest == nil {
		return nil
	}
	defer func() { _ = a.rest.Close() }()
	return stream(w, a.rest, end)
}

// stallUntil is until when a reader may take one part of an answer.
func stallUntil(end time.Time) time.Time {
	t := time.Now().Add(stallBound)
	if !end.IsZero() && end.Before(t) {
		return end
	}
	return t
}

// stream copies in small parts and flushes each, in constant memory, until end.
func stream(w http.ResponseWriter, r io.Reader, end time.Time) error {
	b, _ := buffers.Get().(*[streamBytes]byte)
	defer buffers.Put(b)
	c := http.NewResponseController(w)
	// The connection may be kept for another request.
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	for {
		n, err := r.Read(b[:])
		_ = c.SetWriteDeadline(stallUntil(end))
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
