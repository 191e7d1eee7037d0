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

// ReceiveBuffer returns how many bytes the operating system last granted to the receive buffer of a socket; 0 if no
// socket has been set up by [Pacer.Control] yet.
func (p *Pacer) ReceiveBuffer() int {
	if p == nil {
		return 0
	}
	return int(p.receiveBuffer.Load())
}

// recordReceiveBuffer reads the size of a socket's receive buffer, which may differ from what was asked for.
func (p *Pacer) recordReceiveBuffer(fd uintptr) {
	if size, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF); err == nil {
		p.receiveBuffer.Store(int64(size))
	}
}

// Control sets the buffer sizes of a socket before it connects or listens, for [net.Dialer] and [net.ListenConfig]. A
// small receive buffer limits how much the peer can have in transit on the link.
func (p *Pacer) Control(_, _ string, c syscall.RawConn) error {
	size := p.SocketBuffer()
	if size == 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		defer p.recordReceiveBuffer(fd)
		// If the system refuses, the socket works with its default buffers.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
	})
}
