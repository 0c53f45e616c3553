package receiver

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxEmptyBytes is how many bytes of empty lines are ignored in front of a request:
	// some programs send one after a body (RFC 9112, section 2.2).
	maxEmptyBytes = 4
	maxMethod     = 64

	// lineCost is the estimated memory for one header line while its request runs: a map
	// entry, a list of values and a string here, and an entry and a list in each of the
	// two copies that forwarding makes, of which one may be garbage. A map that has just
	// grown takes 94 bytes for an entry.
	lineCost = 400
	// requestCost is the estimated memory for a request without headers: goroutines,
	// buffers for its response, and what is recorded of it.
	requestCost = 12 << 10
	// bodyCost is the part of a body that the forwarder keeps in memory.
	bodyCost = 64 << 10
)

// rejection is a request that is rejected without running. It implements error.
type rejection struct {
	status int
	reason string
}

func (r *rejection) Error() string { return http.StatusText(r.status) + ": " + r.reason }

func malformed(reason string) *rejection {
	return &rejection{status: http.StatusBadRequest, reason: reason}
}

// looksLikeRequest reports whether b begins like a request: with a method and a space.
// Other clients get no response, since they would not understand it.
func looksLikeRequest(b []byte) bool {
	i := bytes.IndexByte(b, ' ')
	return i > 0 && i <= maxMethod && httpguts.ValidHeaderFieldName(string(b[:i])) && b[0] >= 'A' && b[0] <= 'Z'
}

// headLength returns the length of the head at the beginning of b, without empty lines in
// front of it, or 0 if it is unfinished. No end was found before position from.
func headLength(b []byte, from int) int {
	for i := max(from-3, 0); i < len(b); {
		k := bytes.IndexByte(b[i:], '\n')
		if k < 0 {
			return 0
		}
		i += k + 1
		if i < len(b) && b[i] == '\n' {
			return i + 1
		}
		if i+1 < len(b) && b[i] == '\r' && b[i+1] == '\n' {
			return i + 2
		}
	}
	return 0
}

// cost returns the estimated memory for a request with this head.
func cost(head []byte) int64 {
	return requestCost + 2*int64(len(head)) + int64(bytes.Count(head, []byte{'\n'}))*lineCost
}

// bodyCharge returns the estimated memory for what is kept of a body.
func bodyCharge(h head) int64 {
	switch {
	case h.chunked:
		return bodyCost
	case h.request == nil:
		return 0
	}
	return min(h.request.ContentLength, bodyCost)
}

// head is a parsed head.
type head struct {
	request *http.Request
	// statedLength means that there is a Content-Length, and chunked that the body is sent
	// in chunks.
	statedLength bool
	chunked      bool
	// expect means that the client waits for 100 (Continue) before it sends the body.
	expect bool
}

// parseHead parses a complete head. It changes b.
func parseHead(b []byte) (head, *rejection) {
	line, rest := cutLine(b)
	q, f := parseRequestLine(line)
	if f != nil {
		return head{}, f
	}
	n := bytes.Count(rest, []byte{'\n'}) - 1
	q.Header = make(http.Header, max(n, 0))
	values := make([]string, 0, max(n, 0))
	for len(rest) > 0 {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		var v string
		var k string
		if k, v, f = parseHeaderLine(line); f != nil {
			return head{}, f
		}
		if l := q.Header[k]; l != nil {
			q.Header[k] = append(l, v)
			continue
		}
		values = append(values, v)
		q.Header[k] = values[len(values)-1 : len(values) : len(values)]
	}
	if f := setHost(q); f != nil {
		return head{}, f
	}
	h := head{request: q}
	if f := h.setFraming(); f != nil {
		return head{}, f
	}
	q.Close = shouldClose(q)
	if l := q.Header["Pragma"]; len(l) > 0 && l[0] == "no-cache" && q.Header["Cache-Control"] == nil {
		q.Header["Cache-Control"] = []string{"no-cache"}
	}
	return h, nil
}

// cutLine returns the first line of b without its end, and the rest.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return b, nil
	}
	return bytes.TrimSuffix(b[:i], []byte{'\r'}), b[i+1:]
}

