package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is that of the machines of ttalgi-mesh.
	memoryMB = 134
	// downloadBytes is below the largest size of a map-download of ttalgi-mesh, 1,700,000
	// bytes, and downloadLimit is the time limit of its clients.
	downloadBytes = 1_000_000
	downloadLimit = 2500 * time.Millisecond
	// crowd is the number of clients that come to one machine in a wave, arrival apart.
	crowd   = 240
	arrival = 12500 * time.Microsecond
	// waves is how often the crowd comes.
	waves = 3
)

var downloadDocument = `{"version": 3, "routes": {"columns": ["name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "service", "max-attempts"],
 "rows": [["r-book", "book.example", "/book/", "non_idempotent", "1500ms", "500ms", 1, "booking", 2], ["r-map", "map.example", "/map/", "download", "1200ms", "400ms", 2, "maps", 2]]},
 "services": {"columns": ["name", "health-path", "max-connections", "protocol", "tls"], "rows": [["booking", "/health", 110, "h1", false], ["maps", "/health", 110, "h1", false]]},
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"}}`

// slowReaders lets a crowd of clients download over slow lines at two machines, and acts as
// the platform: it kills a process whose memory exceeds that of its machine, and starts it
// again.
func slowReaders(rec *record, trouble bool) (result, error) {
	m, err := newMesh(rec, "a")
	if err != nil {
		return notRun, err
	}
	defer m.close()
	body := bytes.Repeat([]byte("m"), downloadBytes)
	for i := range 5 {
		s := "maps"
		if i >= 3 {
			s = "booking"
		}
		n, err := m.addNode("a", s, memoryMB)
		if err != nil {
			return notRun, err
		}
		if err := n.start(true); err != nil {
			return notRun, err
		}
		err = n.startServer(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			if s == "maps" {
				time.Sleep(96 * time.Millisecond)
				w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				_, _ = w.Write(body)
				return
			}
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "booked")
		})
		if err != nil {
			return notRun, err
		}
	}
	m.store.operate("op/config", []byte(downloadDocument))
	for _, n := range m.nodes {
		if !eventually(20*time.Second, n.isReady) {
			return notRun, errors.New(n.name + " does not become ready")
		}
	}
	time.Sleep(3 * time.Second)
	targets := m.nodes[3:]
	var ends [2]atomic.Int64
	var peak [2]float64
	stop := make(chan struct{})
	var g sync.WaitGroup
	for i, n := range targets {
		g.Go(func() { peak[i] = platform(n, &ends[i], stop) })
		g.Go(func() { book(n, stop) })
	}
	speed := int64(2 << 10)
	if !trouble {
		speed = 0
	}
	for w := range waves {
		rec.add("wave %d: %d clients at each of 2 machines", w+1, crowd)
		var c sync.WaitGroup
		for _, n := range targets {
			c.Go(func() {
				for range crowd {
					c.Go(func() { download(n, speed) })
					time.Sleep(arrival)
				}
			})
		}
		c.Wait()
		time.Sleep(3 * time.Second)
		for _, n := range targets {
			if !eventually(10*time.Second, n.isReady) {
				return notRun, errors.New(n.name + " is not ready again")
			}
		}
	}
	close(stop)
	g.Wait()
	r := broken
	for i, n := range targets {
		rec.add("%s: memory at most %.0f MB of %d MB, ended %d times", n.name, peak[i], memoryMB, ends[i].Load())
		fmt.Printf("%s: memory at most %.0f MB of %d MB, ended %d times\n", n.name, peak[i], memoryMB, ends[i].Load())
		if ends[i].Load() < waves {
			r = held
		}
	}
	return r, nil
}

// ethernet dials connections with the segments of an Ethernet: those of the loopback device
// are so large that the kernel would take a whole download.
var ethernet = net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460) })
	return errors.Join(e, err)
}}

// platform kills the process of n whenever its memory exceeds that of the machine, and
// returns the most memory that it had.
func platform(n *node, ends *atomic.Int64, stop chan struct{}) float64 {
	peak := 0.0
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
		r := n.residentMB()
		peak = max(peak, r)
		if r <= memoryMB {
			continue
		}
		n.mesh.rec.add("%s uses %.0f MB of %d MB and is killed", n.name, r, memoryMB)
		n.signal(syscall.SIGKILL)
		<-n.done()
		ends.Add(1)
		time.Sleep(500 * time.Millisecond)
		if err := n.start(false); err != nil {
			n.mesh.rec.add("%s does not start: %v", n.name, err)
			return peak
		}
	}
}

// download makes one download that reads speed bytes a second, or as fast as it can if
// speed is 0. The client leaves at its time limit.
func download(n *node, speed int64) {
	id := newID()
	end := time.Now().Add(downloadLimit)
	k, err := ethernet.Dial("tcp", n.at("outbound"))
	if err != nil {
		n.mesh.rec.add("download %s at %s: no connection: %v", id, n.name, err)
		return
	}
	defer func() { _ = k.Close() }()
	_ = k.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = k.SetDeadline(end)
	_, _ = io.WriteString(k, request(http.MethodGet, "map.example", "/map/"+id, id, downloadLimit, ""))
	total, status := 0, ""
	b := make([]byte, 32<<10)
	if speed > 0 {
		b = b[:speed/10]
	}
	for err == nil && total < downloadBytes {
		var c int
		c, err = k.Read(b)
		if status == "" && c > 0 {
			status, _, _ = strings.Cut(string(b[:c]), "\r\n")
			if !strings.Contains(status, " 200 ") {
				break
			}
		}
		total += c
		if speed > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	n.mesh.rec.add("download %s at %s: %q, %d bytes, %v", id, n.name, status, total, err)
}

// book sends bookings at a calm rate.
func book(n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := newID()
		k, err := net.DialTimeout("tcp", n.at("outbound"), time.Second)
		if err != nil {
			n.mesh.rec.add("booking %s at %s: no connection", id, n.name)
			continue
		}
		_ = k.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = io.WriteString(k, request(http.MethodPost, "book.example", "/book/1", id, 3*time.Second, "seat"))
		b := make([]byte, 1<<10)
		c, err := k.Read(b)
		status, _, _ := strings.Cut(string(b[:c]), "\r\n")
		n.mesh.rec.add("booking %s at %s: %q, %v", id, n.name, status, err)
		_ = k.Close()
	}
}
