package exchanger

import (
	"fmt"
	"net/http"
)

// The statuses of HTTP (RFC 9110, section 15).
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckHead returns an error if r has a head that net/http accepts and that is not the head
// of an HTTP/1 response.
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
	return nil
}
