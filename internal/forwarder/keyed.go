package forwarder

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/classifier"
	"github.com/dragonflydoor/dragonflydoor/internal/deduplicator"
	"github.com/dragonflydoor/dragonflydoor/internal/exchanger"
	"github.com/dragonflydoor/dragonflydoor/internal/gatekeeper"
	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
	"github.com/dragonflydoor/dragonflydoor/internal/sleeper"
)

const (
	maxKeyBytes = 255
	// maxHomeTries and homePause limit the retries while the membership changes and
	// nodes disagree on the home of a key. The pause doubles after each try.
	maxHomeTries = 4
	homePause    = 50 * time.Millisecond
)

var (
	errNotHome      = classifier.Unavailable.NewSubtype("not_home")
	errKeyUncertain = classifier.Interrupted.NewSubtype("key_uncertain")
	errKeyMismatch  = classifier.Invalid.NewSubtype("key_mismatch")
)

// setKey sets the idempotency key of a request that is not repeatable from the given
// header. It returns false if the key is too long.
func (j *job) setKey(header string) bool {
	if j.repeatable() || header == "" {
		return true
	}
	j.key = j.request.Header.Get(header)
	return len(j.key) <= maxKeyBytes
}

// runKeyed runs a request at the home node of its key, or on this node if it has no
// key.
func (e *Entry) runKeyed(j *job) (*answer, error) {
	if j.key == "" {
		return e.run(j)
	}
	var err error
	for n := range maxHomeTries {
		var a *answer
		a, err = e.tryHome(j)
		if err == nil || classifier.VerdictOf(err) != classifier.NotRun || !classifier.Is(err, errNotHome) || !j.body.replayable() {
			return a, err
		}
		if !sleeper.Sleep(j.ctx, homePause<<n) {
			break
		}
	}
	return nil, err
}

func (e *Entry) tryHome(j *job) (*answer, error) {
	h, since, ok := deduplicator.Home(e.view(), j.service.Name, j.key)
	if !ok {
		return nil, classifier.Error(errNoTarget, classifier.NotRun, "service %q has no target", j.service.Name)
	}
	if h.Node == e.node {
		return e.atHome(j, since)
	}
	return e.sendHome(j, h)
}

