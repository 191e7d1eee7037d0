package link

import (
	"syscall"
	"time"
)

const (
	// A socket buffer holds as much as the link carries in socketBufferTime, and
	// minSocketBuffer bytes at least.
	socketBufferTime = 25 * time.Millisecond
	minSocketBuffer  = 8 << 10
	// fastLink is the speed in bytes a second (80 Mbit/s) from which the buffers are left
	// to the system.
	fastLink = 80e6 / 8
)

// SocketBuffer is how many bytes a socket buffer should hold; 0: as many as the system
// likes.
func (p *Pacer) SocketBuffer() int {
	if p == nil || p.bytesPerS >= fastLink {
		return 0
	}
	return max(minSocketBuffer, int(p.bytesPerS*socketBufferTime.Seconds()))
}

// Control sets a socket's buffers before it connects or listens, for [net.Dialer] and
// [net.ListenConfig]: the receive buffer, so that whoever sends to it puts little on the
// link at a time, and the send buffer.
func (p *Pacer) Control(_, _ string, c syscall.RawConn) error {
	size := p.SocketBuffer()
	if size == 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// Where the system refuses, the socket serves with the buffers that it has.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
	})
}
