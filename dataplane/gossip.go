package dataplane

import (
	"context"
	"errors"
	"time"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/internal/datagram"
	"example.org/elmspan/keys"
)

// mostHeard is how many words are taken in at a tick. A flood must not keep it from telling.
const mostHeard = 512

// gossip takes in what the others have told and tells them what is new, at each tick,
// until the context ends. What comes between two ticks waits for the next: in a large
// fleet hundreds of words come in a second, and each would wake the process.
func (g *Gateway) gossip(ctx context.Context) {
	every := gossip.TickMs
	t := time.NewTicker(millis(every))
	defer t.Stop()
	buf, sealed := make([]byte, 0, gossip.MaxSize), []byte(nil)
	sealer := g.sealer()
	in := newEar(g)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		in.hear()
		g.mu.Lock()
		g.limiter.Tick(inMs(g.now()), func(to uint64, w *gossip.Message) {
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
			g.udp.Send(out, g.others[to].addr) // a lost one heals with the next
			g.link.Record(len(out))
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

// ear takes in what the others tell.
type ear struct {
	g         *Gateway
	buf, open []byte
	word      gossip.Message
	sealer    *keys.Sealer
}

func newEar(g *Gateway) *ear {
	return &ear{g: g, buf: make([]byte, gossip.MaxSize+keys.SealOverhead+1), sealer: g.sealer()}
}

// hear takes in what has come.
func (e *ear) hear() {
	g := e.g
	for range mostHeard {
		n, from, err := g.udp.Receive(e.buf)
		if errors.Is(err, datagram.ErrNoDatagram) {
			return
		}
		if err != nil {
			continue // what another machine sent back for one datagram to it, say
		}
		word := e.buf[:n]
		if e.sealer != nil {
			if e.open, err = e.sealer.Open(e.open[:0], word); err != nil {
				g.meter.Count("elmspan_words_refused_total", 1)
				continue
			}
			word = e.open
		}
		w := &e.word
		if w.Decode(word) != nil {
			g.meter.Count("elmspan_words_refused_total", 1)
			continue
		}
		g.meter.Count("elmspan_words_received_total", 1)
		g.mu.Lock()
		known := g.limiter.Hear(inMs(g.now()), w)
		g.mu.Unlock()
		if known && w.StaleAge != 0 {
			g.pool.RecordStale(int(w.StaleAge), w.From)
		}
		if !known && g.stranger != nil {
			g.stranger(from.String())
		}
	}
}
