package connector

import "net/http"

// maxControlBytes bounds a control message: the table of the aimed size is under
// 1 MB, and a configuration is a few megabytes at most.
const maxControlBytes = 8 << 20

// BoundMessages returns h, whose requests may not be longer than a control message.
func BoundMessages(h http.Handler) http.Handler {
	return http.MaxBytesHandler(h, maxControlBytes)
}

// boundedAnswers bounds the bodies of answers, which the clients of control
// messages read whole.
type boundedAnswers struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b boundedAnswers) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := b.RoundTripper.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	r.Body = http.MaxBytesReader(nil, r.Body, maxControlBytes)
	return r, nil
}
