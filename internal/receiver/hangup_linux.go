package receiver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The states of a TCP connection whose client has closed it (TCP_CLOSE and
// TCP_CLOSE_WAIT in the kernel's net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// peerClosed reports whether the client has closed its side of the connection, although
// data that it sent before is unread.
func peerClosed(k net.Conn) bool {
	for {
		if s, ok := k.(syscall.Conn); ok {
			return isClosed(s)
		}
		n, ok := k.(interface{ NetConn() net.Conn })
		if !ok {
			return false
		}
		k = n.NetConn()
	}
}

func isClosed(s syscall.Conn) bool {
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = r.Control(func(fd uintptr) {
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (i.State == tcpClose || i.State == tcpCloseWait)
	})
	return closed
}
