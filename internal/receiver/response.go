package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// response is the state of a response. Its wire format is that of net/http.
type response struct {
	exchange *exchange
	// header is the handler's, and sent its copy from when the status was set.
	header http.Header
	sent   http.Header

	mu     sync.Mutex
	status int
	// length is the Content-Length that the handler has set, -1 for none.
	length  int64
	written int64
	// part collects the body in front of its framing.
	part     *bufio.Writer
	headSent bool
	chunked  bool
	done     bool
	trailers []string
	// keepAlive10 means that the client speaks HTTP/1.0 and asked to keep the connection.
	keepAlive10 bool
	fullDuplex  bool
}

func (r *response) init(x *exchange) {
	r.exchange = x
	r.length = -1
	r.header = make(http.Header)
	r.keepAlive10 = !x.request.ProtoAtLeast(1, 1) && !x.request.Close
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.response.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	x.response.mu.Lock()
	defer x.response.mu.Unlock()
	x.response.writeHeader(status)
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	r := &x.response
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok, err := r.allow(len(p)); !ok {
		return 0, err
	}
	return r.writer().Write(p)
}

// WriteString implements io.StringWriter.
func (x *exchange) WriteString(s string) (int, error) {
	r := &x.response
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok, err := r.allow(len(s)); !ok {
		return 0, err
	}
	return r.writer().WriteString(s)
}

// allow reports whether the next n bytes of the body are written.
func (r *response) allow(n int) (bool, error) {
	if r.status == 0 {
		r.writeHeader(http.StatusOK)
	}
	if n == 0 {
		return false, nil
	}
	if !bodyAllowed(r.status) {
		return false, http.ErrBodyNotAllowed
	}
	r.written += int64(n)
	if r.length != -1 && r.written > r.length {
		return false, http.ErrContentLength
	}
	return true, nil
}

// FlushError implements the interface of http.ResponseController.
func (x *exchange) FlushError() error {
	r := &x.response
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.writeHeader(http.StatusOK)
	}
	if r.part != nil {
		if err := r.part.Flush(); err != nil {
			return err
		}
	}
	if !r.headSent {
		if err := r.sendHead(nil); err != nil {
			return err
		}
	}
	x.mu.Lock()
	f := x.front
	x.mu.Unlock()
	if !f {
		return nil
	}
	return x.conn.flush()
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() }

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (r *response) writer() *bufio.Writer {
	if r.part == nil {
		r.part, _ = partWriters.Get().(*bufio.Writer)
		r.part.Reset(partWriter{r})
	}
	return r.part
}

func (r *response) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("receiver: invalid status %d", status))
	}
	if status < http.StatusOK && status != http.StatusSwitchingProtocols {
		r.sendInterim(status)
		return
	}
	r.status = status
	r.sent = r.header.Clone()
	if l := r.header.Get("Content-Length"); l != "" {
		n, err := strconv.ParseInt(l, 10, 64)
		if err == nil && n >= 0 {
			r.length = n
		} else {
			r.sent.Del("Content-Length")
		}
	}
}

