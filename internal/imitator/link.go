package imitator

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflydoor/dragonflydoor/internal/grouper"
)

const (
	linkBuffer   = 64 << 10
	linkDial     = time.Second
	linkRecheck  = 20 * time.Millisecond
	linkLogStart = "link: "
)

// Link stands in for the network in front of one node: it passes TCP and UDP
// from a public address on to the node, and can lose what certain sources
// send, in both directions, without closing anything.
type Link struct {
	public string
	node   string

	mu      sync.Mutex
	blocked map[string]bool
	// mute loses what the node sends, and delay holds up everything.
	mute  bool
	delay time.Duration
	conns map[*linkConn]bool
	flows map[string]*net.UDPConn
}

// NewLink returns a link from address public to that of a node.
func NewLink(public, node string) *Link {
	return &Link{
		public:  public,
		node:    node,
		blocked: make(map[string]bool),
		conns:   make(map[*linkConn]bool),
		flows:   make(map[string]*net.UDPConn),
	}
}

// Block loses everything from and to the sources with these IP numbers, on
// connections that are open as well as on new ones.
func (l *Link) Block(ips ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range ips {
		l.blocked[i] = true
	}
}

// Unblock passes everything on again. Connections that lost something stay
// silent.
func (l *Link) Unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
}

// Mute loses what the node sends on connections through the link, or ends that.
// What is sent to the node still arrives.
func (l *Link) Mute(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = on
}

// Delay holds up what passes in either direction for d.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Reset closes every open connection; new ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// Silence makes every open connection silent for good; new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silence()
	}
}

// Start serves the link in group until ctx is done.
func (l *Link) Start(ctx context.Context, group *grouper.Group) error {
	t, err := net.Listen("tcp", l.public)
	if err != nil {
		return err
	}
	a, err := net.ResolveUDPAddr("udp", l.public)
	if err != nil {
		return err
	}
	u, err := net.ListenUDP("udp", a)
	if err != nil {
		return err
	}
	group.Go(func() { l.accept(t, group) })
	group.Go(func() { l.forward(u, group) })
	group.Go(func() {
		<-ctx.Done()
		_ = t.Close()
		_ = u.Close()
		l.closeAll()
	})
	return nil
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.close()
	}
	for _, f := range l.flows {
		_ = f.Close()
	}
}

func (l *Link) faults() (mute bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute, l.delay
}

func (l *Link) isBlocked(ip string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[ip]
}

func (l *Link) accept(t net.Listener, group *grouper.Group) {
	for {
		c, err := t.Accept()
		if err != nil {
			return
		}
		group.Go(func() { l.connect(c, group) })
	}
}

// connect joins a connection with one to the node. A source that is blocked
// gets neither an answer nor an error.
func (l *Link) connect(c net.Conn, group *grouper.Group) {
	p := &linkConn{link: l, near: c, ip: host(c.RemoteAddr()), silent: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	if l.isBlocked(p.ip) {
		p.silence()
		return
	}
	f, err := net.DialTimeout("tcp", l.node, linkDial)
	if err != nil {
		p.close()
		return
	}
	l.mu.Lock()
	p.far = f
	l.mu.Unlock()
	group.Go(func() { p.copy(f, c) })
	p.copy(c, f)
}

// linkConn is one connection through a link.
type linkConn struct {
	link   *Link
	near   net.Conn
	far    net.Conn
	ip     string
	once   sync.Once
	silent chan struct{}
}

func (c *linkConn) silence() {
	c.once.Do(func() { close(c.silent) })
}

// reset closes both ends so that neither takes it for a normal end.
func (c *linkConn) reset() {
	for _, n := range []net.Conn{c.near, c.far} {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	c.close()
}

func (c *linkConn) close() {
	_ = c.near.Close()
	if c.far != nil {
		_ = c.far.Close()
	}
}

// copy passes bytes on until one end closes, or forever swallows them.
func (c *linkConn) copy(to, from net.Conn) {
	b := make([]byte, linkBuffer)
	for {
		n, err := from.Read(b)
		mute, delay := c.link.faults()
		time.Sleep(delay)
		if c.isSilent() || (mute && to == c.near) {
			// Nothing more passes, not even the end of the connection.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	c.close()
}

func (c *linkConn) isSilent() bool {
	if c.link.isBlocked(c.ip) {
		c.silence()
	}
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// forward passes datagrams to the node, each source through its own socket.
func (l *Link) forward(u *net.UDPConn, group *grouper.Group) {
	b := make([]byte, linkBuffer)
	for {
		n, a, err := u.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(linkRecheck)
			continue
		}
		if l.isBlocked(a.IP.String()) {
			continue
		}
		f, err := l.flow(u, a, group)
		if err != nil {
			klog.Errorf(linkLogStart+"No flow for %s: %v", a, err)
			continue
		}
		_, _ = f.Write(b[:n])
	}
}

// flow returns the socket through which the datagrams of a source go on.
func (l *Link) flow(u *net.UDPConn, source *net.UDPAddr, group *grouper.Group) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[source.String()]; ok {
		return f, nil
	}
	r, err := net.ResolveUDPAddr("udp", l.node)
	if err != nil {
		return nil, err
	}
	f, err := net.DialUDP("udp", nil, r)
	if err != nil {
		return nil, err
	}
	l.flows[source.String()] = f
	group.Go(func() { l.back(u, f, source) })
	return f, nil
}

// back passes the node's datagrams to the source.
func (l *Link) back(u, f *net.UDPConn, source *net.UDPAddr) {
	b := make([]byte, linkBuffer)
	for {
		n, err := f.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(linkRecheck)
			continue
		}
		if mute, _ := l.faults(); !mute && !l.isBlocked(source.IP.String()) {
			_, _ = u.WriteToUDP(b[:n], source)
		}
	}
}

func host(a net.Addr) string {
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return h
}
