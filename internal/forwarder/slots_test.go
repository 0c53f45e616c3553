package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// narrow gives a connection short packets and a small receive buffer, as on a slow link, so
// that little of an answer fits into the buffers of the sender.
func narrow(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10),
		)
	})
	return errors.Join(e, err)
}

// TestSlotsAreReturned guards against slots that are never returned, so that a gate refuses
// all requests in the end: after each way in which a caller or a target can leave, no request
// holds a slot.
func TestSlotsAreReturned(t *testing.T) {
	const size = 4 << 20
	// whole writes an answer of size bytes, with a length or in chunks.
	whole := func(w http.ResponseWriter, stated bool) {
		if stated {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		for range size >> 16 {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
	}
	var attempts atomic.Int32
	hang := func(r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		// reads is how much the caller reads before it leaves, after stays.
		reads int64
		stays time.Duration
	}{
		{"the caller leaves before the answer", func(_ http.ResponseWriter, r *http.Request) { hang(r) }, 0, 50 * time.Millisecond},
		{"the caller reads nothing, length unknown", func(w http.ResponseWriter, _ *http.Request) { whole(w, false) }, 0, 150 * time.Millisecond},
		{"the caller reads nothing, length stated", func(w http.ResponseWriter, _ *http.Request) { whole(w, true) }, 0, 150 * time.Millisecond},
		{"the caller reads a part, length unknown", func(w http.ResponseWriter, _ *http.Request) { whole(w, false) }, 100 << 10, 50 * time.Millisecond},
		{"the caller reads a part, length stated", func(w http.ResponseWriter, _ *http.Request) { whole(w, true) }, 100 << 10, 50 * time.Millisecond},
		{"the caller reads half, length unknown", func(w http.ResponseWriter, _ *http.Request) { whole(w, false) }, size / 2, 0},
		{"the target hangs in the middle", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
			_ = http.NewResponseController(w).Flush()
			hang(r)
		}, 512 << 10, 50 * time.Millisecond},
		{"the target breaks off", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
			panic(http.ErrAbortHandler)
		}, 2 << 20, 0},
		{"the target breaks off at once", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1 << 10, 0},
		{"a large error answer is not needed", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			whole(w, false)
		}, 0, 50 * time.Millisecond},
		{"a retry answers after a large error answer", func(w http.ResponseWriter, _ *http.Request) {
			if attempts.Add(1)%2 == 1 {
				w.WriteHeader(http.StatusInternalServerError)
				whole(w, false)
			}
		}, 1 << 10, 0},
		{"the whole answer is read", func(w http.ResponseWriter, _ *http.Request) { whole(w, false) }, 2 * size, 0},
	}
	for _, c := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			eachHop(t, c.name+", "+method, true, func(t *testing.T, remote bool) {
				s := httptest.NewServer(http.HandlerFunc(c.answer))
				defer s.Close()
				address, gate := twoNodes(t, DefaultDialect, s.Listener.Addr().String(), remote)
				d := net.Dialer{Control: narrow}
				for range 4 {
					k, err := d.DialContext(t.Context(), "tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = fmt.Fprintf(k, "%s /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", method)
					_ = k.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = io.CopyN(io.Discard, k, c.reads)
					time.Sleep(c.stays)
					_ = k.Close()
				}
				end := time.Now().Add(4 * time.Second)
				for gate.Running() > 0 && time.Now().Before(end) {
					time.Sleep(10 * time.Millisecond)
				}
				if n := gate.Running(); n != 0 {
					t.Errorf("%d slots are held", n)
				}
			})
		}
	}
}