// sendInterim sends an interim response, unless earlier responses are incomplete: clients
// may miss interim responses.
func (r *response) sendInterim(status int) {
	x := r.exchange
	x.mu.Lock()
	f := x.front
	x.mu.Unlock()
	if !f || !x.request.ProtoAtLeast(1, 1) {
		return
	}
	w := x.conn.writer()
	writeStatusLine(w, true, status)
	_ = r.header.WriteSubset(w, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
	_, _ = io.WriteString(w, "\r\n")
	_ = x.conn.flush()
}

func writeStatusLine(w io.Writer, minor bool, status int) {
	v := "HTTP/1.0 "
	if minor {
		v = "HTTP/1.1 "
	}
	t := http.StatusText(status)
	if t == "" {
		t = "status code " + strconv.Itoa(status)
	}
	_, _ = io.WriteString(w, v+strconv.Itoa(status)+" "+t+"\r\n")
}

// partWriter writes a part of the body in its framing.
type partWriter struct{ response *response }

// Write implements io.Writer.
func (w partWriter) Write(p []byte) (int, error) {
	r := w.response
	if !r.headSent {
		if err := r.sendHead(p); err != nil {
			return 0, err
		}
	}
	x := r.exchange
	if x.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !r.chunked {
		return x.write(p)
	}
	var size [18]byte
	if _, err := x.write(append(strconv.AppendInt(size[:0], int64(len(p)), 16), "\r\n"...)); err != nil {
		return 0, err
	}
	n, err := x.write(p)
	if err == nil {
		_, err = x.write([]byte("\r\n"))
	}
	return n, err
}

// finish completes the response.
func (r *response) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.writeHeader(http.StatusOK)
	}
	r.done = true
	x := r.exchange
	if r.part != nil {
		err := r.part.Flush()
		r.part.Reset(nil)
		partWriters.Put(r.part)
		r.part = nil
		if err != nil {
			x.conn.abort()
			return
		}
	}
	if !r.headSent && r.sendHead(nil) != nil {
		x.conn.abort()
		return
	}
	if r.chunked && x.request.Method != http.MethodHead {
		_, _ = x.write([]byte("0\r\n" + r.formatTrailers() + "\r\n"))
	}
	if r.length != -1 && r.written != r.length && x.request.Method != http.MethodHead && bodyAllowed(r.status) {
		// The client waits for the rest.
		x.conn.closeAfter(x)
	}
}

func (r *response) formatTrailers() string {
	t := make(http.Header)
	for k, l := range r.header {
		if n, ok := strings.CutPrefix(k, http.TrailerPrefix); ok {
			t[n] = l
		}
	}
	for _, n := range r.trailers {
		if l, ok := r.header[n]; ok {
			t[n] = l
		}
	}
	var b strings.Builder
	_ = t.Write(&b)
	return b.String()
}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exclusion is a set of headers that are not sent. Most responses need none.
type exclusion struct{ names map[string]bool }

func (e *exclusion) add(name string, in http.Header) {
	if _, ok := in[name]; !ok {
		return
	}
	if e.names == nil {
		e.names = make(map[string]bool)
	}
	e.names[name] = true
}

// declareTrailers notes the trailers that the handler has announced, and reports whether
// there are any.
func (r *response) declareTrailers(exclude *exclusion) bool {
	found := false
	for k := range r.sent {
		if strings.HasPrefix(k, http.TrailerPrefix) {
			exclude.add(k, r.sent)
			found = true
		}
	}
	for _, l := range r.sent["Trailer"] {
		for n := range strings.SplitSeq(l, ",") {
			n = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n))
			if httpguts.ValidTrailerHeader(n) {
				r.trailers = append(r.trailers, n)
			}
			found = true
		}
	}
	return found
}

// fields are the header lines that a server adds, in the order of net/http.
type fields struct {
	length, contentType, connection string
	chunked                         bool
}

// sendHead sends the head of the response, whose body begins with p.
func (r *response) sendHead(p []byte) error {
	r.headSent = true
	x := r.exchange
	h := r.sent
	var exclude exclusion
	var f fields
	te := h.Get("Transfer-Encoding")
	trailers := r.declareTrailers(&exclude)
	_, hasLength := h["Content-Length"]
	head := x.request.Method == http.MethodHead
	if r.done && !trailers && te == "" && bodyAllowed(r.status) && !hasLength && (!head || len(p) > 0) {
		r.length = int64(len(p))
		f.length = strconv.Itoa(len(p))
	}
	closes := r.wantsClose(&f)
	r.describe(p, te, &exclude, &f)
	if r.frame(te, &exclude, &f) {
		closes = true
	}
	if closes {
		closes = x.conn.lastResponse(x, x.body != nil && x.body.unread())
	}
	r.setConnection(closes, &exclude, &f)
	b, _ := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	writeStatusLine(b, x.request.ProtoAtLeast(1, 1), r.status)
	_ = h.WriteSubset(b, exclude.names)
	f.write(b, h)
	_, err := x.write(b.Bytes())
	return err
}