func parseRequestLine(line []byte) (*http.Request, *rejection) {
	s := string(line)
	method, s, ok1 := strings.Cut(s, " ")
	uri, proto, ok2 := strings.Cut(s, " ")
	if !ok1 || !ok2 || !httpguts.ValidHeaderFieldName(method) {
		return nil, malformed("malformed request line")
	}
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok {
		return nil, malformed("malformed HTTP version")
	}
	if major != 1 {
		return nil, &rejection{status: http.StatusHTTPVersionNotSupported, reason: "unsupported protocol version"}
	}
	q := &http.Request{Method: method, RequestURI: uri, Proto: proto, ProtoMajor: major, ProtoMinor: minor}
	justAuthority := method == http.MethodConnect && !strings.HasPrefix(uri, "/")
	if justAuthority {
		uri = "http://" + uri
	}
	var err error
	if q.URL, err = url.ParseRequestURI(uri); err != nil {
		return nil, malformed("malformed URI")
	}
	if justAuthority {
		q.URL.Scheme = ""
	}
	return q, nil
}

// parseHeaderLine parses a line "name: value". Continuation lines of folded headers begin
// with a space and are rejected, since programs interpret them differently.
func parseHeaderLine(line []byte) (name, value string, f *rejection) {
	i := bytes.IndexByte(line, ':')
	if i <= 0 {
		return "", "", malformed("malformed header line")
	}
	// One string for both: a line is short, and a value must not keep the whole head.
	s := string(line)
	k, v := s[:i], strings.Trim(s[i+1:], " \t")
	if !httpguts.ValidHeaderFieldName(k) {
		return "", "", malformed("invalid header name")
	}
	if !httpguts.ValidHeaderFieldValue(v) {
		return "", "", malformed("invalid header value")
	}
	return textproto.CanonicalMIMEHeaderKey(k), v, nil
}

func setHost(q *http.Request) *rejection {
	l := q.Header["Host"]
	if len(l) > 1 {
		return malformed("too many Host headers")
	}
	if len(l) == 0 && q.ProtoAtLeast(1, 1) && q.Method != http.MethodConnect {
		return malformed("missing required Host header")
	}
	if len(l) == 1 && !httpguts.ValidHostHeader(l[0]) {
		return malformed("malformed Host header")
	}
	q.Host = q.URL.Host
	if q.Host == "" && len(l) == 1 {
		q.Host = l[0]
	}
	delete(q.Header, "Host")
	return nil
}

// setFraming sets how the body is delimited.
func (h *head) setFraming() *rejection {
	q := h.request
	te, lengths := q.Header["Transfer-Encoding"], q.Header["Content-Length"]
	h.statedLength = len(lengths) > 0
	h.expect = q.ProtoAtLeast(1, 1) && httpguts.HeaderValuesContainsToken(q.Header["Expect"], "100-continue")
	if e := q.Header.Get("Expect"); e != "" && !h.expect {
		return &rejection{status: http.StatusExpectationFailed, reason: "unknown expectation"}
	}
	for _, l := range lengths {
		n, err := strconv.ParseUint(strings.TrimSpace(l), 10, 63)
		if err != nil || l != lengths[0] {
			return malformed("invalid or conflicting Content-Length")
		}
		q.ContentLength = int64(n)
	}
	if len(lengths) > 1 {
		q.Header["Content-Length"] = lengths[:1]
	}
	if len(te) == 0 {
		return nil
	}
	if !q.ProtoAtLeast(1, 1) {
		return malformed("Transfer-Encoding in an HTTP/1.0 request")
	}
	if len(te) > 1 || !strings.EqualFold(te[0], "chunked") {
		return &rejection{status: http.StatusNotImplemented, reason: "unsupported transfer encoding"}
	}
	h.chunked = true
	q.ContentLength = -1
	q.TransferEncoding = []string{"chunked"}
	delete(q.Header, "Transfer-Encoding")
	delete(q.Header, "Content-Length")
	return h.setTrailer()
}

// setTrailer sets the names of the trailers that the client has announced.
func (h *head) setTrailer() *rejection {
	q := h.request
	for _, l := range q.Header["Trailer"] {
		for n := range strings.SplitSeq(l, ",") {
			n = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n))
			switch n {
			case "":
				continue
			case "Transfer-Encoding", "Trailer", "Content-Length":
				return malformed("bad trailer name")
			}
			if q.Trailer == nil {
				q.Trailer = make(http.Header)
			}
			q.Trailer[n] = nil
		}
	}
	delete(q.Header, "Trailer")
	return nil
}

// shouldClose reports whether the client wants the connection to be closed after the
// response.
func shouldClose(q *http.Request) bool {
	c := q.Header["Connection"]
	if !q.ProtoAtLeast(1, 1) {
		return httpguts.HeaderValuesContainsToken(c, "close") || !httpguts.HeaderValuesContainsToken(c, "keep-alive")
	}
	return httpguts.HeaderValuesContainsToken(c, "close")
}
