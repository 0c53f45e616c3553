package imitator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// The platform's headers, as its targets use them.
const (
	requestIDHeader = "Dragonflydoor-Request-Id"
	expectHeader    = "Dragonflydoor-Expect-Instance"
	instanceHeader  = "Dragonflydoor-Instance-Id"
	signatureHeader = "Dragonflydoor-Server-Signature"
	callerHeader    = "Dragonflydoor-Caller-Service"
	notRunHeader    = "Dragonflydoor-Not-Executed"
)

type heartbeatJSON struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     string `json:"cold-remaining"`
	Sequence uint64 `json:"sequence"`
	Born     int64  `json:"born"`
}

// heartbeat reports the target as the platform's targets do.
func (t *Target) heartbeat(ctx context.Context) {
	t.mu.Lock()
	t.sequence++
	j := heartbeatJSON{
		Service: t.Service, Address: t.Address, Zone: "zone", Version: cmp.Or(t.Version, "v1"), Slots: t.Slots, State: "ready",
		Cold: "0ms", Sequence: t.sequence, Born: t.born.UnixMilli(),
	}
	if t.draining {
		j.State = "draining"
	}
	t.mu.Unlock()
	b, _ := json.Marshal(j)
	t.tell(ctx, http.MethodPut, b)
}

// leave tells the node that the target ends, without having drained.
func (t *Target) leave(ctx context.Context) {
	t.tell(ctx, http.MethodDelete, nil)
}

func (t *Target) tell(ctx context.Context, method string, body []byte) {
	u := fmt.Sprintf("http://%s/v1/instances/%s", t.Node, t.Instance)
	q, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		klog.Errorf("target: %v", err)
		return
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		klog.V(1).Infof("target: Reporting failed: %v", err)
		return
	}
	_ = r.Body.Close()
}

// sign prepares the answer to a request as the platform's targets do. It
// returns false when the request is meant for another target.
func (t *Target) sign(w http.ResponseWriter, r *http.Request) bool {
	h := w.Header()
	h.Set(requestIDHeader, r.Header.Get(requestIDHeader))
	if e := r.Header.Get(expectHeader); e != t.Instance {
		h.Set(notRunHeader, "1")
		h.Set(instanceHeader, t.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	h.Set(signatureHeader, "signed-by-"+t.Instance)
	return true
}

// serveHealth says which life of the target answers.
func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(instanceHeader, t.Instance)
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setDraining makes the target report that it drains, at once.
func (t *Target) setDraining(_ http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.heartbeat(r.Context())
}

// platformState is what a target of the platform knows of itself.
type platformState struct {
	sequence uint64
	born     time.Time
	draining bool
}
