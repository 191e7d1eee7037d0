package dataplane

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/internal/connpool"
	"example.org/elmspan/internal/datagram"
	"example.org/elmspan/keys"
	"example.org/elmspan/telemetry"
)

const (
	// maxReceivedPerTick is how many messages are taken in at a tick. A flood must not keep the gateway from sending.
	maxReceivedPerTick = 512
	// maxReceivePause is how long ago messages were taken in at the most when a request is charged to a quota.
	maxReceivePause = 50 * time.Millisecond
)

// gossipHost sends and receives the limiter's gossip messages, one a datagram, sealed where there is a keyring.
type gossipHost struct {
	log         *slog.Logger
	metrics     *telemetry.Metrics
	guarded     *guardedLimiter
	peers       *peerTable
	pool        *connpool.Pool[string]
	link        *link.Pacer
	keyring     *keys.Keyring // nil: messages are in the clear
	self        uint64        // hash of this gateway's name
	incarnation uint64
	unknownPeer func(addr string) // may be nil

	socketMu   sync.Mutex       // taken before guardedLimiter.mu
	socket     *datagram.Socket // guarded by socketMu, once run runs
	receiver   *gossipReceiver  // guarded by socketMu
	receivedAt atomic.Int64     // when messages were last taken in, in ns since the start; 0: run doesn't run
}

// run takes in what the peers have sent and sends what is new, at each tick, until the context ends. What arrives
// between two ticks waits for the next: in a large fleet hundreds of messages come in a second, and each would wake
// the process.
func (h *gossipHost) run(ctx context.Context) {
	everyMs := gossip.TickMs
	t := time.NewTicker(millis(everyMs))
	defer t.Stop()
	out := &gossipSender{host: h, plain: make([]byte, 0, gossip.MaxMessageSize), sealer: h.newSealer()}
	h.socketMu.Lock()
	h.receiver = newGossipReceiver(h)
	h.socketMu.Unlock()
	for {
		select {
		case <-ctx.Done():
			h.receivedAt.Store(0)
			return
		case <-t.C:
		}
		if nextMs := h.exchange(out); nextMs != everyMs {
			everyMs = nextMs
			t.Reset(millis(everyMs))
		}
	}
}

// exchange takes in and sends what is due at a tick, and returns when the next one is due.
func (h *gossipHost) exchange(out *gossipSender) (nextMs float64) {
	h.socketMu.Lock()
	defer h.socketMu.Unlock()
	h.receiveAll()
	return out.tick()
}

// receiveAll takes in what has come. Called under socketMu.
func (h *gossipHost) receiveAll() {
	h.receivedAt.Store(int64(h.guarded.clock.now()))
	h.receiver.receiveAll()
}

// catchUp takes in what has come, where the goroutine in run is late: a process that stood still, or whose processor is
// busy, would go on admitting by what it knew before.
func (h *gossipHost) catchUp() {
	receivedAt := time.Duration(h.receivedAt.Load())
	if receivedAt == 0 || h.guarded.clock.now()-receivedAt <= maxReceivePause || !h.socketMu.TryLock() {
		return
	}
	defer h.socketMu.Unlock()
	h.receiveAll()
}

// newSealer returns what seals or opens messages; nil where they are in the clear.
func (h *gossipHost) newSealer() *keys.Sealer {
	if h.keyring == nil {
		return nil
	}
	return h.keyring.Sealer(h.self, h.incarnation)
}

// gossipSender sends messages. Its buffers are used again for each.
type gossipSender struct {
	host          *gossipHost
	sealer        *keys.Sealer // nil: in the clear
	plain, sealed []byte
}

// tick has the limiter make the messages of a tick, sends them, and returns when the next tick is due.
func (s *gossipSender) tick() (nextMs float64) {
	g := s.host.guarded
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Tick(g.clock.nowMs(), s.send)
	return g.limiter.TickMs()
}

// send sends one message. Called under guardedLimiter.mu; sending does not block.
func (s *gossipSender) send(to uint64, w *gossip.Message) {
	h := s.host
	s.plain = w.Append(s.plain[:0])
	data := s.plain
	if s.sealer != nil {
		var err error
		if s.sealed, err = s.sealer.Seal(s.sealed[:0], s.plain); err != nil {
			h.log.Error("gossip message not sealed", "error", err)
			return
		}
		data = s.sealed
	}
	_ = h.socket.Send(data, h.peers.byID[to].addr) // the next message makes up for a lost one
	h.link.Record(len(data))
	h.metrics.Count("elmspan_words_sent_total", 1)
}

// gossipReceiver takes messages in. Its buffers are used again for each.
type gossipReceiver struct {
	host          *gossipHost
	sealer        *keys.Sealer // nil: in the clear
	raw, unsealed []byte
	message       gossip.Message
}

func newGossipReceiver(h *gossipHost) *gossipReceiver {
	return &gossipReceiver{
		host: h, raw: make([]byte, gossip.MaxMessageSize+keys.SealOverhead+1), sealer: h.newSealer(),
	}
}

// receiveAll takes in what has come, up to the bound of a tick.
func (r *gossipReceiver) receiveAll() {
	h := r.host
	for range maxReceivedPerTick {
		n, from, err := h.socket.Receive(r.raw)
		if errors.Is(err, datagram.ErrNoDatagram) {
			return
		}
		if err != nil {
			continue // an ICMP error for a datagram that was sent, for example
		}
		if !r.decode(r.raw[:n]) {
			h.metrics.Count("elmspan_words_refused_total", 1)
			continue
		}
		h.metrics.Count("elmspan_words_received_total", 1)
		known := r.deliver()
		if !known && h.unknownPeer != nil {
			h.unknownPeer(from.String())
		}
	}
}

// decode opens and decodes a datagram into r.message. It reports false where it is not a message of a peer.
func (r *gossipReceiver) decode(data []byte) bool {
	if r.sealer != nil {
		var err error
		if r.unsealed, err = r.sealer.Open(r.unsealed[:0], data); err != nil {
			return false
		}
		data = r.unsealed
	}
	return r.message.Decode(data) == nil
}

// deliver gives the message to the limiter and reports whether its sender is a known peer.
func (r *gossipReceiver) deliver() (known bool) {
	g, m := r.host.guarded, &r.message
	g.mu.Lock()
	known = g.limiter.Receive(g.clock.nowMs(), m)
	g.mu.Unlock()
	if known && m.StaleIdleGroup != 0 {
		r.host.pool.RecordStale(int(m.StaleIdleGroup), m.From)
	}
	return known
}
