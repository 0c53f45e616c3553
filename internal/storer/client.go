package storer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

const (
	// RevisionHeader carries the revision of a value.
	RevisionHeader = "X-Store-Revision"

	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// Client talks to the store over HTTP. See docs/store-protocol.md.
type Client struct {
	http    *resty.Client
	timeout time.Duration
}

// NewClient returns a client for the store at address, a host with port, whose
// bytes m counts.
func NewClient(address string, m *meter.Traffic) *Client {
	t := &http.Transport{
		DialContext:         m.Dialer(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	c := resty.New().SetTransport(t).SetBaseURL("http://" + address)
	return &Client{http: c, timeout: defaultTimeout}
}

// CloseIdle closes the connections that carry no call.
func (c *Client) CloseIdle() {
	c.http.GetClient().CloseIdleConnections()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	r, err := c.send(ctx, http.MethodGet, valuePath(key), c.timeout, nil)
	if err != nil {
		return Value{}, err
	}
	return readValue(r)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, revision uint64, lease LeaseID) (uint64, error) {
	if len(data) > MaxValueBytes {
		return 0, judge.Error(judge.Invalid, judge.NotRun, "store: value of %d bytes, at most %d", len(data), MaxValueBytes)
	}
	p := valuePath(key) + "?revision=" + number(revision)
	if lease != 0 {
		p += "&lease=" + number(uint64(lease))
	}
	r, err := c.send(ctx, http.MethodPut, p, c.timeout, data)
	if err != nil {
		return 0, err
	}
	v, err := readValue(r)
	return v.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	_, err := c.send(ctx, http.MethodDelete, valuePath(key)+"?revision="+number(revision), c.timeout, nil)
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	r, err := c.send(ctx, http.MethodGet, "/v1/values?prefix="+url.QueryEscape(prefix), c.timeout, nil)
	if err != nil {
		return nil, err
	}
	return DecodeItems(r.Body())
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Value, bool, error) {
	p := valuePath(key) + "?not_revision=" + number(revision) + "&wait_ms=" + number(uint64(wait.Milliseconds()))
	r, err := c.send(ctx, http.MethodGet, p, wait+c.timeout, nil)
	if err != nil {
		return Value{}, false, err
	}
	if r.StatusCode() == http.StatusNoContent {
		return Value{}, false, nil
	}
	v, err := readValue(r)
	return v, err == nil, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	p := "/v1/leases?ttl_ms=" + number(uint64(ttl.Milliseconds()))
	r, err := c.send(ctx, http.MethodPost, p, c.timeout, nil)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(r.String(), 10, 64)
	if err != nil {
		return 0, judge.Wrap(err, judge.Unavailable, judge.MayHaveRun, "store: lease")
	}
	return LeaseID(n), nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := c.send(ctx, http.MethodPut, "/v1/leases/"+number(uint64(lease)), c.timeout, nil)
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := c.send(ctx, http.MethodDelete, "/v1/leases/"+number(uint64(lease)), c.timeout, nil)
	return err
}

func (c *Client) send(ctx context.Context, method, path string, timeout time.Duration, body []byte) (*resty.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := c.http.R().SetContext(ctx)
	if body != nil {
		q.SetHeader("Content-Type", "application/octet-stream").SetBody(body)
	}
	r, err := q.Execute(method, path)
	if err != nil {
		return nil, judge.Wrap(err, judge.Unavailable, transportVerdict(method, err), "store: %s", method)
	}
	return r, statusError(r)
}

// transportVerdict is NotRun for reads, which change nothing, and for writes
// when no connection could be opened.
func transportVerdict(method string, err error) judge.Verdict {
	var o *net.OpError
	if method == http.MethodGet || (errors.As(err, &o) && o.Op == "dial") {
		return judge.NotRun
	}
	return judge.MayHaveRun
}

func statusError(r *resty.Response) error {
	m := r.String()
	switch r.StatusCode() {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return judge.Error(judge.NotFound, judge.NotRun, "store: %s", m)
	case http.StatusPreconditionFailed:
		return judge.Error(judge.Conflict, judge.NotRun, "store: %s", m)
	case http.StatusTooManyRequests:
		return judge.Error(judge.Overloaded, judge.NotRun, "store: %s", m)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return judge.Error(judge.Invalid, judge.NotRun, "store: %s", m)
	}
	return judge.Error(judge.Unavailable, transportVerdict(r.Request.Method, nil), "store: status %d: %s", r.StatusCode(), m)
}

func readValue(r *resty.Response) (Value, error) {
	n, err := strconv.ParseUint(r.Header().Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, judge.Wrap(err, judge.Unavailable, judge.MayHaveRun, "store: revision")
	}
	return Value{Data: r.Body(), Revision: n}, nil
}

func valuePath(key string) string {
	return "/v1/values/" + key
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}
