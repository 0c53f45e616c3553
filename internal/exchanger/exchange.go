package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"golang.org/x/net/http/httpguts"

	"github.com/dragonflydoor/dragonflydoor/internal/screener"
)

var (
	// errMissingID reports a response without the required request ID.
	errMissingID = errors.New("response has no request ID")
	// errTooManyResponses reports too many interim or stale responses before
	// the expected one.
	errTooManyResponses = errors.New("too many interim or stale responses before the expected one")
)

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *Request
	stop    func() bool
	once    sync.Once
	// sent says that some bytes of the request may have been written.
	sent bool
	// began is when the request began to be sent, and interim counts the interim
	// responses since.
	began   time.Time
	interim int
	// readBy is when the response must have been read whose request could not be written.
	readBy time.Time
	// source is the body while it is written.
	source source
	// heard is when the response began to be awaited, or when the peer last sent an
	// interim response.
	heard time.Time
	// endUnproven says that the end of the connection does not mark the end of a body: a
	// socket reports a reset once, and the writer of the request may have got it.
	endUnproven bool
	// noReuse says that the connection must not be reused, because of
	// unexpected data or because the response ends it.
	noReuse bool
	// staleResponses counts the discarded responses to earlier requests, and
	// staleBytes the bytes of their bodies.
	staleResponses int
	staleBytes     int64
}

func (x *exchange) run() (*Response, error) {
	x.began = time.Now()
	if err := x.write(); err != nil {
		if x.source.err != nil {
			// The peer waits for the rest of a body that does not come.
			return nil, err
		}
		// The peer may have responded before it read the whole body.
		x.readBy = time.Now().Add(unreadResponseTimeout)
		r, e := x.read() //nolint:bodyclose // the caller closes the response
		if e != nil {
			return nil, err
		}
		x.noReuse = true
		x.endUnproven = isCloseDelimited(r)
		return x.response(r), nil
	}
	r, err := x.read() //nolint:bodyclose // the caller closes the response
	if err != nil {
		return nil, err
	}
	return x.response(r), nil
}

// write sends the request. A small body is sent in the same write as the
// header.
func (x *exchange) write() error {
	q := x.request
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	b := appendRequestHeader(make([]byte, 0, requestBufferBytes), q)
	if k, ok := q.Body.(interface{ Len() int }); ok && q.Length >= 0 && int64(k.Len()) == q.Length && q.Length <= maxInlineBodyBytes {
		n := len(b)
		b = slices.Grow(b, int(q.Length))[:n+int(q.Length)]
		if _, err := io.ReadFull(q.Body, b[n:]); err != nil {
			return err
		}
		return x.send(b)
	}
	if err := x.send(b); err != nil {
		return err
	}
	return x.writeBody()
}

func (x *exchange) writeBody() error {
	q := x.request
	if q.Length == 0 || q.Body == nil {
		return nil
	}
	w := timeoutWriter{x.conn}
	x.source.Reader = q.Body
	if q.Length > 0 {
		n, err := io.Copy(w, io.LimitReader(&x.source, q.Length))
		if err == nil && n < q.Length {
			x.source.err = io.ErrUnexpectedEOF
			return io.ErrUnexpectedEOF
		}
		return err
	}
	c := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(c, &x.source); err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return err
	}
	return x.send([]byte("\r\n"))
}

