package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/router"
)

const (
	largeProfile   = "large"
	largeServices  = 1100
	idleWindow     = 5 * time.Second
	settleWindow   = 3 * time.Second
	changeInterval = 150 * time.Millisecond
	stormBound     = 60 * time.Second
	churnInterval  = 100 * time.Millisecond
)

// profile returns a large profile; another edit changes one service.
func profile(edit int) router.Profile {
	p := router.Profile{Name: largeProfile}
	for i := range largeServices {
		n := fmt.Sprintf("service-%d", i)
		p.Services = append(p.Services, service(n, 5*time.Second))
		p.Routes = append(p.Routes, router.Route{
			Name:         fmt.Sprintf("route-%d", i),
			PathPrefix:   "/" + n,
			Destinations: []router.Destination{{Service: n, Weight: 1}},
		})
	}
	s := p.Services[edit%largeServices]
	s.Timeout += time.Duration(edit) * time.Millisecond
	q := router.Profile{Name: largeProfile, Routes: nil}
	for _, o := range p.Services {
		q = q.WithService(o)
	}
	for _, o := range p.Routes {
		q = q.WithRoute(o)
	}
	return q.WithService(s)
}

func service(name string, timeout time.Duration) router.Service {
	return router.Service{
		Name:      name,
		Timeout:   timeout,
		Retry:     router.RetryPolicy{MaxAttempts: 2, BudgetPercent: 20},
		Limits:    router.Limits{Slots: 12, Connections: 110, Queue: 24, MaxBodyBytes: 1 << 20},
		KeyWindow: 2 * time.Minute,
	}
}

