package harness

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	connectionClose   = "Connection: close\r\n"
	// maxHeadBytes is above the size of a head that a server sends.
	maxHeadBytes = 1 << 10
)

// arrival is a request that a server has read to its end.
type arrival struct {
	id, method, path, caller string
	deadline                 time.Duration
	bodyBytes                int
	bodyHash                 string
	at                       time.Time
}

// answer is what a server does with a request.
type answer struct {
	// notRun makes the server reject the request with 503.
	notRun bool
	// extra makes it send the answer a second time, late: before the next response
	// on the connection.
	extra bool
	// crash makes the server crash while it runs the request.
	crash bool
	// bodyBytes is the size of the answer, if it is not zero. With noLength the answer
	// has no length and ends with the connection.
	bodyBytes int
	noLength  bool
	work      time.Duration
}

// server is a back end beside a node. It serves one request at a time on a
// connection.
type server struct {
	w        *world
	node     *node
	id       string
	born     int64
	slots    int
	handle   func(arrival) answer
	listener net.Listener

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	draining bool
	silent   bool
	running  int
	conns    map[net.Conn]bool
}

func (w *world) startServer(n *node, id string, slots int, handle func(arrival) answer) (*server, error) {
	s := &server{w: w, node: n, id: id, born: time.Now().UnixMilli(), slots: slots, handle: handle, conns: make(map[net.Conn]bool)}
	l, err := net.Listen("tcp", n.address(serverPort))
	if err != nil {
		return nil, err
	}
	s.listener = l
	go s.accept()
	go s.beat()
	w.rec.add("server %s of %s started beside %s", id, n.service, n.name)
	return s, nil
}

// exit ends the server.
func (s *server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.w.rec.add("server %s exits", s.id)
}

// crash ends the server as a crash does: its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.w.rec.add("server %s crashes", s.id)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	var late []byte
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			s.w.rec.add("server %s: request %s broke off after %d bytes of its body", s.id, q.Header.Get("Dragonflydoor-Request-Id"), len(b))
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		o, extra := s.respond(q, b)
		if _, err := c.Write(o); err != nil {
			return
		}
		if extra {
			late = o
		}
		if bytes.Contains(o[:min(len(o), maxHeadBytes)], []byte(connectionClose)) {
			return
		}
	}
}

func (s *server) respond(q *http.Request, b []byte) (out []byte, extra bool) {
	if q.URL.Path == "/health" {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leaving || s.draining {
			return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), false
		}
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nDragonflydoor-Instance-Id: %s\r\nDragonflydoor-Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", s.id, s.running, s.slots), false
	}
	h := sha256.Sum256(b)
	a := arrival{
		id: q.Header.Get("Dragonflydoor-Request-Id"), method: q.Method, path: q.URL.Path,
		caller: q.Header.Get("Dragonflydoor-Caller-Service"), bodyBytes: len(b), bodyHash: hex.EncodeToString(h[:8]), at: time.Now(),
	}
	if e := q.Header.Get("Dragonflydoor-Expect-Instance"); e != "" && e != s.id {
		s.w.rec.add("server %s: request %s expects %s, answered 421", s.id, a.id, e)
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nDragonflydoor-Instance-Id: %s\r\nDragonflydoor-Request-Id: %s\r\nDragonflydoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", s.id, a.id), false
	}
	o := s.handle(a)
	if o.notRun {
		s.w.rec.add("server %s: request %s rejected, 503, not executed%s", s.id, a.id, map[bool]string{true: "; a second copy of this answer will come late"}[o.extra])
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nDragonflydoor-Request-Id: %s\r\nDragonflydoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", a.id), o.extra
	}
	s.w.event("run by "+s.id, "server %s: runs request %s %s %s, body %d bytes %s, from %s", s.id, a.id, a.method, a.path, a.bodyBytes, a.bodyHash, a.caller)
	s.count(1)
	time.Sleep(o.work)
	s.count(-1)
	if o.crash {
		s.crash()
		return nil, false
	}
	body := "done " + a.id + " by " + s.id
	if o.bodyBytes > 0 {
		body = strings.Repeat("s", o.bodyBytes)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if o.noLength {
		length = connectionClose
	}
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nDragonflydoor-Request-Id: %s\r\nDragonflydoor-Server-Signature: %s.%s\r\nDragonflydoor-Server-Load: %s\r\n%s\r\n%s", a.id, s.id, a.id, load, length, body), o.extra
}

func (s *server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// beat sends liveness reports until the server leaves or exits.
func (s *server) beat() {
	for {
		s.mu.Lock()
		end := s.leaving || s.silent
		s.mu.Unlock()
		if end {
			return
		}
		_ = s.send(s.report())
		time.Sleep(heartbeatInterval)
	}
}

// report makes the next liveness report.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": s.node.service, "address": s.node.address(serverPort), "zone": s.node.zone, "version": "v1",
		"slots": s.slots, "state": state, "cold-remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	return b
}

// send sends a liveness report.
func (s *server) send(b []byte) error {
	return s.control(http.MethodPut, b)
}

func (s *server) control(method string, b []byte) error {
	q, err := http.NewRequest(method, "http://"+s.node.address(controlPort)+"/v1/instances/"+s.id, bytes.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", method, r.Status)
	}
	return nil
}

// drain reports that the server is draining, until that is confirmed.
func (s *server) drain() (time.Time, error) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	err := s.send(s.report())
	s.w.rec.add("server %s reports draining: %v", s.id, confirmation(err))
	return time.Now(), err
}

// leave says that the server leaves, without draining before.
func (s *server) leave() (time.Time, error) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	err := s.control(http.MethodDelete, nil)
	s.w.rec.add("server %s leaves (DELETE): %v", s.id, confirmation(err))
	return time.Now(), err
}

func confirmation(err error) string {
	if err == nil {
		return "confirmed"
	}
	return err.Error()
}
