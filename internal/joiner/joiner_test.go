package joiner

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/storer"
)

// lag is the age of a recent listing of relayStore.
const lag = time.Second

// relayStore is a store that lists the registered relays.
type relayStore struct {
	storer.Store

	mu              sync.Mutex
	items           []storer.Item
	since           []time.Time
	current, recent int
}

func (s *relayStore) List(_ context.Context, _ string, f storer.Freshness) ([]storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == storer.Current {
		s.current++
		return slices.Clone(s.items), nil
	}
	s.recent++
	n := 0
	for n < len(s.since) && time.Since(s.since[n]) >= lag {
		n++
	}
	return slices.Clone(s.items[:n]), nil
}

func (s *relayStore) register(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, storer.Item{Key: storer.RelayPrefix + address, Value: storer.Value{Data: []byte(address)}})
	s.since = append(s.since, time.Now())
}

// busyPeers respond that they are busy until a given time.
type busyPeers struct{ until time.Time }

func (p busyPeers) Exchange(context.Context, string, bool) (bool, error) {
	return !time.Now().Before(p.until), nil
}

// TestFirstStartLimitsStoreCalls checks that the number of current listings requested
// from the store does not grow with the size of a mesh that starts for the first
// time. Nodes that find no other register as relays. Only recent listings, which
// cost a tenth, may grow with the mesh.
func TestFirstStartLimitsStoreCalls(t *testing.T) {
	const maxCurrent = 40
	for _, n := range []int{1, 13, 88, 300, 1000} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &relayStore{}
				var g sync.WaitGroup
				joined := 0
				var mu sync.Mutex
				for i := range n {
					g.Go(func() {
						a := "127.0.0.1:" + strconv.Itoa(i+1)
						j := New(busyPeers{}, s, a, nil)
						j.FirstStart = true
						if j.Join(t.Context()) == "" {
							s.register(a)
							return
						}
						mu.Lock()
						defer mu.Unlock()
						joined++
					})
				}
				start := time.Now()
				g.Wait()
				if d := time.Since(start); d > firstStartSpread+time.Second {
					t.Errorf("all had joined after %s", d)
				}
				if s.current > maxCurrent || s.recent > n+maxCurrent {
					t.Errorf("the store was asked for %d current and %d recent listings", s.current, s.recent)
				}
				if len(s.items) == 0 || joined+len(s.items) != n {
					t.Errorf("%d joined and %d found no other node", joined, len(s.items))
				}
			})
		})
	}
}

// TestBusyPeersAreRetried checks that a node retries relays that are busy, as
// when many nodes join at once, without listing them in the store again.
func TestBusyPeersAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &relayStore{}
		const relay = "127.0.0.1:1"
		s.register(relay)
		time.Sleep(2 * lag)
		if New(busyPeers{until: time.Now().Add(5 * time.Second)}, s, "n", nil).Join(t.Context()) != relay {
			t.Error("the node has not joined")
		}
		if s.current+s.recent != 1 {
			t.Errorf("the store was asked %d times", s.current+s.recent)
		}
	})
}

// darkPeers hang until the exchange is given up, but for one.
type darkPeers struct{ alive string }

func (p darkPeers) Exchange(ctx context.Context, address string, _ bool) (bool, error) {
	if address == p.alive {
		return true, nil
	}
	<-ctx.Done()
	return false, ctx.Err()
}

// TestJoinDoesNotWaitForDarkPeers covers a power cut of all VMs: the first nodes that
// are back find the relays of before in the store, most of which have no power yet.
// Until they have joined they know no targets.
func TestJoinDoesNotWaitForDarkPeers(t *testing.T) {
	const bound = 500 * time.Millisecond
	const alive = "127.0.0.1:3"
	relays := []string{"127.0.0.1:1", "127.0.0.1:2", alive, "127.0.0.1:4", "127.0.0.1:5"}
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			s := &relayStore{}
			for _, r := range relays {
				s.register(r)
			}
			time.Sleep(2 * lag)
			start := time.Now()
			if a := New(darkPeers{alive: alive}, s, "n", nil).Join(t.Context()); a != alive {
				t.Errorf("joined through %q", a)
			}
			if d := time.Since(start); d > bound {
				t.Errorf("joined after %s", d)
			}
		})
	}
}

// countingPeers counts the exchanges that are asked for, and answers none.
type countingPeers struct{ asked *[]string }

func (p countingPeers) Exchange(_ context.Context, address string, _ bool) (bool, error) {
	*p.asked = append(*p.asked, address)
	return false, nil
}

// TestRecordsWithoutAddressAreNotJoined guards against records of another writer among
// those of relays: looking up a name would block.
func TestRecordsWithoutAddressAreNotJoined(t *testing.T) {
	s := &relayStore{}
	for _, r := range []string{"\xff\xfe", "", "nowhere.example:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:1\r\n", "127.0.0.1:2"} {
		s.register(r)
	}
	var asked []string
	j := New(countingPeers{&asked}, s, "n", nil)
	j.acceptStale = false
	if a := j.round(t.Context()); a != "" || !slices.Equal(asked, []string{"127.0.0.1:2"}) {
		t.Errorf("asked %q", asked)
	}
}
