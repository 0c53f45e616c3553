package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// replayBytes is the size up to which a request's body is kept for retries.
const replayBytes = 64 << 10

// body is a request's body: kept in memory, or with a rest that is streamed.
type body struct {
	kept   []byte
	rest   io.Reader
	length int64
	used   bool
}

// readBody reads up to replayBytes of the body of r, until deadline, and leaves the
// rest to be streamed.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*body, error) {
	if r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	s := http.MaxBytesReader(w, r.Body, limit)
	k, err := io.ReadAll(io.LimitReader(s, replayBytes+1))
	if err != nil {
		return nil, err
	}
	if len(k) <= replayBytes {
		return &body{kept: k, length: int64(len(k))}, nil
	}
	return &body{kept: k, rest: s, length: r.ContentLength}, nil
}

// reader returns a reader of the whole body.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.kept)
	}
	b.used = true
	return io.MultiReader(bytes.NewReader(b.kept), b.rest)
}

// replayable reports whether reader can be called again: the body is kept whole or
// was not read yet.
func (b *body) replayable() bool {
	return b.rest == nil || !b.used
}
