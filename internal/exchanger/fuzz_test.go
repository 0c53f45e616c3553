package exchanger

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	expectedBody = "expected message"
	// maxFailedReadBytes limits what is read of a stream without the expected
	// response: the stale responses with their headers, and buffers.
	maxFailedReadBytes = maxStaleBytes + (maxStaleResponses+1)*maxHeaderBytes + 4*interimBurst*32
)

// segments are the building blocks of the streams of faulty targets.
var segments = []string{
	// The expected response, in each framing.
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 16\r\n\r\n" + expectedBody,
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nexpected\r\n8\r\n message\r\n0\r\n\r\n",
	// Stale responses, complete and truncated.
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 5\r\n\r\nstale",
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 50\r\n\r\nstale",
	// The expected response, truncated or with invalid framing.
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 40\r\n\r\n" + expectedBody,
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nexpected\r\n8\r\n",
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	// A response inside the body of another one, and two request IDs.
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 60\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 5\r\n\r\nwrong",
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\n" + idHeader + ": 1\r\nContent-Length: 5\r\n\r\nwrong",
	// Interim responses, and data that is no valid response.
	"HTTP/1.1 102 Processing\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n" + idHeader + ": 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"\x00\x01\x02\r\n",
	"\r\n",
	"wrong",
	// Responses far above the limits, in place of endless ones.
	"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*maxHeaderBytes),
	"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", maxHeaderBytes/4),
	strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 4*interimBurst),
	strings.Repeat("HTTP/1.1 200 OK\r\n"+idHeader+": 9\r\nContent-Length: 1\r\n\r\nx", 2*maxStaleResponses),
	"HTTP/1.1 200 OK\r\n" + idHeader + ": 9\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("a", 2000000),
}

// firstTruncated and lastTruncated are the segments with a truncated expected
// response. No bytes may follow them, since those would be indistinguishable
// from the rest of that response.
const (
	firstTruncated = 5
	lastTruncated  = 6
)

// joinSegments concatenates the segments with the given indexes, up to the
// first truncated one of the expected response.
func joinSegments(order []byte) string {
	var b strings.Builder
	for _, i := range order {
		n := int(i) % len(segments)
		b.WriteString(segments[n])
		if n >= firstTruncated && n <= lastTruncated {
			break
		}
	}
	return b.String()
}

// hasForgedID reports whether a segment other than the expected response has
// its request ID.
func hasForgedID(order []byte) bool {
	for _, i := range order {
		s := segments[int(i)%len(segments)]
		if strings.Contains(s, idHeader+": 1") && int(i)%len(segments) >= firstTruncated {
			return true
		}
	}
	return false
}

// checkStream responds to one request with stream, closes the connection, and
// checks that only the expected response is accepted as complete.
func checkStream(t *testing.T, stream string) {
	t.Helper()
	client, server := net.Pipe()
	c := newTestClient(time.Second)
	c.dial = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	read := make(chan int, 1)
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			read <- 0
			return
		}
		n, _ := io.WriteString(server, stream)
		read <- n
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r, err := c.Do(ctx, "target", newRequest("1"))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	_ = client.Close()
	n := <-read
	if err == nil && r.CloseDelimited {
		// The body ends with the connection, so whatever was sent is complete.
		return
	}
	if err == nil && string(body) != expectedBody {
		t.Errorf("accepted %d bytes as the response: %.60q", len(body), body)
	}
	if err != nil && n > maxFailedReadBytes {
		t.Errorf("read %d bytes without finding the response", n)
	}
	if ctx.Err() != nil {
		t.Error("exchange did not end before the deadline")
	}
}

// TestRandomResponseStreams sends random sequences of expected, stale,
// truncated, smuggled and oversized responses.
func TestRandomResponseStreams(t *testing.T) {
	const mixes = 1500
	for seed := range uint64(mixes) {
		r := rand.New(rand.NewPCG(seed, 0))
		order := make([]byte, 1+r.IntN(5))
		for i := range order {
			order[i] = byte(r.IntN(len(segments)))
		}
		checkStream(t, joinSegments(order))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// FuzzStream inserts fuzzed bytes before, between and after segments.
func FuzzStream(f *testing.F) {
	for i := range segments {
		f.Add([]byte{byte(i)}, "", uint16(0))
		f.Add([]byte{byte(i), 0}, "\r\n", uint16(7))
	}
	f.Fuzz(func(t *testing.T, order []byte, extra string, at uint16) {
		if strings.Contains(extra, idHeader) || len(order) > 8 {
			// The extra bytes must not form another expected response.
			t.Skip()
		}
		s := joinSegments(order)
		i := min(int(at), len(s))
		if extra != "" && (strings.Contains(s[:i], idHeader+": 1") || hasForgedID(order)) {
			// Extra bytes can turn a response with the request ID into a complete one,
			// which cannot be distinguished from the expected one.
			t.Skip()
		}
		checkStream(t, s[:i]+extra+s[i:])
	})
}
