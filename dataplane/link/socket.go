package link

import (
	"syscall"
	"time"
)

const (
	// A socket buffer holds the data that the link carries in socketBufferTime, but at least minSocketBuffer bytes.
	socketBufferTime = 25 * time.Millisecond
	minSocketBuffer  = 8 << 10
	// fastLink is the link speed in bytes per second (80 Mbit/s) from which the system's default buffers are used.
	fastLink = 80e6 / 8
)

// SocketBuffer returns the size of socket buffers in bytes; 0 means the system's default.
func (p *Pacer) SocketBuffer() int {
	if p == nil || p.bytesPerS >= fastLink {
		return 0
	}
	return max(minSocketBuffer, int(p.bytesPerS*socketBufferTime.Seconds()))
}

// Control sets the buffer sizes of a socket before it connects or listens, for [net.Dialer] and [net.ListenConfig]. A
// small receive buffer limits how much the peer can have in transit on the link.
func (p *Pacer) Control(_, _ string, c syscall.RawConn) error {
	size := p.SocketBuffer()
	if size == 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// If the system refuses, the socket works with its default buffers.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
	})
}
