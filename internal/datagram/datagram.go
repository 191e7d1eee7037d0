// Package datagram provides non-blocking UDP sockets for callers that poll them.
//
// A socket of package net wakes the process for each datagram that arrives: a thread of the
// runtime returns from epoll, looks for work, reads, reads again without a result, and waits
// again. A caller that polls its socket on a schedule of its own instead reads all datagrams
// that have arrived since, with a single wake-up.
//
// As the system calls never block, they are made without notifying the Go runtime.
// Otherwise, each first call after a pause would wake the runtime's monitor thread (sysmon),
// which then polls every 20 us: five wake-ups instead of one.
package datagram

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ErrNoDatagram reports that no datagram is waiting to be received.
var ErrNoDatagram = errors.New("datagram: no datagram available")

// Socket is a UDP socket. It is not safe for concurrent use.
type Socket struct {
	fd    int
	local netip.AddrPort
	// Buffers for the peer address of the last Send or Receive, in the kernel's format. They
	// are fields so that neither call allocates. As an IPv4 address fits into the buffer for
	// an IPv6 address, Receive uses addr6 for both.
	addr6 unix.RawSockaddrInet6
	addr4 unix.RawSockaddrInet4
}

// Listen opens a socket bound to an address. Port 0 selects a free port.
func Listen(local netip.AddrPort) (*Socket, error) {
	family := unix.AF_INET6
	if local.Addr().Unmap().Is4() {
		family = unix.AF_INET
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagram: socket: %w", err)
	}
	if err := unix.Bind(fd, sockaddr(local)); err != nil {
		return nil, errors.Join(fmt.Errorf("datagram: bind to %v: %w", local, err), unix.Close(fd))
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("datagram: getsockname: %w", err), unix.Close(fd))
	}
	return &Socket{fd: fd, local: addrPort(bound)}, nil
}

// sockaddr converts an address to the type of package unix.
func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// addrPort is the inverse of sockaddr. It returns the zero value for other address families.
func addrPort(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// Addr returns the local address of the socket.
func (s *Socket) Addr() netip.AddrPort { return s.local }

// portInNetworkOrder converts a port between host byte order and network byte order, which
// the kernel uses.
func portInNetworkOrder(port uint16) uint16 {
	return binary.NativeEndian.Uint16([]byte{byte(port >> 8), byte(port)})
}

// Send sends one datagram. If the kernel has no buffer space for it, the datagram is dropped
// and an error is returned.
func (s *Socket) Send(b []byte, to netip.AddrPort) error {
	addr, size := unsafe.Pointer(&s.addr6), unsafe.Sizeof(s.addr6)
	if ip := to.Addr().Unmap(); ip.Is4() {
		s.addr4 = unix.RawSockaddrInet4{Family: unix.AF_INET, Port: portInNetworkOrder(to.Port()), Addr: ip.As4()}
		addr, size = unsafe.Pointer(&s.addr4), unsafe.Sizeof(s.addr4)
	} else {
		s.addr6 = unix.RawSockaddrInet6{Family: unix.AF_INET6, Port: portInNetworkOrder(to.Port()), Addr: ip.As16()}
	}
	_, _, errno := syscall.RawSyscall6(unix.SYS_SENDTO,
		uintptr(s.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)),
		unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, uintptr(addr), size)
	if errno != 0 {
		return fmt.Errorf("datagram: send to %v: %w", to, errno)
	}
	return nil
}

// Receive reads the next datagram that has arrived and returns its length and sender. A
// datagram that is longer than the buffer is truncated. Receive fails with [ErrNoDatagram] if
// no datagram has arrived.
func (s *Socket) Receive(b []byte) (n int, from netip.AddrPort, err error) {
	for {
		size := uint32(unsafe.Sizeof(s.addr6))
		n, _, errno := syscall.RawSyscall6(unix.SYS_RECVFROM,
			uintptr(s.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)),
			unix.MSG_DONTWAIT, uintptr(unsafe.Pointer(&s.addr6)), uintptr(unsafe.Pointer(&size)))
		switch errno {
		case 0:
			return int(n), s.lastSender(), nil
		case unix.EINTR: // retry
		case unix.EAGAIN:
			return 0, from, ErrNoDatagram
		default:
			return 0, from, fmt.Errorf("datagram: receive: %w", errno)
		}
	}
}

// lastSender returns the sender of the last datagram received.
func (s *Socket) lastSender() netip.AddrPort {
	if s.addr6.Family == unix.AF_INET {
		addr4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(&s.addr6))
		return netip.AddrPortFrom(netip.AddrFrom4(addr4.Addr), portInNetworkOrder(addr4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(s.addr6.Addr), portInNetworkOrder(s.addr6.Port))
}

// Close closes the socket.
func (s *Socket) Close() error { return unix.Close(s.fd) }
