package connector

import "net/http"

// maxControlMessageBytes limits a control message. The table of a fleet of the
// intended size is below 1 MB, and a configuration is a few megabytes at most.
const maxControlMessageBytes = 8 << 20

// BoundMessages limits the request bodies of h to the maximum size of a control
// message.
func BoundMessages(h http.Handler) http.Handler {
	return http.MaxBytesHandler(h, maxControlMessageBytes)
}

// limitedTransport limits the size of response bodies, since the clients of
// control messages read them into memory.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b limitedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := b.RoundTripper.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	r.Body = http.MaxBytesReader(nil, r.Body, maxControlMessageBytes)
	return r, nil
}
