package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/configurer"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/imitator"
	"github.com/dragonflydoor/dragonflydoor/internal/meter"
	"github.com/dragonflydoor/dragonflydoor/internal/publisher"
	"github.com/dragonflydoor/dragonflydoor/internal/runner"
)

const (
	demoHeaderBound = 10 * time.Second
	demoBound       = 15 * time.Second
	demoProfile     = "everyday"
	// Offsets from the first port.
	demoStorePort  = 0
	demoNodePorts  = 10
	demoTargetPort = 5
)

// demoBody is the profile that the demo publishes.
const demoBody = `{
  "name": "everyday",
  "description": "The demo's profile.",
  "services": [{"name": "fihris"}, {"name": "sijill"}],
  "routes": [
    {"name": "catalog", "path_prefix": "/", "destinations": [{"service": "fihris"}]},
    {"name": "donations", "path_prefix": "/donations", "methods": ["POST"], "destinations": [{"service": "sijill"}]}
  ]
}`

type demoCommand struct {
	Port int `arg:"--port" default:"7400" placeholder:"PORT" help:"first of the loopback ports to use"`
}

// demo is a small mesh in one process.
type demo struct {
	port  int
	group grouper.Group
	nodes grouper.Group
}

// demoNode places a node and its target.
type demoNode struct {
	name, dataCenter, service string
}

var demoNodes = []demoNode{
	{"fihris-1", "amman-a", "fihris"},
	{"fihris-2", "amman-b", "fihris"},
	{"sijill-1", "amman-a", "sijill"},
	{"sijill-2", "amman-b", "sijill"},
}

func (c *demoCommand) run(ctx context.Context, e *environment) error {
	d := &demo{port: c.Port}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.start(ctx, e); err != nil {
		return classifier.Wrap(err, classifier.Unavailable, classifier.NotRun, "demo")
	}
	if err := d.promote(ctx); err != nil {
		return err
	}
	d.explain(e.out)
	<-ctx.Done()
	d.nodes.Wait()
	cancel()
	d.group.Wait()
	return nil
}

func (d *demo) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.port+offset)
}

// nodeAddress returns the k-th address of the i-th node.
func (d *demo) nodeAddress(i, k int) string {
	return d.address((i+1)*demoNodePorts + k)
}

func (d *demo) start(ctx context.Context, e *environment) error {
	var s imitator.Server
	if err := d.serve(ctx, d.address(demoStorePort), s.Handler()); err != nil {
		return err
	}
	for i, n := range demoNodes {
		if err := d.startNode(ctx, i, n, e.again); err != nil {
			return err
		}
		if err := d.startTarget(ctx, i, n); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startNode(ctx context.Context, i int, n demoNode, again <-chan struct{}) error {
	r, err := runner.New(configurer.Settings{
		Node:                n.name,
		DataCenter:          n.dataCenter,
		Profile:             demoProfile,
		PeerAddress:         d.nodeAddress(i, 0),
		PeerBindAddress:     d.nodeAddress(i, 0),
		CallerAddress:       d.nodeAddress(i, 1),
		LocalAddress:        d.nodeAddress(i, 2),
		StoreAddress:        d.address(demoStorePort),
		Peers:               []string{d.nodeAddress(0, 0)},
		RelaysPerDataCenter: 1,
		FanOut:              2,
	}, ownSurroundings())
	if err != nil {
		return err
	}
	d.nodes.Go(func() { r.Run(ctx, again) })
	return nil
}

func (d *demo) startTarget(ctx context.Context, i int, n demoNode) error {
	t := &imitator.Target{
		Service: n.service,
		Address: d.nodeAddress(i, demoTargetPort),
		Node:    d.nodeAddress(i, 2),
		Exit:    func() { panic(http.ErrAbortHandler) },
	}
	d.group.Loop(ctx, t.Announce)
	return d.serve(ctx, t.Address, t.Handler())
}

func (d *demo) serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: demoHeaderBound}
	d.group.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("demo: Listener %s failed: %v", address, err)
		}
	})
	d.group.Go(func() {
		<-ctx.Done()
		_ = s.Close()
	})
	return nil
}

// promote puts the demo's profile in force and waits for every node.
func (d *demo) promote(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoBound)
	defer cancel()
	p, err := encoder.DecodeProfile([]byte(demoBody))
	if err != nil {
		return err
	}
	s := d.address(demoStorePort)
	u := publisher.New(newStore(s, &meter.Traffic{}), "demo")
	if _, err := u.Publish(ctx, p, newOperationID()); err != nil {
		return err
	}
	o, err := u.Promote(ctx, p.Name, 0, newOperationID())
	if err != nil {
		return err
	}
	_, err = awaitGeneration(ctx, storeOptions{Store: s}, o.Generation)
	return err
}

func (d *demo) explain(w io.Writer) {
	_, _ = fmt.Fprintf(w, `A mesh of %d nodes in two data centres runs profile %q. Try in another terminal:

  curl -i http://%s/recordings/7
  curl -i -X POST -d "five dinars" http://%s/donations
  export DRAGONFLYDOOR_STORE=%s
  go run . status
  go run . show %s > mine.json     # edit mine.json, then:
  go run . publish --promote mine.json
  go run . list
  go run . dump --node %s

Stop it with Ctrl-C.
`, len(demoNodes), demoProfile, d.nodeAddress(0, 1), d.nodeAddress(3, 1), d.address(demoStorePort), demoProfile, d.nodeAddress(0, 2))
}
