// Package connector makes the clients and servers with which nodes talk to
// each other: unencrypted HTTP/2 whose silent connections are found by pings.
package connector

import (
	"net"
	"net/http"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
)

// Liveness bounds of a connection between nodes: a connection on which
// nothing arrives for SilenceBound is pinged, and closed when the answer does
// not come within PingBound.
const (
	SilenceBound = time.Second
	PingBound    = time.Second

	dialBound         = time.Second
	idleBound         = 2 * time.Minute
	headerBound       = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	maxStreams        = 1000
	keepAliveInterval = 15 * time.Second

	// peerDialBound is what a call pays for a node that has vanished. On a link
	// of 25 Mbit/s that is full of downloads, a round trip takes over 300 ms.
	peerDialBound = time.Second
	// peerIdleBound is below idleBound, the time after which the other side
	// closes.
	peerIdleBound = idleBound / 2
	// peerSilence is some signs of life of a gate, and the same delay.
	peerSilence = time.Second
	maxPeerIdle = 64
)

// NewTransport returns a transport to other nodes whose bytes t counts. It
// sends from the IP number of address from, unless that is empty.
func NewTransport(t *meter.Traffic, from string) http.RoundTripper {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return boundedAnswers{&http.Transport{
		Protocols:          &p,
		DialContext:        t.Dialer(&net.Dialer{Timeout: dialBound, KeepAlive: keepAliveInterval, LocalAddr: source(from)}),
		IdleConnTimeout:    idleBound,
		DisableCompression: true,
		// As for callers.
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: SilenceBound,
			PingTimeout:     PingBound,
		},
	}}
}

// source returns the IP number of an address with any port, or nil.
func source(address string) net.Addr {
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

// NewPeers returns a client for calls to other nodes whose bytes t counts. It
// sends from the IP number of address from, unless that is empty.
func NewPeers(t *meter.Traffic, from string) *exchanger.Client {
	return exchanger.New(exchanger.Options{
		Source:      source(from),
		DialBound:   peerDialBound,
		IdleBound:   peerIdleBound,
		ReadTimeout: peerSilence,
		MaxIdle:     maxPeerIdle,
	}, t)
}