// measureFleet measures one design at one size.
func (b *bench) measureFleet(ctx context.Context, design string, n int) error {
	f, err := b.newFleet(ctx, design)
	if err != nil {
		return err
	}
	defer f.close()
	base := profile(0)
	if err := f.promote(ctx, base, nil); err != nil {
		return err
	}
	for i := 1; i <= n; i++ {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	if err := f.awaitSettled(ctx, 1); err != nil {
		return err
	}
	i, err := f.idle()
	if err != nil {
		return err
	}
	if err := f.measureChanges(ctx, i); err != nil {
		return err
	}
	if err := f.measureChurn(ctx); err != nil {
		return err
	}
	return f.measureStorm(ctx)
}

// change is an accepted change with its time.
type change struct {
	generation uint64
	at         time.Time
}

// promote publishes p and puts it in force; it appends to list.
func (f *fleet) promote(ctx context.Context, p router.Profile, list *[]change) error {
	u := f.publisher()
	id := fmt.Sprintf("measure-%d", time.Now().UnixNano())
	if _, err := u.Publish(ctx, p, id); err != nil {
		return err
	}
	o, err := u.Promote(ctx, p.Name, 0, id)
	if err == nil && list != nil {
		*list = append(*list, change{generation: o.Generation, at: o.AcceptedAt})
	}
	return err
}

// awaitSettled waits until every node holds generation and knows all others.
func (f *fleet) awaitSettled(ctx context.Context, generation uint64) error {
	err := f.await(ctx, func() error {
		l, err := f.dumps()
		if err != nil {
			return err
		}
		for i, d := range l {
			if d.Generation < generation {
				return fmt.Errorf("n%d holds generation %d of %d", i+1, d.Generation, generation)
			}
			if f.design == meshDesign && d.alive() != len(f.nodes) {
				return fmt.Errorf("n%d knows %d of %d nodes", i+1, d.alive(), len(f.nodes))
			}
		}
		return nil
	})
	if err == nil {
		time.Sleep(settleWindow)
	}
	return err
}

// rates is what the fleet does without changes, each second.
type rates struct {
	nodeBytes  float64
	storeBytes float64
	storeCalls float64
	cpu        float64
}

// sample is a reading of all counters.
type sample struct {
	at    time.Time
	nodes uint64
	store counts
	cpu   time.Duration
	// operator is what the tool itself exchanged with the store, in bytes.
	operator uint64
}

func (f *fleet) sample() (sample, error) {
	s := sample{at: time.Now()}
	l, err := f.dumps()
	if err != nil {
		return s, err
	}
	for _, d := range l {
		s.nodes += d.traffic()
	}
	if s.cpu, err = f.cpu(); err != nil {
		return s, err
	}
	s.operator = f.operator.Received() + f.operator.Sent()
	s.store, err = f.counts(false)
	return s, err
}

func (f *fleet) idle() (rates, error) {
	a, err := f.sample()
	if err != nil {
		return rates{}, err
	}
	time.Sleep(idleWindow)
	b, err := f.sample()
	if err != nil {
		return rates{}, err
	}
	s := b.at.Sub(a.at).Seconds()
	return rates{
		nodeBytes:  float64(b.nodes-a.nodes) / s / float64(len(f.nodes)),
		storeBytes: float64(b.store.bytes()-a.store.bytes()) / s,
		storeCalls: float64(b.store.calls()-a.store.calls()) / s,
		cpu:        (b.cpu - a.cpu).Seconds() / s / float64(len(f.nodes)),
	}, nil
}

// measureChanges makes small edits of the large profile.
func (f *fleet) measureChanges(ctx context.Context, i rates) error {
	a, err := f.sample()
	if err != nil {
		return err
	}
	l, err := f.changes(ctx, 1)
	if err != nil {
		return err
	}
	b, err := f.sample()
	if err != nil {
		return err
	}
	if err := f.printConvergence("convergence", l); err != nil {
		return err
	}
	return f.printCosts(a, b, i, len(l))
}

func (f *fleet) printCosts(a, b sample, i rates, changes int) error {
	s := b.at.Sub(a.at).Seconds()
	n := float64(changes)
	op := float64(b.operator - a.operator)
	src := float64(b.store.bytes()-a.store.bytes()) - op - i.storeBytes*s
	node := float64(b.nodes-a.nodes)/float64(len(f.nodes)) - i.nodeBytes*s
	calls := float64(b.store.calls()-a.store.calls()) - i.storeCalls*s
	v := map[string]float64{
		"source_bytes_per_change":   src / n,
		"operator_bytes_per_change": op / n,
		"source_idle_bytes_per_s":   i.storeBytes,
	}
	if f.design == meshDesign {
		v["node_bytes_per_change"] = node / n
		v["node_idle_bytes_per_s"] = i.nodeBytes
	}
	if err := f.report("control_bytes", v); err != nil {
		return err
	}
	err := f.report("store_calls", map[string]float64{"per_change": calls / n, "idle_per_s": i.storeCalls})
	if err != nil {
		return err
	}
	return f.report("node", map[string]float64{
		"cpu_percent_idle":    100 * i.cpu,
		"cpu_percent_changes": 100 * (b.cpu - a.cpu).Seconds() / s / float64(len(f.nodes)),
		"changes_per_s":       n / s,
	})
}

// changes makes the edits from number first on, and waits for the last one.
func (f *fleet) changes(ctx context.Context, first int) ([]change, error) {
	var l []change
	for k := range f.bench.Changes {
		if err := f.promote(ctx, profile(first+k), &l); err != nil {
			return nil, err
		}
		time.Sleep(changeInterval)
	}
	g := l[len(l)-1].generation
	return l, f.await(ctx, func() error {
		d, err := f.dumps()
		if err != nil {
			return err
		}
		for i, x := range d {
			if x.Generation < g {
				return fmt.Errorf("n%d holds generation %d of %d", i+1, x.Generation, g)
			}
		}
		return nil
	})
}

// printConvergence prints the time from each acceptance until the last node
// applied it, or something newer.
func (f *fleet) printConvergence(name string, l []change) error {
	d, err := f.dumps()
	if err != nil {
		return err
	}
	var last, all []time.Duration
	for _, c := range l {
		var m time.Duration
		for _, x := range d {
			t, ok := appliedAfter(x, c)
			if !ok {
				continue
			}
			all = append(all, t)
			m = max(m, t)
		}
		last = append(last, m)
	}
	return f.report(name, map[string]float64{
		"p50_ms":      millis(percentile(last, 50)),
		"p99_ms":      millis(percentile(last, 99)),
		"max_ms":      millis(percentile(last, 100)),
		"node_p50_ms": millis(percentile(all, 50)),
		"node_p99_ms": millis(percentile(all, 99)),
	})
}

// appliedAfter returns when a node held c or something newer, if it can tell.
func appliedAfter(d dump, c change) (time.Duration, bool) {
	for _, a := range d.Applied {
		if a.Generation >= c.generation && a.At.After(c.at) {
			return a.At.Sub(c.at), true
		}
	}
	return 0, false
}

// measureChurn makes the edits again while targets come and go.
func (f *fleet) measureChurn(ctx context.Context) error {
	if f.design != meshDesign {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	f.group.Go(func() {
		defer close(done)
		f.churn(ctx)
	})
	l, err := f.changes(ctx, f.bench.Changes+1)
	cancel()
	<-done
	if err != nil {
		return err
	}
	return f.printConvergence("convergence_churn", l)
}

// churn announces and removes targets at nodes in turn.
func (f *fleet) churn(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		n := i%len(f.nodes) + 1
		f.announce(n, fmt.Sprintf("service-%d", i%largeServices), address(n, 5))
		time.Sleep(churnInterval)
		f.withdraw(n, address(n, 5))
	}
}

// measureStorm kills half of the nodes and lets them return at once.
func (f *fleet) measureStorm(ctx context.Context) error {
	for i := range f.nodes {
		if i%2 == 1 {
			f.nodes[i].kill()
		}
	}
	time.Sleep(settleWindow)
	if _, err := f.counts(true); err != nil {
		return err
	}
	s := time.Now()
	for i := range f.nodes {
		if i%2 == 1 {
			if err := f.startNode(i + 1); err != nil {
				return err
			}
		}
	}
	g := uint64(1 + f.bench.Changes)
	err := f.await(ctx, func() error {
		l, err := f.dumps()
		if err != nil {
			return err
		}
		for i, d := range l {
			if d.Generation < g {
				return fmt.Errorf("n%d holds generation %d of %d after the storm", i+1, d.Generation, g)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	t := time.Since(s)
	time.Sleep(settleWindow)
	c, err := f.counts(false)
	if err != nil {
		return err
	}
	return f.report("storm", map[string]float64{
		"peak_reads_per_s":  float64(c.PeakReads),
		"peak_writes_per_s": float64(c.PeakWrite),
		"refused":           float64(c.Refused),
		"current_after_ms":  millis(t),
	})
}

func (f *fleet) report(name string, v map[string]float64) error {
	return f.bench.report(line{Name: name, Nodes: len(f.nodes), Design: f.design, Values: v})
}