// sendHome sends a request to the home node of its key and returns the answer.
func (e *Entry) sendHome(j *job, h gossiper.Member) (*answer, error) {
	ctx, limit, cancel := limitUntilAnswer(j.ctx, j.deadline)
	c := e.call(j, gossiper.Endpoint{Target: gossiper.Target{Service: j.service.Name}})
	c.purpose = toHome
	c.profile = j.profile.Name
	// The refusal of the home must arrive before the deadline, as that of a gate.
	c.deadline = c.deadline.Add(-answerHopTime)
	c.header.Set(HopHeader, c.format())
	c.header.Set(e.dialect.Deadline, formatLeft(c.deadline, time.Now()))
	r, err := e.peers.Do(ctx, h.PeerAddress, c.exchange(e.dialect.Request))
	if err != nil {
		defer cancel()
		err = classify(ctx, err, "home "+h.Node)
		if classifier.VerdictOf(err) == classifier.NotRun && ctx.Err() == nil {
			return nil, classifier.Wrap(err, errNotHome, classifier.NotRun, "home %s", h.Node)
		}
		return nil, err
	}
	a, err := e.readHome(ctx, r, h, c)
	if err == nil {
		a, err = limit.accept(ctx, a, "home "+h.Node)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return a.cancelOnClose(cancel), nil
}

func (e *Entry) readHome(ctx context.Context, r *exchanger.Response, h gossiper.Member, c call) (*answer, error) {
	t, ok := parseReport(r.Header.Get(HopHeader))
	if !ok {
		_ = r.Body.Close()
		return nil, classifier.Error(classifier.Interrupted, classifier.MayHaveRun, "home %s answered without %s", h.Node, HopHeader)
	}
	p := r.Header.Get(ReplayedHeader)
	a, err := bufferAnswer(r, c.method)
	if t.refused {
		a.discard()
		return nil, refusalError(t, gossiper.Endpoint{Node: h.Node})
	}
	if err != nil {
		return nil, classify(ctx, err, "answer of home "+h.Node)
	}
	stripHopByHop(a.header)
	e.dialect.stripReserved(a.header)
	if p != "" {
		a.header.Set(ReplayedHeader, p)
	}
	return a, nil
}

// ServeHome serves a keyed request from another node.
func (e *Entry) ServeHome(w http.ResponseWriter, r *http.Request) {
	c, _ := e.gate.accept(r)
	w.Header().Set(e.dialect.Request, c.request)
	p := startInterimSender(w)
	a, err := e.serveHomeRequest(w, r, c)
	p.stop()
	if err != nil {
		writeRefusal(w, err, gatekeeper.Load{})
		return
	}
	w.Header().Set(HopHeader, report{}.format())
	if err := a.write(w, c.answerDeadline()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) serveHomeRequest(w http.ResponseWriter, r *http.Request, c call) (*answer, error) {
	j := e.newJob(r)
	j.id = c.request
	j.key = c.header.Get(e.dialect.Key)
	j.deadline = c.deadline
	j.profile = e.holder.Current().Serving(c.profile)
	if j.profile == nil {
		return nil, classifier.Error(errNotHome, classifier.NotRun, "profile %q is not in force here", c.profile)
	}
	s, ok := j.profile.Service(c.service)
	if !ok {
		return nil, classifier.Error(errNotHome, classifier.NotRun, "service %q is not in force here", c.service)
	}
	j.service = s
	j.workspace = j.workspaceOf(c.workspace)
	if f, ok := j.readBody(w, *e.service.Load()); !ok {
		return nil, classifier.Error(errorTypeOf(f.Reason), f.Verdict, "%s", f.Message)
	}
	h, since, ok := deduplicator.Home(e.view(), s.Name, j.key)
	if !ok || h.Node != e.node {
		return nil, classifier.Error(errNotHome, classifier.NotRun, "node %s is not home to the key", e.node)
	}
	return e.atHome(j, since)
}

// atHome runs a keyed request at the home of its key. If the request has run already
// or is running, it returns that answer; if it may have run, an error.
func (e *Entry) atHome(j *job, since time.Time) (*answer, error) {
	if t := e.trustedSince(j.service.Name); t.After(since) {
		since = t
	}
	u := deduplicator.Use{
		Key:         j.service.Name + "\x00" + j.workspaceName() + "\x00" + j.key,
		CallerKey:   j.key,
		RequestHash: j.requestHash(),
		HomeSince:   since,
		Window:      j.service.KeyWindow,
	}
	c, s := e.keys.Begin(u, time.Now())
	switch s {
	case deduplicator.First:
		return e.runFirst(j, u, c)
	case deduplicator.Running, deduplicator.Done:
		return replay(j, c)
	case deduplicator.Mismatch:
		return nil, classifier.Error(errKeyMismatch, classifier.NotRun, "the key was used with another request")
	case deduplicator.Uncertain:
		return nil, classifier.Error(errKeyUncertain, classifier.MayHaveRun, "the key's home has changed, an earlier one may have run the request")
	default:
		return nil, classifier.Error(classifier.Overloaded, classifier.NotRun, "too many idempotency keys")
	}
}

// runFirst runs a request whose key is new. Unless its body is streamed, the request
// continues when the caller disconnects, so that a retry of the caller gets the
// answer.
func (e *Entry) runFirst(j *job, u deduplicator.Use, c *deduplicator.Claim[*answer]) (*answer, error) {
	if j.body.rest == nil {
		j.ctx = context.WithoutCancel(j.ctx)
	}
	a, err := e.run(j)
	if err == nil && a.rest != nil {
		e.keys.End(u, c, nil, classifier.Error(classifier.Interrupted, classifier.MayHaveRun, "the request has run; its answer was too large to keep"), time.Now())
		return a, nil
	}
	e.keys.End(u, c, a, err, time.Now())
	return a, err
}

// replay waits until the first request with a key has ended and returns its answer.
func replay(j *job, c *deduplicator.Claim[*answer]) (*answer, error) {
	t := time.NewTimer(time.Until(j.deadline))
	defer t.Stop()
	select {
	case <-c.Wait():
	case <-t.C:
		return nil, classifier.Error(classifier.TimedOut, classifier.MayHaveRun, "the first request with the key still runs")
	case <-j.ctx.Done():
		return nil, classifier.Error(classifier.Interrupted, classifier.MayHaveRun, "the caller left")
	}
	a, err := c.Outcome()
	if err != nil {
		return nil, err
	}
	r := *a
	r.header = a.header.Clone()
	r.header.Set(ReplayedHeader, "true")
	return &r, nil
}

// requestHash returns a hash that detects the use of a key with another request.
func (j *job) requestHash() uint64 {
	h := fnv.New64a()
	add(h, j.request.Method, j.request.URL.RequestURI(), strconv.FormatInt(j.body.length, 10))
	_, _ = h.Write(j.body.kept)
	return h.Sum64()
}
