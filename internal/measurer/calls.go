package measurer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	warmCalls       = 500
	pacedCalls      = 4000
	pace            = 500 * time.Microsecond
	loadWindow      = 4 * time.Second
	loadCallers     = 10
	overloadFactor  = 6
	overloadSleepMS = 20
	echoService     = "echo"
)

// announce tells node i of a target.
func (f *fleet) announce(i int, service, target string) {
	b := fmt.Sprintf(`{"service": %q, "address": %q}`, service, target)
	q, err := http.NewRequest(http.MethodPut, "http://"+address(i, 2)+"/v1/targets", bytes.NewBufferString(b))
	if err == nil {
		f.discard(q)
	}
}

// withdraw takes a target out of node i.
func (f *fleet) withdraw(i int, target string) {
	q, err := http.NewRequest(http.MethodDelete, "http://"+address(i, 2)+"/v1/targets/"+url.PathEscape(target), nil)
	if err == nil {
		f.discard(q)
	}
}

func (f *fleet) discard(q *http.Request) {
	r, err := f.client.Do(q)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
}

// measureCalls compares calls over two hops with direct calls.
func (b *bench) measureCalls(ctx context.Context) error {
	f, err := b.newFleet(ctx, meshDesign)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startEcho(ctx); err != nil {
		return err
	}
	if err := f.measureOverhead(ctx); err != nil {
		return err
	}
	if err := f.measureThroughput(ctx); err != nil {
		return err
	}
	return f.measureOverload(ctx)
}

// startEcho starts two nodes and a target beside the second one.
func (f *fleet) startEcho(ctx context.Context) error {
	p := router.Profile{Name: largeProfile}.
		WithService(service(echoService, 2*time.Second)).
		WithRoute(router.Route{Name: "all", PathPrefix: "/", Destinations: []router.Destination{{Service: echoService, Weight: 1}}})
	if err := f.promote(ctx, p, nil); err != nil {
		return err
	}
	for i := 1; i <= 2; i++ {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	t, err := f.start(f.bench.Standin, "target", "--address", f.target(), "--service", echoService, "--node", address(2, 2))
	if err != nil {
		return err
	}
	f.others = append(f.others, t)
	if err := f.awaitSettled(ctx, 1); err != nil {
		return err
	}
	// The target is given all its slots once it is warm.
	time.Sleep(settleWindow)
	return f.await(ctx, func() error {
		_, err := f.call(f.entry() + "/x")
		return err
	})
}

func (f *fleet) target() string { return address(2, 6) }

func (f *fleet) entry() string { return "http://" + address(1, 1) }

func (f *fleet) direct() string { return "http://" + f.target() }

// call makes one request and returns how long it took.
func (f *fleet) call(u string) (time.Duration, error) {
	s := time.Now()
	r, err := f.client.Get(u)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", u, r.Status)
	}
	return time.Since(s), err
}

// measureOverhead makes paced calls, direct and through the mesh in turn.
func (f *fleet) measureOverhead(ctx context.Context) error {
	var direct, mesh []time.Duration
	for i := range warmCalls + pacedCalls {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d, err := f.call(f.direct() + "/x")
		if err != nil {
			return err
		}
		time.Sleep(pace)
		m, err := f.call(f.entry() + "/x")
		if err != nil {
			return err
		}
		time.Sleep(pace)
		if i >= warmCalls {
			direct = append(direct, d)
			mesh = append(mesh, m)
		}
	}
	v := make(map[string]float64)
	for n, p := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		v[n+"_us"] = micros(percentile(mesh, p) - percentile(direct, p))
		v["direct_"+n+"_us"] = micros(percentile(direct, p))
	}
	return f.report("call_overhead", v)
}

// measureThroughput loads the mesh and counts calls for each second of
// processor time that both nodes used.
func (f *fleet) measureThroughput(ctx context.Context) error {
	a, err := f.cpu()
	if err != nil {
		return err
	}
	n, _, _ := f.load(ctx, loadCallers, f.entry()+"/x")
	b, err := f.cpu()
	if err != nil {
		return err
	}
	return f.report("call_throughput", map[string]float64{
		"calls_per_s":      float64(n) / loadWindow.Seconds(),
		"calls_per_core_s": float64(n) / (b - a).Seconds(),
	})
}

// load keeps callers busy and returns how many calls were answered, refused
// and slower than the deadline.
func (f *fleet) load(ctx context.Context, callers int, u string) (answered, refused, slow uint64) {
	var ok, no, late atomic.Uint64
	ctx, cancel := context.WithTimeout(ctx, loadWindow)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: dumpBound}
	w := &fleet{client: c}
	var g grouper.Group
	for range callers {
		g.Go(func() {
			for ctx.Err() == nil {
				d, err := w.call(u)
				switch {
				case err != nil:
					no.Add(1)
				case d > goodLatency:
					late.Add(1)
				default:
					ok.Add(1)
				}
			}
		})
	}
	g.Wait()
	return ok.Load(), no.Load(), late.Load()
}

// goodLatency is the time within which an answer counts as good.
const goodLatency = 500 * time.Millisecond

// measureOverload compares the goodput at the target's slots with that at a
// multiple of them, through the gate.
func (f *fleet) measureOverload(ctx context.Context) error {
	const slots = 12
	u := fmt.Sprintf("%s/x?sleep_ms=%d", f.entry(), overloadSleepMS)
	peak, _, _ := f.load(ctx, slots, u)
	good, refused, late := f.load(ctx, slots*overloadFactor, u)
	s := loadWindow.Seconds()
	return f.report("overload", map[string]float64{
		"peak_goodput_per_s":     float64(peak) / s,
		"overload_goodput_per_s": float64(good) / s,
		"refused_per_s":          float64(refused) / s,
		"late_per_s":             float64(late) / s,
	})
}
