package receiver

import (
	"sync"
)

const (
	// defaultBudget applies if the memory of the VM is unknown.
	defaultBudget = 64 << 20
	minBudget     = 4 << 20
	maxBudget     = 256 << 20
	// budgetShare of the VM's memory is for heads and requests. The heap may grow to
	// twice what is in use before it is collected, and the rest of the node takes about
	// 40 MB: with an eighth, crowds of clients stay within a VM of 64 MB.
	budgetShare      = 1.0 / 8
	bytesPerMegabyte = 1 << 20

	// headsPart of the budget is for heads that are still being read, so that complete
	// requests always find some.
	headsPart = 2
	// largeCost is the cost from which requests leave a reservePart of the budget to
	// smaller ones, so that a few costly requests do not keep out ordinary ones.
	largeCost   = 32 << 10
	reservePart = 8

	// minBodyRate is the rate of a body, in bytes per second, below which it is given up
	// for another request when the budget is used up: that of a client which sends nothing
	// for 2 s.
	minBodyRate = rateCredit / 2
)

// Budget limits the memory for heads being read and for requests held, over all servers
// that share it. Its zero value has a default size.
type Budget struct {
	total int64

	mu      sync.Mutex
	used    int64
	heads   int64
	servers map[*Server]bool
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{total: bytes} }

// BudgetFor returns the budget of a process on a VM with the given memory, in megabytes
// of 2^20 bytes; zero means unknown.
func BudgetFor(memoryMB float64) *Budget {
	if memoryMB <= 0 {
		return &Budget{}
	}
	b := min(max(budgetShare*memoryMB*bytesPerMegabyte, minBudget), maxBudget)
	return NewBudget(int64(b))
}

// Size returns the size of the budget in bytes.
func (b *Budget) Size() int64 {
	if b.total <= 0 {
		return defaultBudget
	}
	return b.total
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// takeHead takes n bytes for a head that is being read.
func (b *Budget) takeHead(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.Size(); b.used+n > s || b.heads+n > s/headsPart {
		return false
	}
	b.used += n
	b.heads += n
	return true
}

func (b *Budget) releaseHead(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.heads -= n
}

// cost limits the estimated cost of a request to what large requests may take, so that
// each request within the limits can run alone.
func (b *Budget) cost(n int64) int64 {
	s := b.Size()
	return min(n, s-s/reservePart-s/headsPart/2)
}

// takeRequest takes n bytes for a request that will run.
func (b *Budget) takeRequest(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.Size()
	if n > largeCost {
		s -= s / reservePart
	}
	if b.used+n > s {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) releaseRequest(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *Budget) register(s *Server, add bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !add {
		delete(b.servers, s)
		return
	}
	if b.servers == nil {
		b.servers = make(map[*Server]bool)
	}
	b.servers[s] = true
}

// slowestHead returns the connection with the slowest unfinished head among those that
// have taken a part of the budget; nil if there is none.
func (b *Budget) slowestHead() *conn {
	c, _ := b.slowest(func(c *conn) bool { return c.phase == phaseHead && c.headCharge > 0 })
	return c
}

// stalledBody returns the connection with the slowest unfinished body, nil if none is
// slower than minBodyRate.
func (b *Budget) stalledBody() *conn {
	c, r := b.slowest(func(c *conn) bool { return c.phase == phaseBody })
	if r >= minBodyRate {
		return nil
	}
	return c
}

// slowest returns the slowest connection among those that match, over all servers, with
// its rate; nil if none does.
func (b *Budget) slowest(match func(*conn) bool) (*conn, float64) {
	b.mu.Lock()
	l := make([]*Server, 0, len(b.servers))
	for s := range b.servers {
		l = append(l, s)
	}
	b.mu.Unlock()
	var worst *conn
	var rate float64
	for _, s := range l {
		c, r := s.slowest(match)
		if c != nil && (worst == nil || r < rate) {
			worst, rate = c, r
		}
	}
	return worst, rate
}
