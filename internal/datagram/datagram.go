// Package datagram has UDP sockets that nobody waits at. A socket of package net wakes
// the process for each datagram that comes: one of the runtime's threads returns from
// epoll, looks for work, reads, reads again in vain and waits anew. Who looks at a
// socket at times of its own anyway has what came since in one go, for one wake-up.
//
// The calls never wait, so they go to the kernel without telling the runtime. Else each
// first one after a rest would wake the runtime's monitor, a thread that then looks
// round every 20 us: five wake-ups for one.
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

// ErrNoDatagram tells that nothing has come.
var ErrNoDatagram = errors.New("datagram: nothing has come")

// Socket is one socket. It is not safe for concurrent use.
type Socket struct {
	fd   int
	addr netip.AddrPort
	// Of who is sent to or was heard, so that neither makes garbage. The first fits either.
	v6 unix.RawSockaddrInet6
	v4 unix.RawSockaddrInet4
}

// Listen opens a socket at an address; port 0 is any that is free.
func Listen(at netip.AddrPort) (*Socket, error) {
	family := unix.AF_INET6
	if at.Addr().Unmap().Is4() {
		family = unix.AF_INET
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("datagram: socket: %w", err)
	}
	s := &Socket{fd: fd}
	var local unix.Sockaddr = &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}
	if family == unix.AF_INET {
		local = &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().Unmap().As4()}
	}
	if err := unix.Bind(fd, local); err != nil {
		return nil, errors.Join(fmt.Errorf("datagram: %v: %w", at, err), unix.Close(fd))
	}
	own, err := unix.Getsockname(fd)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("datagram: %w", err), unix.Close(fd))
	}
	switch a := own.(type) {
	case *unix.SockaddrInet4:
		s.addr = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		s.addr = netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return s, nil
}

// Addr is where the socket is.
func (s *Socket) Addr() netip.AddrPort { return s.addr }

// network is a port in the order of bytes of the network, as the kernel has it, and back.
func network(port uint16) uint16 {
	return binary.NativeEndian.Uint16([]byte{byte(port >> 8), byte(port)})
}

// Send sends one datagram. One for which there is no room now is lost, like one that
// the network loses.
func (s *Socket) Send(b []byte, to netip.AddrPort) error {
	at, size := unsafe.Pointer(&s.v6), unsafe.Sizeof(s.v6)
	if ip := to.Addr().Unmap(); ip.Is4() {
		s.v4 = unix.RawSockaddrInet4{Family: unix.AF_INET, Port: network(to.Port()), Addr: ip.As4()}
		at, size = unsafe.Pointer(&s.v4), unsafe.Sizeof(s.v4)
	} else {
		s.v6 = unix.RawSockaddrInet6{Family: unix.AF_INET6, Port: network(to.Port()), Addr: ip.As16()}
	}
	_, _, errno := syscall.RawSyscall6(unix.SYS_SENDTO, uintptr(s.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)),
		unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, uintptr(at), size)
	if errno != 0 {
		return fmt.Errorf("datagram: %v: %w", to, errno)
	}
	return nil
}

// Receive reads the next datagram that has come; what is longer than the buffer is cut
// off. [ErrNone]: there is none.
func (s *Socket) Receive(b []byte) (n int, from netip.AddrPort, err error) {
	for {
		size := uint32(unsafe.Sizeof(s.v6))
		n, _, errno := syscall.RawSyscall6(unix.SYS_RECVFROM, uintptr(s.fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)),
			unix.MSG_DONTWAIT, uintptr(unsafe.Pointer(&s.v6)), uintptr(unsafe.Pointer(&size)))
		switch errno {
		case 0:
			return int(n), s.sender(), nil
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, from, ErrNoDatagram
		default:
			return 0, from, fmt.Errorf("datagram: %w", errno)
		}
	}
}

// sender is who sent what was received last.
func (s *Socket) sender() netip.AddrPort {
	if s.v6.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(&s.v6))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), network(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(s.v6.Addr), network(s.v6.Port))
}

// Close closes the socket.
func (s *Socket) Close() error { return unix.Close(s.fd) }
