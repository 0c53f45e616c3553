package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaver"] = leaver }

// Some clients have a slow link: packets of the usual size, a small window, and about
// 1 Mbit/s.
const (
	slowSegment = 1400
	slowWindow  = 3000
	partBytes   = 2 << 10
	partTime    = 13 * time.Millisecond
)

// download gets an answer, over a slow link if slow is true. If leaveAfter is not zero,
// the client closes its connection that long after the request was sent, unless it has
// the whole answer.
func (w *world) download(n *node, path string, slow bool, limit, leaveAfter time.Duration) reply {
	d := net.Dialer{Timeout: time.Second}
	if slow {
		d.Control = narrow
	}
	id, t := newID(), time.Now()
	r := reply{sent: t}
	c, err := d.DialContext(context.Background(), "tcp", n.address(outboundPort))
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	end := t.Add(limit)
	if leaveAfter > 0 {
		end = t.Add(leaveAfter)
	}
	_ = c.SetDeadline(end)
	w.event("sent "+path, "client at %s sends %s GET %s", n.name, id, path)
	if _, r.err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nDragonflydoor-Request-Id: %s\r\nDragonflydoor-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", path, host, id, limit.Milliseconds()); r.err != nil {
		return r
	}
	b, got := bufio.NewReaderSize(c, partBytes), 0
	a, err := http.ReadResponse(b, nil)
	if err == nil {
		r.status = a.StatusCode
		var n int64
		for err == nil {
			n, err = io.CopyN(io.Discard, a.Body, partBytes)
			got += int(n)
			if err == nil && slow {
				time.Sleep(partTime)
			}
		}
		if err == io.EOF {
			err = nil
		}
	}
	r.err, r.took = err, time.Since(t)
	switch {
	case err != nil && leaveAfter > 0 && time.Now().After(end):
		w.rec.add("client at %s: %s left after %s with %d bytes of the answer, status %d", n.name, id, r.took.Round(time.Millisecond), got, r.status)
	default:
		w.event(fmt.Sprintf("answered %d %s", r.status, path), "client at %s: %s answered %d after %s, %d bytes, %v", n.name, id, r.status, r.took.Round(time.Millisecond), got, err)
	}
	return r
}

// narrow gives a connection the packets and the window of a slow link.
func narrow(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		}
	}); e != nil {
		return e
	}
	return err
}

// leaver checks that a kind of request is still served after some clients left during
// their downloads.
func leaver(w *world) error {
	const (
		calm = time.Second
		// In each round, clients on slow links leave soon after their request for the
		// first part, and later for the second.
		leaveSoon, leaveSoonFor = 300 * time.Millisecond, 4 * time.Second
		leaveLate, leaveLateFor = 600 * time.Millisecond, 5 * time.Second
		pause                   = time.Second
		rounds                  = 3
		after                   = 50 * time.Second
		slowShare               = 0.3
		noLengthShare           = 0.05
		fileEvery               = 10 * time.Millisecond
		readEvery               = 5 * time.Millisecond
		work                    = 20 * time.Millisecond
		slots                   = 6
		fileBytes               = 280_000
		limit                   = 2500 * time.Millisecond
		round                   = leaveSoonFor + leaveLateFor + pause
		end                     = calm + rounds*round
	)
	// leaveAfter returns how long after its request a client on a slow link leaves at a
	// time of the run, or zero if it stays.
	leaveAfter := func(t time.Duration) time.Duration {
		t -= calm
		if !w.trouble || t < 0 || t >= rounds*round {
			return 0
		}
		switch t %= round; {
		case t < leaveSoonFor:
			return leaveSoon
		case t < leaveSoonFor+leaveLateFor:
			return leaveLate
		}
		return 0
	}
	w.brief = true
	if err := w.begin(); err != nil {
		return err
	}
	var files, fronts []*node
	for _, z := range []string{"a", "b", "c"} {
		fronts = append(fronts, w.addNode(z+"-1", "z-"+z, "front"))
		files = append(files, w.addNode(z+"-2", "z-"+z, "files"))
	}
	routes := []route{
		{name: "r-read", prefix: "/read/", kind: "idempotent", service: "front", timeout: "1200ms", maxAttempts: 2},
		{name: "r-file", prefix: "/file/", kind: "download", service: "files", timeout: "2500ms", maxAttempts: 2},
	}
	if _, err := w.configure(3, []string{"front", "files"}, routes); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	for _, n := range w.nodes {
		_, err := w.startServer(n, "i-"+n.name, slots, func(q arrival) answer {
			if n.service == "files" {
				return answer{work: work, bodyBytes: fileBytes, noLength: rand.Float64() < noLengthShare}
			}
			return answer{work: work}
		})
		if err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	read := func(n *node) reply {
		return w.send(n, request{id: newID(), method: http.MethodGet, path: "/read/1", limit: limit})
	}
	for _, n := range files {
		if err := w.eventually(15*time.Second, func() bool {
			return read(n).status == 200 && w.download(n, "/file/1", false, limit, 0).status == 200
		}); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	type tally struct{ sent, served, afterSent, afterServed int }
	kinds := map[string]*tally{"read": {}, "file": {}}
	left := 0
	begun := time.Now()
	note := func(kind string, r reply) {
		mu.Lock()
		defer mu.Unlock()
		k := kinds[kind]
		late := r.sent.After(begun.Add(end + stabilityWindow))
		k.sent++
		if late {
			k.afterSent++
		}
		if r.status == 200 && r.err == nil {
			k.served++
			if late {
				k.afterServed++
			}
		}
	}
	stop := make(chan struct{})
	time.AfterFunc(end+after, func() { close(stop) })
	var g sync.WaitGroup
	for _, n := range files {
		g.Go(func() {
			every(fileEvery, stop, func() {
				slow := rand.Float64() < slowShare
				if d := leaveAfter(time.Since(begun)); slow && d > 0 {
					mu.Lock()
					left++
					mu.Unlock()
					w.download(n, "/file/1", slow, limit, d)
					return
				}
				note("file", w.download(n, "/file/1", slow, limit, 0))
			})
		})
		g.Go(func() { every(readEvery, stop, func() { note("read", read(n)) }) })
	}
	g.Wait()
	for k, t := range kinds {
		w.rec.add("%s: %d of %d served; of those sent later than %s after the last client left, %d of %d", k, t.served, t.sent, stabilityWindow, t.afterServed, t.afterSent)
		fmt.Printf("%s: %d of %d served; after %d of %d\n", k, t.served, t.sent, t.afterServed, t.afterSent)
	}
	w.rec.add("%d clients left during a download", left)
	f, r := kinds["file"], kinds["read"]
	own, all := float64(f.served)/float64(f.sent), float64(f.served+r.served)/float64(f.sent+r.sent)
	if r.served == 0 || f.served == 0 {
		return fmt.Errorf("nothing was served")
	}
	if own < all/4 {
		w.violate("Starved: downloads are served in %.3f of the cases, all requests in %.3f", own, all)
	}
	return nil
}
