package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/quarantiner"
)

// call is one attempt of a request, addressed to one target.
type call struct {
	method  string
	host    string
	uri     *url.URL
	header  http.Header
	body    io.Reader
	length  int64
	request string
	service string
	// target is the address of the target itself.
	target   string
	deadline time.Time
	// fingerprint identifies equal requests.
	fingerprint quarantiner.Fingerprint
}

// onceBody is a body that net/http can not send a second time. Without it the
// transport would repeat requests by itself when a kept connection breaks: safe
// methods, and every request with an Idempotency-Key header. An empty body is
// no exception, so that even requests without one are given it.
type onceBody struct {
	io.Reader
}

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// newRequest builds the HTTP request of c to a host with port.
func (c call) newRequest(ctx context.Context, address, pathPrefix string) *http.Request {
	u := *c.uri
	u.Scheme = "http"
	u.Host = address
	if pathPrefix != "" {
		u.Path = pathPrefix + u.Path
		if u.RawPath != "" {
			u.RawPath = pathPrefix + u.RawPath
		}
	}
	r := &http.Request{
		Method:        c.method,
		URL:           &u,
		Host:          c.host,
		Header:        c.header,
		ContentLength: c.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	r.Body = onceBody{c.body}
	return r.WithContext(ctx)
}

// flight watches whether any byte of a request can have left this process.
type flight struct {
	conn  atomic.Pointer[net.Conn]
	start atomic.Uint64
}

// trace returns a context under which the request's connection is noted.
func (f *flight) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			f.start.Store(written(i.Conn))
			f.conn.Store(&i.Conn)
		},
	})
}

// sharedVerdict judges a failure on a connection that other requests share.
func (f *flight) sharedVerdict() judge.Verdict {
	if f.conn.Load() == nil {
		return judge.NotRun
	}
	return judge.MayHaveRun
}

// exclusiveVerdict judges a failure on a connection that carried only this
// request: it did not run if no byte was written. The connection is closed
// first, so that nothing is written after the judgement.
func (f *flight) exclusiveVerdict() judge.Verdict {
	c := f.conn.Load()
	if c == nil {
		return judge.NotRun
	}
	_ = (*c).Close()
	if n, ok := (*c).(meter.Counted); ok && n.Written() == f.start.Load() {
		return judge.NotRun
	}
	return judge.MayHaveRun
}

func written(c net.Conn) uint64 {
	if n, ok := c.(meter.Counted); ok {
		return n.Written()
	}
	return 0
}

// limitUntilAnswer returns a context that ends at deadline unless release is
// called first; cancel ends it at any time.
func limitUntilAnswer(ctx context.Context, deadline time.Time) (context.Context, func(), context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	release := func() { t.Stop() }
	return ctx, release, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
