package dataplane

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"

	"example.org/silverscale/dataplane/balance"
	"example.org/silverscale/dataplane/quota"
	"example.org/silverscale/internal/backoff"
)

// Limiters tell each other by datagrams, as the limiter in service does: units
// that were let through, what is out at servers and how long answers took. A
// lost one heals with the next: units are cumulative, loads are levels.
//
//	"E1" | name hash u64 | life u64 | age in ms, uvarint
//	     | n uvarint, n x (tenant hash u64, units uvarint)
//	     | n uvarint, n x (server hash u32, out u8, took u8)

const (
	gossipMagic = "E1"
	maxDatagram = 1200
	tickZone    = 6 * time.Millisecond   // between two words to limiters of the zone ...
	tickOther   = 30 * time.Millisecond  // ... to others about servers of theirs ...
	tickFar     = 150 * time.Millisecond // ... and about those that are of neither
	aliveEvery  = 150 * time.Millisecond // a third of quota.FreshMs: two words in a row may be lost
	hearAgain   = 2 * time.Millisecond
	mostTold    = 32 // tenants in one word
	mostHinted  = 24 // of more limiters than this, those of other zones get no hints
)

// gossip tells the others what is new until the context ends.
func (g *Gateway) gossip(ctx context.Context) {
	t := time.NewTicker(tickZone)
	defer t.Stop()
	var spent []quota.Spent
	var hints []balance.Hint
	buf := make([]byte, 0, maxDatagram)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.mu.Lock()
		now := g.now()
		spent = g.quota.Report(inMs(now), spent[:0])
		hints = g.balance.Hints(hints[:0])
		for _, p := range g.peers {
			near := p.zone == g.cfg.Zone
			if near || len(g.peers) < mostHinted {
				for _, h := range hints {
					if h.Took == 0 {
						h.Took = p.hints[h.Server].Took
					}
					p.hints[h.Server] = h
					p.theirs = p.theirs || g.balance.ZoneOf(h.Server) == p.zone
				}
			}
			for _, e := range spent {
				p.due[e.Tenant] = e.Units // cumulative: the newest figure stands for all before
			}
			pause := tickFar
			switch {
			case near:
				pause = 0
			case p.theirs, len(p.due) > 0:
				pause = tickOther
			}
			since := now - p.sent
			if len(p.hints)+len(p.due) > 0 && since >= pause || since >= aliveEvery {
				p.sent, p.theirs = now, false
				buf = g.encode(buf[:0], p)
				g.udp.WriteToUDPAddrPort(buf, p.addr) // a lost one heals with the next
			}
		}
		g.mu.Unlock()
	}
}

func (g *Gateway) encode(b []byte, p *peer) []byte {
	b = append(b, gossipMagic...)
	b = binary.BigEndian.AppendUint64(b, g.self)
	b = binary.BigEndian.AppendUint64(b, g.life)
	b = binary.AppendUvarint(b, uint64(g.now().Milliseconds()))
	k := min(len(p.due), mostTold)
	b = binary.AppendUvarint(b, uint64(k))
	for id, units := range p.due {
		if k--; k < 0 { // the rest goes with the next word
			break
		}
		b = binary.BigEndian.AppendUint64(b, id)
		b = binary.AppendUvarint(b, units)
		delete(p.due, id)
	}
	k = min(len(p.hints), 64)
	b = binary.AppendUvarint(b, uint64(k))
	for id, h := range p.hints {
		if k--; k < 0 {
			break
		}
		b = binary.BigEndian.AppendUint32(b, h.Server)
		b = append(b, h.Out, h.Took)
		delete(p.hints, id)
	}
	return b
}

// word is a datagram as read.
type word struct {
	from, life uint64
	ageMs      float64
	spent      []quota.Spent
	hints      []balance.Hint
}

var errWord = errors.New("dataplane: a datagram can't be read")

// decodeWord reads a datagram. Anything that is not whole is an error.
func decodeWord(b []byte, w *word) error {
	u64 := func() (v uint64) {
		if len(b) >= 8 {
			v = binary.BigEndian.Uint64(b)
			b = b[8:]
		} else {
			b = nil
		}
		return v
	}
	ok := true
	uvar := func() uint64 {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			ok, b = false, nil
			return 0
		}
		b = b[n:]
		return v
	}
	if len(b) < 2+16+3 || string(b[:2]) != gossipMagic {
		return errWord
	}
	b = b[2:]
	w.from, w.life = u64(), u64()
	w.ageMs = float64(uvar())
	w.spent, w.hints = w.spent[:0], w.hints[:0]
	for n := uvar(); n > 0 && ok; n-- {
		if len(b) < 9 {
			return errWord
		}
		w.spent = append(w.spent, quota.Spent{Tenant: u64(), Units: uvar()})
	}
	for n := uvar(); n > 0 && ok; n-- {
		if len(b) < 6 {
			return errWord
		}
		w.hints = append(w.hints, balance.Hint{Server: binary.BigEndian.Uint32(b), Out: b[4], Took: b[5]})
		b = b[6:]
	}
	if !ok || len(b) != 0 {
		return errWord
	}
	return nil
}

// hear takes in what the others tell until the socket closes.
func (g *Gateway) hear(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	var w word
	for ctx.Err() == nil {
		n, _, err := g.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what another machine sent back for a datagram to it
			backoff.Sleep(ctx, hearAgain) // guards against one that does not pass
			continue
		}
		if decodeWord(buf[:n], &w) != nil {
			continue
		}
		g.mu.Lock()
		if g.peers[w.from] != nil {
			now := inMs(g.now())
			g.quota.Heard(now, w.from, w.life, w.ageMs, w.spent)
			g.balance.Heard(now, w.from, w.hints)
		}
		g.mu.Unlock()
	}
}
