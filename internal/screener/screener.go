// Package screener rejects malformed heads of HTTP messages. net/http accepts some in
// responses: they would be passed on, or delimit the body at another place than the peer
// meant.
package screener

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The statuses of HTTP (RFC 9110, section 15).
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckHead returns an error if the head of r is not that of an HTTP/1 response. It wants no
// response to a request to upgrade.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("protocol %q is not HTTP/1", r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("status %q is not valid", r.Status)
	}
	if r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %q answers no request to upgrade", r.Status)
	}
	return CheckFields(r.Header)
}

// CheckFields returns an error if a name or a value in h would change the meaning of the head
// that it is written to, or was read from one whose meaning is not certain.
func CheckFields(h http.Header) error {
	for n, l := range h {
		if !httpguts.ValidHeaderFieldName(n) {
			return fmt.Errorf("header name %q is not valid", n)
		}
		for _, v := range l {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("header %s has the invalid value %q", n, v)
			}
		}
	}
	return nil
}

// Transport fails round trips whose response CheckHead rejects.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := t.RoundTripper.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(r); err != nil {
		_ = r.Body.Close()
		return nil, err
	}
	return r, nil
}
