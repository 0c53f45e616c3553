package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/forwarder"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/recorder"
	"github.com/dragonflydoor/dragonflydoor/internal/registrar"
	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// outageStore rejects every write while it is down.
type outageStore struct {
	imitator.Store

	down atomic.Bool
}

// Put implements storer.Store.
func (s *outageStore) Put(ctx context.Context, key string, data []byte, revision uint64, l storer.LeaseID) (uint64, error) {
	if s.down.Load() {
		return 0, classifier.Error(classifier.Unavailable, classifier.NotRun, "down")
	}
	return s.Store.Put(ctx, key, data, revision, l)
}

// reportMux takes "DELETE /i/INSTANCE" and "PUT /i/INSTANCE", a report that the instance
// drains, as the interface of a platform does.
func reportMux(n *Node, _ http.Handler) http.Handler {
	m := http.NewServeMux()
	answer := func(w http.ResponseWriter, err error) {
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	m.HandleFunc("DELETE /i/{instance}", func(w http.ResponseWriter, r *http.Request) {
		answer(w, n.Depart(r.PathValue("instance")))
	})
	m.HandleFunc("PUT /i/{instance}", func(w http.ResponseWriter, r *http.Request) {
		a := reportOf(r.PathValue("instance"))
		a.Draining, a.Sequence = true, 2
		answer(w, n.Announce(a))
	})
	return m
}

// reportOf returns the first report of an instance; each has an address of its own.
func reportOf(instance string) registrar.Announcement {
	i, _ := strconv.Atoi(instance)
	return registrar.Announcement{Instance: instance, StartedAtUnixMS: 5, Sequence: 1, Service: "s", Address: "127.0.0.1:" + strconv.Itoa(20_000+i), Slots: 4}
}

// startNode runs a node beside targets of which reportOf tells, and returns it with the
// address for reports, the function that stops it, and a channel that is closed once it has
// stopped.
func startNode(t *testing.T, s storer.Store, targets int) (n *Node, address string, stop func(), stopped <-chan struct{}) {
	t.Helper()
	settings := configurer.Defaults()
	settings.Node, settings.DataCenter, settings.StopBound = "n", "dc", 10*time.Second
	for _, a := range []*string{&settings.PeerBindAddress, &settings.CallerAddress, &settings.LocalAddress} {
		*a = freeAddress(t)
	}
	settings.PeerAddress = settings.PeerBindAddress
	d := forwarder.DefaultDialect
	d.Instance = "Instance"
	n, err := New(settings, Surroundings{
		Store:   func(string, *meter.Traffic) storer.Store { return s },
		Dialect: d,
		Local:   reportMux,
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range targets {
		if err := n.Announce(reportOf(strconv.Itoa(i))); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		n.Run(ctx, nil)
		close(c)
	})
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return n, settings.LocalAddress, cancel, c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// isConfirmed sends a report and reports whether the node confirmed it.
func isConfirmed(t *testing.T, c *http.Client, method, address, instance string) bool {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, fmt.Sprintf("http://%s/i/%s", address, instance), http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r, err := c.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// recorded returns the instances in the record that the next process of the node reads.
func recorded(t *testing.T, s storer.Store) []string {
	t.Helper()
	var names []string
	ctx, cancel := context.WithCancel(t.Context())
	r := recorder.New(s, "n")
	done := make(chan struct{})
	r.Restored = func(l []gossiper.Target) {
		for _, d := range l {
			names = append(names, d.Instance)
		}
		close(done)
	}
	var g sync.WaitGroup
	g.Go(func() { r.Run(ctx) })
	select {
	case <-done:
	case <-time.After(2 * time.Second):
	}
	cancel()
	g.Wait()
	return names
}

// TestDeparturesConfirmedWhileStoppingAreRecorded guards against targets that are used
// again after a planned restart: the stopping node had confirmed that they leave when
// nothing recorded departures any more.
func TestDeparturesConfirmedWhileStoppingAreRecorded(t *testing.T) {
	tests := []struct {
		name, method string
		keepAlive    bool
	}{
		{"departures on a new connection each", http.MethodDelete, false},
		{"departures on a kept connection", http.MethodDelete, true},
		{"reports of draining on a new connection each", http.MethodPut, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var store imitator.Store
			// A record holds 64 departures.
			const targets = 60
			n, address, stop, stopped := startNode(t, &store, targets)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !c.keepAlive}, Timeout: time.Second}
			defer client.CloseIdleConnections()
			var confirmed []string
			next := 0
			report := func() {
				if i := strconv.Itoa(next); isConfirmed(t, client, c.method, address, i) {
					confirmed = append(confirmed, i)
				}
				next++
			}
			report()
			stop()
			// The targets leave from shortly before the loops of the node end.
			time.Sleep(drainGrace - 100*time.Millisecond)
			ended := false
			for !ended && next < targets {
				report()
				select {
				case <-stopped:
					ended = true
				case <-n.stopping.Done():
				case <-time.After(15 * time.Millisecond):
				}
			}
			<-stopped
			l := recorded(t, &store)
			if len(confirmed) < 2 {
				t.Errorf("%d departures were confirmed, expected some during the stop", len(confirmed))
			}
			for _, i := range confirmed {
				if !slices.Contains(l, i) {
					t.Errorf("the departure of instance %s was confirmed and is not recorded", i)
				}
			}
		})
	}
}

// TestStoppingNodesConfirmOnlyRecordedDepartures guards against departures that a stopping
// node confirms while the store is down, so that its next process does not know them.
func TestStoppingNodesConfirmOnlyRecordedDepartures(t *testing.T) {
	var store outageStore
	n, address, stop, stopped := startNode(t, &store, 3)
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	time.Sleep(200 * time.Millisecond)
	store.down.Store(true)
	if !isConfirmed(t, client, http.MethodDelete, address, "0") {
		t.Error("a running node did not confirm a departure while the store was down")
	}
	stop()
	for !n.entry.Draining() {
		time.Sleep(time.Millisecond)
	}
	if isConfirmed(t, client, http.MethodDelete, address, "1") {
		t.Error("a stopping node confirmed a departure that it could not record")
	}
	store.down.Store(false)
	<-stopped
	if l := recorded(t, &store); !slices.Contains(l, "0") {
		t.Errorf("the record holds %v, not the departure that was confirmed before the stop", l)
	}
}
