package dataplane

import (
	"context"
	"errors"
	"net"
	"time"

	"example.org/silverscale/dataplane/words"
	"example.org/silverscale/internal/backoff"
)

const hearAgain = 2 * time.Millisecond

// gossip tells the others what is new until the context ends.
func (g *Gateway) gossip(ctx context.Context) {
	t := time.NewTicker(millis(words.TickMs))
	defer t.Stop()
	buf := make([]byte, 0, words.MaxSize)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.mu.Lock()
		g.limiter.Tick(inMs(g.now()), func(to uint64, w *words.Word) {
			buf = w.Append(buf[:0])
			g.udp.WriteToUDPAddrPort(buf, g.addrs[to]) // a lost one heals with the next
		})
		g.mu.Unlock()
	}
}

// hear takes in what the others tell until the socket closes.
func (g *Gateway) hear(ctx context.Context) {
	buf := make([]byte, words.MaxSize+1)
	var w words.Word
	for ctx.Err() == nil {
		n, _, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what another machine sent back for a datagram to it
			backoff.Sleep(ctx, hearAgain) // guards against one that does not pass
			continue
		}
		if w.Decode(buf[:n]) != nil {
			continue
		}
		g.mu.Lock()
		g.limiter.Hear(inMs(g.now()), &w)
		g.mu.Unlock()
	}
}