// source is a body that keeps the error at which it could not be read further.
type source struct {
	io.Reader

	err error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

func (x *exchange) send(b []byte) error {
	n, err := x.conn.Write(b)
	x.sent = x.sent || n > 0
	return err
}

// timeoutWriter sets a deadline for each write to a connection.
type timeoutWriter struct{ net.Conn }

// Write implements io.Writer.
func (s timeoutWriter) Write(b []byte) (int, error) {
	_ = s.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.Conn.Write(b)
}

const (
	requestBufferBytes = 1 << 10
	// maxInlineBodyBytes is the maximum size of a body that is sent together
	// with the header.
	maxInlineBodyBytes = 16 << 10
)

// check returns an error if a part of q would change the meaning of the header that
// appendRequestHeader writes.
func (q *Request) check() error {
	if !httpguts.ValidHeaderFieldName(q.Method) {
		return fmt.Errorf("method %q is not valid", q.Method)
	}
	if q.URI == "" || strings.ContainsFunc(q.URI, func(c rune) bool { return c <= ' ' || c == unicode.MaxASCII }) {
		return fmt.Errorf("path %q is not valid", q.URI)
	}
	if !httpguts.ValidHostHeader(q.Host) {
		return fmt.Errorf("host %q is not valid", q.Host)
	}
	return screener.CheckFields(q.Header)
}

// appendRequestHeader appends the header of q, which check has accepted, to b.
func appendRequestHeader(b []byte, q *Request) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for n, l := range q.Header {
		for _, v := range l {
			b = append(b, n...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	switch {
	case q.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case q.Length > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, q.Length, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// read returns the response to this request. It discards interim responses and
// those to earlier requests.
func (x *exchange) read() (*http.Response, error) {
	q := &http.Request{Method: x.request.Method}
	x.heard = time.Now()
	if !x.readBy.IsZero() {
		// Interim responses may have arrived since the request began.
		x.heard = x.began
	}
	for range maxResponses {
		x.limitRead()
		r, err := x.readHeader(q)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			x.heard = time.Now()
			if x.interim++; float64(x.interim) > interimBurst+interimPerSecond*time.Since(x.began).Seconds() {
				return nil, errTooManyResponses
			}
			continue
		}
		matches, err := x.matches(r)
		if err != nil {
			return nil, err
		}
		if matches {
			return r, nil
		}
	}
	return nil, errTooManyResponses
}

// limitRead limits the time until the next response header has been read.
func (x *exchange) limitRead() {
	s := x.client.options.ReadTimeout
	switch {
	case !x.readBy.IsZero():
		_ = x.conn.SetReadDeadline(x.readBy)
	case s > 0 && !x.request.NoReadTimeout:
		_ = x.conn.SetReadDeadline(time.Now().Add(s))
	}
}

// readHeader reads the next response header on the connection, whichever
// request it belongs to.
func (x *exchange) readHeader(q *http.Request) (*http.Response, error) {
	x.conn.headerLimiter.setLimit(maxHeaderBytes)
	defer x.conn.headerLimiter.clearLimit()
	r, err := http.ReadResponse(x.conn.reader, q)
	if err != nil {
		return nil, err
	}
	return r, screener.CheckHead(r)
}

// matches compares request IDs and discards a response to another request.
func (x *exchange) matches(r *http.Response) (bool, error) {
	if x.request.IDHeader == "" {
		return true, nil
	}
	switch id := r.Header.Get(x.request.IDHeader); {
	case id == x.request.ID:
		return true, nil
	case id == "" && x.request.IDOptional:
		return true, nil
	case id == "":
		return false, errMissingID
	default:
		return false, x.discardStale(r, id)
	}
}

// discardStale reads and discards the response r to request id, which precedes
// the expected one.
func (x *exchange) discardStale(r *http.Response, id string) error {
	x.noReuse = true
	if x.staleResponses++; x.staleResponses > maxStaleResponses {
		return errTooManyResponses
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(staleReadTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStaleBytes-x.staleBytes))
	x.staleBytes += n
	if err == nil && (x.staleBytes >= maxStaleBytes || isCloseDelimited(r)) {
		err = fmt.Errorf("cannot skip the response to request %q before the one to %q", id, x.request.ID)
	}
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	return err
}

// isCloseDelimited reports whether the body of r ends with the connection.
func isCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

func (x *exchange) response(r *http.Response) *Response {
	u := isCloseDelimited(r)
	x.noReuse = x.noReuse || u || r.Close
	if s := x.client.options.ReadTimeout; s > 0 || !x.readBy.IsZero() {
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	return &Response{
		Status:         r.StatusCode,
		Header:         r.Header,
		Length:         r.ContentLength,
		CloseDelimited: u,
		Body:           &body{Reader: r.Body, exchange: x, header: r.Header},
	}
}

// body returns the connection to the client once it has been read to its end.
type body struct {
	io.Reader

	exchange *exchange
	header   http.Header
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.exchange.endUnproven {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, io.EOF) {
		b.exchange.release(b.header)
	} else if err != nil {
		b.exchange.closeConn()
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body was not read
// to its end.
func (b *body) Close() error {
	b.exchange.closeConn()
	return nil
}

// Drain reads the rest of an unneeded body if it is short and arrives quickly,
// so that the connection can be reused. It closes the body.
func (r *Response) Drain() {
	b, ok := r.Body.(*body)
	if ok && r.Length <= maxDrainBytes {
		_ = b.exchange.conn.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, b, maxDrainBytes+1)
	}
	_ = r.Body.Close()
}

// release keeps the connection for reuse if that is possible, and closes it
// otherwise.
func (x *exchange) release(h http.Header) {
	x.once.Do(func() {
		if !x.stop() || x.noReuse || x.conn.reader.Buffered() > 0 {
			_ = x.conn.Close()
			return
		}
		x.client.putIdle(x.conn, h, time.Now())
	})
}

func (x *exchange) closeConn() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

func (x *exchange) wrapError(ctx context.Context, err error) error {
	e := &Error{Cause: Broken, Sent: x.sent, Reused: x.conn.served > 0, Err: err}
	if !x.heard.IsZero() {
		e.Silent = time.Since(x.heard)
	}
	switch {
	case x.source.err != nil:
		e.Cause = Incomplete
	case ctx.Err() != nil:
		e.Cause = Canceled
		e.Err = errors.Join(context.Cause(ctx), err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Cause = TimedOut
	}
	return e
}
