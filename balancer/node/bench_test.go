package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request through a limiter on persistent connections, with a minimal
// client and server.
func BenchmarkRequest(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=7,queue=2\r\n"+
						"Content-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	cfg := testConfig(b, "127.0.0.1:1", server("s-1", ln.Addr().String()))
	cfg.Settings.Limiter.Plans[1].Rate, cfg.Settings.Limiter.Plans[1].Burst = 1e9, 1e9
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ctx := b.Context()
	go func() { _ = n.Run(ctx) }()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	const text = "GET /api?key=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r\r\n" +
		"X-Priority-Class: status-check\r\nPlan: enterprise\r\nX-Timeout: 9000m\r\n" +
		"Quota-Info: units=1,spread=1,first=0\r\n\r\n"
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
			b.Fatalf("status %d, %v", resp.StatusCode, err)
		}
	}
}
