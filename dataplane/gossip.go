package dataplane

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"example.org/elmspan/dataplane/words"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/keys"
)

const hearAgain = 2 * time.Millisecond

// gossip tells the others what is new until the context ends.
func (g *Gateway) gossip(ctx context.Context) {
	every := words.TickMs
	t := time.NewTicker(millis(every))
	defer t.Stop()
	buf, sealed := make([]byte, 0, words.MaxSize), []byte(nil)
	sealer := g.sealer()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.mu.Lock()
		g.limiter.Tick(inMs(g.now()), func(to uint64, w *words.Word) {
			buf = w.Append(buf[:0])
			out := buf
			if sealer != nil {
				var err error
				if sealed, err = sealer.Seal(sealed[:0], buf); err != nil {
					g.log.Error("a word can't be sealed", "err", err)
					return
				}
				out = sealed
			}
			g.udp.WriteToUDPAddrPort(out, g.addrs[to]) // a lost one heals with the next
			g.link.Count(len(out))
			g.meter.Count("elmspan_words_sent_total", 1)
		})
		next := g.limiter.TickMs()
		g.mu.Unlock()
		if next != every {
			every = next
			t.Reset(millis(every))
		}
	}
}

// sealer seals or opens words; nil where they are in the clear.
func (g *Gateway) sealer() *keys.Sealer {
	if g.ring == nil {
		return nil
	}
	return g.ring.Sealer(g.self, g.life)
}

// hear takes in what the others tell until the socket closes.
func (g *Gateway) hear(ctx context.Context) {
	buf, open := make([]byte, words.MaxSize+keys.Overhead+1), []byte(nil)
	var w words.Word
	sealer := g.sealer()
	for ctx.Err() == nil {
		n, from, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			continue // what another machine sent back for one datagram to it
		}
		if err != nil {
			backoff.Sleep(ctx, hearAgain) // one that does not pass must not take the processor
			continue
		}
		word := buf[:n]
		if sealer != nil {
			if open, err = sealer.Open(open[:0], word); err != nil {
				g.meter.Count("elmspan_words_refused_total", 1)
				continue
			}
			word = open
		}
		if w.Decode(word) != nil {
			g.meter.Count("elmspan_words_refused_total", 1)
			continue
		}
		g.meter.Count("elmspan_words_received_total", 1)
		g.mu.Lock()
		known := g.limiter.Hear(inMs(g.now()), &w)
		g.mu.Unlock()
		if known && w.Forgotten != 0 {
			g.pool.Forgot(int(w.Forgotten), w.From)
		}
		if !known && g.stranger != nil {
			g.stranger(from.String())
		}
	}
}
