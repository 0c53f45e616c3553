package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// reply is what a client saw of one request.
type reply struct {
	status int
	body   string
	err    error
	sent   time.Time
	took   time.Duration
}

var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	Timeout:   10 * time.Second,
}

// request is one attempt of a client at the outbound address of its own machine.
type request struct {
	id, method, path string
	body             []byte
	chunked          bool
	limit            time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func hashOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:8])
}

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

func (w *world) send(n *node, q request) reply {
	var b io.Reader
	switch {
	case q.chunked:
		b = unsized{bytes.NewReader(q.body)}
	case q.body != nil:
		b = bytes.NewReader(q.body)
	}
	t := time.Now()
	r, err := http.NewRequest(q.method, "http://"+n.address(outboundPort)+q.path, b)
	if err != nil {
		return reply{err: err, sent: t}
	}
	r.Host = host
	r.Header.Set("Dragonflydoor-Request-Id", q.id)
	r.Header.Set("Dragonflydoor-Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	w.event("sent "+q.path, "client at %s sends %s %s %s, body %d bytes %s", n.name, q.id, q.method, q.path, len(q.body), hashOf(q.body))
	a, err := client.Do(r)
	if err != nil {
		w.event("ended without an answer "+q.path, "client at %s: %s ended: %v", n.name, q.id, err)
		return reply{err: err, sent: t, took: time.Since(t)}
	}
	defer func() { _ = a.Body.Close() }()
	d, err := io.ReadAll(a.Body)
	w.event(fmt.Sprintf("answered %d %s", a.StatusCode, q.path), "client at %s: %s answered %d after %s, %v", n.name, q.id, a.StatusCode, time.Since(t).Round(time.Millisecond), err)
	return reply{status: a.StatusCode, body: string(d), err: err, sent: t, took: time.Since(t)}
}

// every calls f at a steady rate, each call in a goroutine of its own, until stop is
// closed, and waits for all calls.
func every(d time.Duration, stop <-chan struct{}, f func()) {
	var g sync.WaitGroup
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.Go(f)
		case <-stop:
			g.Wait()
			return
		}
	}
}
