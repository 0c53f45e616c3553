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
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
)

var (
	// errStray reports an answer that has no identifier although it should.
	errStray = errors.New("the answer does not say which request it answers")
	// errCrowded reports that too much lies before the answer.
	errCrowded = errors.New("too many other answers lie before the one that is due")
)

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *Request
	stop    func() bool
	once    sync.Once
	// sent says that some byte may have been handed over.
	sent bool
	// odd says that something unexpected was seen on the connection.
	odd bool
	// strays counts the answers to others that were read away, and skipped their
	// bytes.
	strays  int
	skipped int64
}

func (x *exchange) run() (*Response, error) {
	if err := x.write(); err != nil {
		// The other side may have answered before it read the whole body.
		r, e := x.read() //nolint:bodyclose // the caller closes the response
		if e != nil {
			return nil, err
		}
		x.odd = true
		return x.response(r), nil
	}
	r, err := x.read() //nolint:bodyclose // the caller closes the response
	if err != nil {
		return nil, err
	}
	return x.response(r), nil
}

// write sends the head, and with it a body that is small.
func (x *exchange) write() error {
	q := x.request
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeBound))
	b := appendHead(make([]byte, 0, headBytes), q)
	if k, ok := q.Body.(interface{ Len() int }); ok && q.Length >= 0 && int64(k.Len()) == q.Length && q.Length <= inlineBytes {
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
	w := stalling{x.conn}
	if q.Length > 0 {
		n, err := io.Copy(w, io.LimitReader(q.Body, q.Length))
		if err == nil && n < q.Length {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	c := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(c, q.Body); err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return err
	}
	return x.send([]byte("\r\n"))
}

func (x *exchange) send(b []byte) error {
	n, err := x.conn.Write(b)
	x.sent = x.sent || n > 0
	return err
}

// stalling bounds each write to a connection.
type stalling struct{ net.Conn }

// Write implements io.Writer.
func (s stalling) Write(b []byte) (int, error) {
	_ = s.SetWriteDeadline(time.Now().Add(writeBound))
	return s.Conn.Write(b)
}

const (
	headBytes = 1 << 10
	// inlineBytes is the size up to which a body is sent together with its head.
	inlineBytes = 16 << 10
)

// appendHead writes the head of q. Callers keep line breaks out of its parts:
// net/http refuses them in what it reads.
func appendHead(b []byte, q *Request) []byte {
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

// read returns the head of the answer to this request. Answers to others that
// lie before it on the connection are read away.
func (x *exchange) read() (*http.Response, error) {
	q := &http.Request{Method: x.request.Method}
	var interim *limiter.Bucket
	for range maxHeads {
		if s := x.client.options.Silence; s > 0 && !x.request.Patient {
			_ = x.conn.SetReadDeadline(time.Now().Add(s))
		}
		r, err := x.head(q)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			if interim == nil {
				interim = limiter.NewBucket(interimPerSecond, interimBurst)
			}
			if !interim.Take(time.Now()) {
				return nil, errCrowded
			}
			continue
		}
		mine, err := x.mine(r)
		if err != nil {
			return nil, err
		}
		if mine {
			return r, nil
		}
	}
	return nil, errCrowded
}

// head reads the next head on the connection, whichever request it answers.
func (x *exchange) head(q *http.Request) (*http.Response, error) {
	x.conn.guard.limit(maxHeadBytes)
	defer x.conn.guard.lift()
	return http.ReadResponse(x.conn.reader, q)
}

// mine compares identifiers and reads away an answer to another request.
func (x *exchange) mine(r *http.Response) (bool, error) {
	if x.request.IDHeader == "" {
		return true, nil
	}
	switch id := r.Header.Get(x.request.IDHeader); {
	case id == x.request.ID:
		return true, nil
	case id == "" && x.request.EchoOptional:
		return true, nil
	case id == "":
		return false, errStray
	default:
		return false, x.skip(r, id)
	}
}

// skip reads away the answer r to request id, which lies before the one that is
// due.
func (x *exchange) skip(r *http.Response, id string) error {
	x.odd = true
	if x.strays++; x.strays > maxStrays {
		return errCrowded
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(skipBound))
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBytes-x.skipped))
	x.skipped += n
	if err == nil && (x.skipped >= maxStrayBytes || unframed(r)) {
		err = fmt.Errorf("the answer to request %q lies before the one to %q", id, x.request.ID)
	}
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	return err
}

// unframed reports whether the body of r ends with the connection.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

func (x *exchange) response(r *http.Response) *Response {
	u := unframed(r)
	x.odd = x.odd || u || r.Close
	if s := x.client.options.Silence; s > 0 {
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	return &Response{
		Status:   r.StatusCode,
		Header:   r.Header,
		Length:   r.ContentLength,
		Unframed: u,
		Body:     &body{Reader: r.Body, exchange: x, header: r.Header},
	}
}

// body gives the connection back once it has been read to its end.
type body struct {
	io.Reader

	exchange *exchange
	header   http.Header
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.finish(b.header)
	} else if err != nil {
		b.exchange.abandon()
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end takes the
// connection with it.
func (b *body) Close() error {
	b.exchange.abandon()
	return nil
}

// Drain reads the rest of a body that nobody wants, if it is short and arrives
// soon, so that the connection can be used again, and closes it.
func (r *Response) Drain() {
	b, ok := r.Body.(*body)
	if ok && r.Length <= drainBytes {
		_ = b.exchange.conn.SetReadDeadline(time.Now().Add(drainBound))
		_, _ = io.CopyN(io.Discard, b, drainBytes+1)
	}
	_ = r.Body.Close()
}

// finish keeps the connection unless anything odd was seen.
func (x *exchange) finish(h http.Header) {
	x.once.Do(func() {
		if !x.stop() || x.odd || x.conn.reader.Buffered() > 0 {
			_ = x.conn.Close()
			return
		}
		x.client.put(x.conn, h, time.Now())
	})
}

func (x *exchange) abandon() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

func (x *exchange) classify(ctx context.Context, err error) error {
	e := &Error{Cause: Broken, Sent: x.sent, Reused: x.conn.served > 0, Err: err}
	switch {
	case ctx.Err() != nil:
		e.Cause = Ended
		e.Err = errors.Join(context.Cause(ctx), err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Cause = Silent
	}
	return e
}
