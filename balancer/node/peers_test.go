package node

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Limiters report admitted requests to each other, so that the quota applies to both together.
// Invalid datagrams and those from unknown senders are dropped.
func TestQuotaOverTwoLimiters(t *testing.T) {
	t.Parallel()
	addr := echo(t)
	var socks [2]*net.UDPConn
	var addrs []netip.AddrPort
	// Ports chosen by the kernel, on addresses that no other test uses: the ports are free for a
	// moment before the limiters bind them.
	for i := range socks {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("127.77.0.%d:0",
			i+1))))
		if err != nil {
			t.Fatal(err)
		}
		socks[i] = c
		addrs = append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	var nodes [2]*harness
	for i := range nodes {
		_ = socks[i].Close()
		nodes[i] = startNodeWith(t, func(c *Config) {
			m := &c.Settings.Limiter
			m.Balancers, m.Position, m.Caps.Peers = 2, i, true
			m.Plans[0].Burst = 8
			c.PeerListen, c.Peers = addrs[i].String(), addrs
		}, server("s-1", addr))
	}
	unknown, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[1]))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unknown.Close() }()
	for range 100 {
		if _, err := unknown.Write([]byte("nonsense")); err != nil {
			break
		}
	}
	eventually(t, "datagrams from an unknown sender are dropped", func() bool {
		return strings.Contains(nodes[1].log.String(), "datagram dropped")
	})
	customer := 0
	admitted := func(r *harness) bool {
		req := r.newRequest("status-check", "starter", "")
		req.URL.RawQuery = fmt.Sprintf("key=%016x", customer)
		req.Header.Set("Quota-Info", "units=1,spread=2,first=0")
		status, _, _ := r.do(req)
		return status == 200
	}
	// A customer uses up its quota at one limiter. The other, which has had no request of this
	// customer, rejects the first one after it has received the report. Without messages, each
	// limiter would admit half of the burst.
	eventually(t, "quota used at one limiter counts at the other", func() bool {
		customer++
		for admitted(nodes[0]) {
		}
		time.Sleep(200 * time.Millisecond) // some reporting intervals; if too few, the next customer is tried
		return !admitted(nodes[1])
	})
	if n := strings.Count(nodes[1].log.String(), "datagram dropped"); n > logBurst {
		t.Errorf("%d lines in the log", n)
	}
}
