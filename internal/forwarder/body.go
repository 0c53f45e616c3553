package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// replayBytes is the size up to which a request's body is kept for retries.
const replayBytes = 64 << 10

// errBodyConsumed reports that the streamed rest of a body was already read for an
// earlier attempt.
var errBodyConsumed = errors.New("the body was already passed on and is not kept")

// body is a request's body: kept in memory, or with a rest that is streamed.
type body struct {
	kept   []byte
	rest   io.Reader
	length int64
	// restReader is the reader that has begun to read the rest, which no other may.
	restReader *restReader
}

// readBody reads up to replayBytes of the body of r and leaves the rest to be streamed,
// both until deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*body, error) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	s := &timedBody{reader: http.MaxBytesReader(w, r.Body, limit), controller: c}
	k, err := io.ReadAll(io.LimitReader(s, replayBytes+1))
	if err != nil {
		return nil, err
	}
	if len(k) <= replayBytes {
		return &body{kept: k, length: int64(len(k))}, nil
	}
	return &body{kept: k, rest: s, length: r.ContentLength}, nil
}

// timedBody reads a body until the read deadline of its connection, which it removes at
// the end of the body: a caller that has sent its whole request may wait for longer. In
// front of an answer net/http reads what is left of a body, also until that deadline.
type timedBody struct {
	reader     io.Reader
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readUntil sets the time until which the rest of b, the body of the request that w
// answers, is read.
func (b *body) readUntil(deadline time.Time, w http.ResponseWriter) {
	if b.rest == nil {
		return
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	b.rest = &timedBody{reader: b.rest, controller: c}
}

// streamedBody returns the body of r, of which nothing is kept.
func streamedBody(r *http.Request) *body {
	if r.ContentLength == 0 {
		return &body{}
	}
	return &body{rest: r.Body, length: r.ContentLength}
}

// reader returns a reader of the whole body. If the rest was read through another one it
// fails after the kept part, so that a peer never takes that part for the whole body.
func (b *body) reader() io.Reader {
	if b == nil {
		return http.NoBody
	}
	if b.rest == nil {
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), &restReader{body: b})
}

// size returns the length of the body, -1 if it is sent in chunks.
func (b *body) size() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// replayable reports whether the body can be sent again: it is kept whole, or its rest
// was not read yet.
func (b *body) replayable() bool {
	return b.rest == nil || b.restReader == nil
}

// restReader reads the rest of a body.
type restReader struct{ body *body }

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	if r.body.restReader == nil {
		r.body.restReader = r
	}
	if r.body.restReader != r {
		return 0, errBodyConsumed
	}
	return r.body.rest.Read(p)
}
