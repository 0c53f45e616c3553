// Package connector provides the HTTP clients and servers for communication
// between nodes. It uses unencrypted HTTP/2 and detects dead connections by
// pings.
package connector

import (
	"net"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// Liveness limits of a connection between nodes: if nothing arrives for
// PingIdleTimeout, a ping is sent, and the connection is closed if there is no
// reply within PingReplyTimeout.
const (
	PingIdleTimeout  = time.Second
	PingReplyTimeout = time.Second

	dialTimeout       = time.Second
	idleTimeout       = 2 * time.Minute
	headerTimeout     = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	maxStreams        = 1000
	keepAliveInterval = 15 * time.Second

	// peerDialTimeout is the delay of a call to a node that has disappeared. On
	// a 25 Mbit/s link saturated by downloads, a round trip takes over 300 ms.
	peerDialTimeout = time.Second
	// peerIdleTimeout is below idleTimeout, after which the peer closes the
	// connection.
	peerIdleTimeout = idleTimeout / 2
	// peerReadTimeout covers several interim responses of a gate and the delay
	// of a saturated link.
	peerReadTimeout = time.Second
	maxIdlePerPeer  = 64
)

// NewTransport returns a transport to other nodes whose traffic is counted by
// t. It dials from the IP address of from, unless from is empty.
func NewTransport(t *meter.Traffic, from string) http.RoundTripper {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return limitedTransport{&http.Transport{
		Protocols:          &p,
		DialContext:        t.Dialer(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, LocalAddr: sourceAddress(from)}),
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// The same limit as for callers.
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: PingIdleTimeout,
			PingTimeout:     PingReplyTimeout,
		},
	}}
}

// sourceAddress returns the IP address of address with any port, or nil.
func sourceAddress(address string) net.Addr {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	i := net.ParseIP(h)
	if i == nil || i.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: i}
}

// NewPeers returns a client for calls to other nodes whose traffic is counted
// by t. It dials from the IP address of from, unless from is empty.
func NewPeers(t *meter.Traffic, from string) *exchanger.Client {
	return exchanger.New(exchanger.Options{
		Source:      sourceAddress(from),
		DialTimeout: peerDialTimeout,
		IdleTimeout: peerIdleTimeout,
		ReadTimeout: peerReadTimeout,
		MaxIdle:     maxIdlePerPeer,
	}, t)
}
