package syncer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflydoor/dragonflydoor/internal/accepter"
	"github.com/dragonflydoor/dragonflydoor/internal/encoder"
	"github.com/dragonflydoor/dragonflydoor/internal/holder"
	"github.com/dragonflydoor/dragonflydoor/internal/limiter"
	"github.com/dragonflydoor/dragonflydoor/internal/messenger"
)

const (
	maxWait = 30 * time.Second
	// childGrace is how long a child is counted after its poll has ended.
	childGrace = 300 * time.Millisecond
	// childrenPerFanOut limits the children to a multiple of the fan-out. There are
	// more than the fan-out while other parents are down.
	childrenPerFanOut = 2
	// wholePerSecond limits the rate of responses with the whole configuration.
	wholePerSecond = 50
)

// Server answers the pull requests of children.
type Server struct {
	holder     *holder.Holder
	tallier    *ReportAggregator
	fanOut     int
	wholeLimit *limiter.Bucket
	cache      answerCache
}

// NewServer returns a server for the configuration in h that records the reports
// of children in t.
func NewServer(h *holder.Holder, t *ReportAggregator, fanOut int) *Server {
	return &Server{
		holder:     h,
		tallier:    t,
		fanOut:     fanOut,
		wholeLimit: limiter.NewBucket(wholePerSecond, wholePerSecond),
	}
}

// Pull answers once the node holds a newer generation than the child, or when the
// wait time of the request has passed.
func (s *Server) Pull(ctx context.Context, q *messenger.PullRequest) *messenger.PullResponse {
	w := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxWait)
	if w > 0 {
		p, ok := s.tallier.Admit(q.GetNode(), q.GetGeneration(), readReport(q), time.Now(), childrenPerFanOut*s.fanOut)
		if !ok {
			return &messenger.PullResponse{Busy: true}
		}
		defer s.endPoll(ctx, q.GetNode(), p)
	}
	ctx, cancel := context.WithTimeout(ctx, w)
	defer cancel()
	c := s.holder.Wait(ctx, q.GetGeneration())
	if c.Generation() <= q.GetGeneration() {
		return &messenger.PullResponse{Generation: c.Generation()}
	}
	return s.answer(q, c)
}

// endPoll keeps a child that was answered for childGrace, so that it is still
// counted until it polls again.
func (s *Server) endPoll(ctx context.Context, node string, poll uint64) {
	if ctx.Err() != nil {
		s.tallier.Forget(node, poll)
		return
	}
	s.tallier.Release(node, poll, time.Now().Add(childGrace))
}

func (s *Server) answer(q *messenger.PullRequest, c *holder.Snapshot) *messenger.PullResponse {
	b := s.base(q)
	if b == nil && !s.wholeLimit.Take(time.Now()) {
		return &messenger.PullResponse{Busy: true}
	}
	return s.cache.get(b, c)
}

// base returns the snapshot that the child holds, or nil.
func (s *Server) base(q *messenger.PullRequest) *holder.Snapshot {
	d, err := encoder.DigestFromBytes(q.GetStateDigest())
	if err != nil || q.GetWhole() {
		return nil
	}
	return s.holder.Recent(q.GetGeneration(), d)
}

// answerCache caches the responses that update a node to the newest snapshot, by
// the digest of the node's state.
type answerCache struct {
	mu      sync.Mutex
	target  encoder.Digest
	answers map[encoder.Digest]*messenger.PullResponse
}

func (c *answerCache) get(base, target *holder.Snapshot) *messenger.PullResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != target.StateDigest || c.answers == nil {
		c.target = target.StateDigest
		c.answers = make(map[encoder.Digest]*messenger.PullResponse)
	}
	var k encoder.Digest
	if base != nil {
		k = base.StateDigest
	}
	a, ok := c.answers[k]
	if !ok {
		a = Compose(base, target)
		c.answers[k] = a
	}
	return a
}

func readReport(q *messenger.PullRequest) Report {
	var r Report
	for _, t := range q.GetTallies() {
		r.Tallies = append(r.Tallies, Tally{Generation: t.GetGeneration(), Nodes: int(t.GetNodes())})
	}
	for _, l := range q.GetLaggards() {
		r.Laggards = append(r.Laggards, Laggard{Node: l.GetNode(), Generation: l.GetGeneration()})
	}
	return r
}

// WriteTallies converts tallies to their wire form.
func WriteTallies(list []Tally) []*messenger.Tally {
	l := make([]*messenger.Tally, 0, len(list))
	for _, t := range list {
		l = append(l, &messenger.Tally{Generation: t.Generation, Nodes: uint32(t.Nodes)})
	}
	return l
}

// WriteLaggards converts laggards to their wire form.
func WriteLaggards(list []Laggard) []*messenger.Laggard {
	l := make([]*messenger.Laggard, 0, len(list))
	for _, g := range list {
		l = append(l, &messenger.Laggard{Node: g.Node, Generation: g.Generation})
	}
	return l
}

// WriteEntries converts entries to their wire form.
func WriteEntries(list []accepter.Entry) []*messenger.Entry {
	l := make([]*messenger.Entry, 0, len(list))
	for _, e := range list {
		l = append(l, writeEntry(e))
	}
	return l
}
