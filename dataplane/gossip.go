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
	// maxReceivedPerTick is the maximum number of messages received at a tick, so that a flood of messages does not
	// keep the gateway from sending.
	maxReceivedPerTick = 512
	// maxReceiveInterval is the maximum time since the last call of receiveAll when a request is charged to a quota.
	maxReceiveInterval = 50 * time.Millisecond
)

// gossipHost sends and receives the limiter's gossip messages, one per datagram, encrypted if there is a keyring.
type gossipHost struct {
	log         *slog.Logger
	metrics     *telemetry.Metrics
	guarded     *guardedLimiter
	peers       *peerTable
	pool        *connpool.Pool[string]
	link        *link.Pacer
	keyring     *keys.Keyring // nil: messages are not encrypted
	self        uint64        // hash of this gateway's name
	incarnation uint64
	unknownPeer func(addr string) // may be nil

	socketMu   sync.Mutex       // taken before guardedLimiter.mu
	socket     *datagram.Socket // guarded by socketMu once run has started
	receiver   *gossipReceiver  // guarded by socketMu
	receivedAt atomic.Int64     // time of the last receiveAll, in ns since the start; 0: run is not running
}

// run receives and sends messages at each tick, until the context ends. Messages that arrive between two ticks wait for
// the next one: in a large fleet hundreds of messages arrive per second, and each would wake the process.
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

// exchange receives and sends the messages of one tick, and returns the time until the next one.
func (h *gossipHost) exchange(out *gossipSender) (nextMs float64) {
	h.socketMu.Lock()
	defer h.socketMu.Unlock()
	h.receiveAll()
	return out.tick()
}

// receiveAll receives the messages that have arrived. Called under socketMu.
func (h *gossipHost) receiveAll() {
	h.receivedAt.Store(int64(h.guarded.clock.now()))
	h.receiver.receiveAll()
}

// receiveIfOverdue receives the messages that have arrived if the goroutine in run is late: a process that was
// suspended or is short of CPU time would otherwise admit requests by outdated quota state.
func (h *gossipHost) receiveIfOverdue() {
	receivedAt := time.Duration(h.receivedAt.Load())
	if receivedAt == 0 || h.guarded.clock.now()-receivedAt <= maxReceiveInterval || !h.socketMu.TryLock() {
		return
	}
	defer h.socketMu.Unlock()
	h.receiveAll()
}

// newSealer returns a sealer that encrypts and decrypts messages; nil if they are not encrypted.
func (h *gossipHost) newSealer() *keys.Sealer {
	if h.keyring == nil {
		return nil
	}
	return h.keyring.Sealer(h.self, h.incarnation)
}

// gossipSender sends messages. It reuses its buffers.
type gossipSender struct {
	host          *gossipHost
	sealer        *keys.Sealer // nil: messages are not encrypted
	plain, sealed []byte
}

// tick sends the messages that the limiter generates for a tick, and returns the time until the next one.
func (s *gossipSender) tick() (nextMs float64) {
	g := s.host.guarded
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Tick(g.clock.nowMs(), s.send)
	return g.limiter.TickMs()
}

// send sends one message without blocking. Called under guardedLimiter.mu.
func (s *gossipSender) send(to uint64, m *gossip.Message) {
	h := s.host
	s.plain = m.Append(s.plain[:0])
	data := s.plain
	if s.sealer != nil {
		var err error
		if s.sealed, err = s.sealer.Seal(s.sealed[:0], s.plain); err != nil {
			h.log.Error("encrypting gossip message failed; message not sent", "error", err)
			return
		}
		data = s.sealed
	}
	_ = h.socket.Send(data, h.peers.byID[to].addr) // later messages make up for a lost one
	h.link.Record(len(data))
	h.metrics.Count("elmspan_words_sent_total", 1)
}

// gossipReceiver receives messages. It reuses its buffers.
type gossipReceiver struct {
	host          *gossipHost
	sealer        *keys.Sealer // nil: messages are not encrypted
	raw, unsealed []byte
	message       gossip.Message
}

func newGossipReceiver(h *gossipHost) *gossipReceiver {
	return &gossipReceiver{
		host: h, raw: make([]byte, gossip.MaxMessageSize+keys.SealOverhead+1), sealer: h.newSealer(),
	}
}

// receiveAll receives the messages that have arrived, at most maxReceivedPerTick.
func (r *gossipReceiver) receiveAll() {
	h := r.host
	for range maxReceivedPerTick {
		n, from, err := h.socket.Receive(r.raw)
		if errors.Is(err, datagram.ErrNoDatagram) {
			return
		}
		if err != nil {
			continue // for example an ICMP error caused by a sent datagram
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

// decode decrypts and decodes a datagram into r.message. It returns false if the datagram is not a valid message of a
// peer.
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

// deliver passes the message to the limiter and reports whether its sender is a known peer.
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
