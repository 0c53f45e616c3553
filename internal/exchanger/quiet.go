package exchanger

import (
	"errors"
	"net"
	"syscall"
)

// isOpen reports whether an idle connection is open and has no pending data.
// Pending data is either an EOF or bytes that belong to no request.
func isOpen(c net.Conn) bool {
	if u, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = u.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	q := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		q = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && q
}
