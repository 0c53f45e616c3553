package connector

import (
	"net/http"
	"sync"

	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

// Dialer caches a client for each peer. All clients share one transport.
type Dialer struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]messenger.Mesh
}

// NewDialer returns a Dialer that uses t.
func NewDialer(t http.RoundTripper) *Dialer {
	return &Dialer{http: &http.Client{Transport: t}, clients: make(map[string]messenger.Mesh)}
}

// Dial returns the client for the node at the given peer address.
func (d *Dialer) Dial(address string) messenger.Mesh {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = messenger.NewMeshProtobufClient("http://"+address, d.http)
		d.clients[address] = c
	}
	return c
}
