package node

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"example.org/elmspan/balancer"
)

const (
	maxDatagram     = 256 // bytes
	sendQueueLength = 256 // messages
)

// peerLink exchanges datagrams with the other limiters.
type peerLink struct {
	conn      *net.UDPConn
	addrs     []netip.AddrPort       // by position
	broadcast netip.AddrPort         // reaches all peers; not valid if there is no such address
	positions map[netip.AddrPort]int // positions of the peers, without this limiter
	queue     chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func newPeerLink(cfg *Config) (*peerLink, error) {
	listenAddr, err := netip.ParseAddrPort(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	p := &peerLink{conn: conn, addrs: cfg.Peers, broadcast: cfg.BroadcastPeer, positions: map[netip.AddrPort]int{},
		queue: make(chan datagram, sendQueueLength)}
	for i, a := range cfg.Peers {
		if i != cfg.Settings.Limiter.Position {
			p.positions[a] = i
		}
	}
	return p, nil
}

// send queues a message to the peer at position to, or to all peers if to is -1. It never blocks:
// if the queue is full the message is dropped, as it might be by the network.
func (p *peerLink) send(to int, data []byte) {
	if to == -1 && !p.broadcast.IsValid() {
		for _, i := range p.positions {
			p.send(i, data)
		}
		return
	}
	addr := p.broadcast
	if to >= 0 && to < len(p.addrs) {
		addr = p.addrs[to]
	}
	if !addr.IsValid() || len(data) > maxDatagram { // peers drop longer datagrams
		return
	}
	select {
	case p.queue <- datagram{addr, data}:
	default:
	}
}

// sendToPeers sends the queued messages until the queue is closed.
func (n *Node) sendToPeers() {
	for d := range n.peers.queue {
		if _, err := n.peers.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
			n.inputLog.warn("sending to a peer failed", "error", err)
		}
	}
}

// receiveFromPeers passes messages to the limiter until the connection is closed.
func (n *Node) receiveFromPeers() {
	buf := make([]byte, maxDatagram+1)
	for {
		size, addr, err := n.peers.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error in reply to an earlier message
			n.inputLog.warn("receiving from peers failed", "error", err)
			time.Sleep(minRetryPause)
			continue
		}
		from, ok := n.peers.positions[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !ok || size > maxDatagram {
			n.inputLog.warn("datagram dropped", "from", addr, "bytes", size)
			continue
		}
		n.dispatch(balancer.PeerMessage{From: from, Data: buf[:size]}) // the limiter does not retain buf
	}
}