// describe sets the type of a body that begins with p, and drops the headers of a body if
// there is none.
func (r *response) describe(p []byte, te string, exclude *exclusion, f *fields) {
	if !bodyAllowed(r.status) {
		exclude.add("Content-Length", r.sent)
		if r.status == http.StatusNotModified {
			exclude.add("Content-Type", r.sent)
		}
		return
	}
	if _, ok := r.sent["Content-Type"]; !ok && r.sent.Get("Content-Encoding") == "" && te == "" && len(p) > 0 {
		f.contentType = http.DetectContentType(p)
	}
}

// setConnection tells the client whether the connection is closed after the response.
func (r *response) setConnection(closes bool, exclude *exclusion, f *fields) {
	x := r.exchange
	stated := r.hasConnection("close")
	if closes == stated && !x.conn.server.stopping.Load() {
		return
	}
	exclude.add("Connection", r.sent)
	if !closes {
		return
	}
	f.connection = ""
	if x.request.ProtoAtLeast(1, 1) {
		f.connection = "close"
	}
}

// frame chooses how the end of the body is marked, and reports whether that is by closing
// the connection.
func (r *response) frame(te string, exclude *exclusion, f *fields) bool {
	x := r.exchange
	exclude.add("Transfer-Encoding", r.sent)
	if r.length != -1 && te != "" && te != "identity" {
		exclude.add("Content-Length", r.sent)
		r.length = -1
	}
	switch {
	case x.request.Method == http.MethodHead || !bodyAllowed(r.status) || r.length != -1:
		return false
	case !x.request.ProtoAtLeast(1, 1) || te == "identity":
		return true
	}
	r.chunked, f.chunked = true, true
	exclude.add("Content-Length", r.sent)
	return false
}

func (r *response) hasConnection(token string) bool {
	return httpguts.HeaderValuesContainsToken(r.sent["Connection"], token)
}

// wantsClose reports whether the connection should be closed after the response, and reads
// what is left of the request's body if that allows to keep it.
func (r *response) wantsClose(f *fields) bool {
	x := r.exchange
	closes := x.request.Close || r.hasConnection("close") || x.conn.server.stopping.Load()
	if r.keepAlive10 {
		if x.request.Method == http.MethodHead || r.length != -1 || !bodyAllowed(r.status) {
			if _, ok := r.sent["Connection"]; !ok {
				f.connection = "keep-alive"
			}
		} else {
			closes = true
		}
	}
	if x.body == nil || r.fullDuplex || closes {
		return closes
	}
	return !x.discardBody()
}

// lastResponse reports whether the connection is closed after the response of x. If
// requests behind it have started, the last of them closes the connection, unless forced
// is set.
func (c *conn) lastResponse(x *exchange, forced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.signal()
	last := len(c.queue) > 0 && c.queue[len(c.queue)-1] == x
	if last || forced {
		x.closes = true
		return true
	}
	return false
}

// closeAfter makes the connection close after the response of x.
func (c *conn) closeAfter(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.closes = true
	c.closing = true
	c.signal()
}

func (f fields) write(w *bytes.Buffer, h http.Header) {
	if _, ok := h["Date"]; !ok {
		w.WriteString("Date: ")
		var b [len(http.TimeFormat)]byte
		w.Write(time.Now().UTC().AppendFormat(b[:0], http.TimeFormat))
		w.WriteString("\r\n")
	}
	te := ""
	if f.chunked {
		te = "chunked"
	}
	for _, l := range [...][2]string{
		{"Content-Length", f.length}, {"Content-Type", f.contentType}, {"Connection", f.connection}, {"Transfer-Encoding", te},
	} {
		if l[1] != "" {
			w.WriteString(l[0])
			w.WriteString(": ")
			w.WriteString(l[1])
			w.WriteString("\r\n")
		}
	}
	w.WriteString("\r\n")
}
