package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// stateMachine is the state machine that committed entries and snapshots are applied to. Its
// methods are called with Core.mu held, and release it while they decode, build or encode.
type stateMachine interface {
	// applyEntries applies all given committed entries in one step, or after an error none.
	applyEntries([]raft.Entry) error
	// installSnapshot replaces the state by that of a snapshot that was checked before.
	installSnapshot(*raft.Snapshot) error
	// encodeSnapshot encodes the present state.
	encodeSnapshot() ([]byte, error)
}

// raftHost drives a [raft.Node], which does no I/O of its own: it ticks the node, stores what the
// node has ready, then sends messages, then applies committed entries. All fields are guarded by
// Core.mu, which is released during disk writes, so that heartbeats, watches and leases don't wait
// for the disk.
type raftHost struct {
	cfg          *CoreConfig
	mu           *sync.Mutex // Core.mu
	lifecycle    *lifecycle
	notify       *notifier
	transport    *transport
	stateMachine stateMachine
	// roleChanged is called when the role or the leader changes.
	roleChanged func(raft.Role)

	id   raft.ID
	node *raft.Node
	disk diskMonitor
	// handling: a goroutine is processing the batches that the node has ready. Nothing else changes
	// the applied state, or what the node counts as stored and applied.
	handling bool
	// pendingMessages are sent once the entries and votes that they acknowledge are on disk.
	pendingMessages []raft.Message
	// suspended: this member acknowledges and answers nothing, because a disk write failed or
	// stalled or, if stopReason is set, because it has stopped for good.
	suspended        bool
	stopReason       string // why this member has stopped serving for good; empty: it has not
	lostDurability   error  // set when the store has lost acknowledged data; returned by Run
	role             raft.Role
	leader           raft.ID
	confirmedRound   uint64 // read index round that readers were last notified of
	rejectedReported uint64 // number of rejected snapshots that were logged
}

// hexID formats an id for logs and the status.
func hexID(id raft.ID) string { return fmt.Sprintf("%x", uint64(id)) }

// leads reports whether this member is the leader and is not suspended.
func (h *raftHost) leads() bool { return h.node.Role() == raft.Leader && !h.suspended }

// stopped reports whether this member has stopped serving for good.
func (h *raftHost) stopped() bool { return h.stopReason != "" }

// leaderAddr returns the address of the leader, empty if none is known.
func (h *raftHost) leaderAddr() string {
	for _, m := range h.node.Members() {
		if m.ID == h.node.Leader() {
			return m.Addr
		}
	}
	return ""
}

// memberAddrs returns the addresses of the present members.
func (h *raftHost) memberAddrs() []string {
	var out []string
	for _, m := range h.node.Members() {
		out = append(out, m.Addr)
	}
	return out
}

// isolated reports whether no leader is known or this process is not a member.
func (h *raftHost) isolated() bool { return h.node.Leader() == 0 || !h.isMember() }

// isMember reports whether this process is a member according to its own log.
func (h *raftHost) isMember() bool {
	return slices.ContainsFunc(h.node.Members(), func(m raft.Member) bool { return m.ID == h.id })
}

// tick advances the node by one tick. While a write is in flight only a leader's node is ticked: a
// candidate could start another election before its vote for itself is stored.
func (h *raftHost) tick() {
	if h.disk.tick() {
		h.cfg.Log.Error("disk stalled, member suspended")
		h.suspended = true
		h.node.StepDown()
		h.publishProgress()
		h.notify.notifyWatchers()
	}
	if !h.suspended && (!h.disk.writing || h.node.Role() == raft.Leader) {
		h.node.Tick()
	}
}

// handleReady processes what the node has ready. It is called after each tick, message, proposal
// and heartbeat. A Ready with messages only is sent at once; storing and applying is left to a
// goroutine, see [raftHost.handleBatches].
func (h *raftHost) handleReady() {
	if !h.stopped() && h.node.LostDurability() {
		h.checkLostDurability(fmt.Errorf("%w: the log lacks entries that were acknowledged to the leader",
			storage.ErrCorrupt))
	}
	for !h.stopped() && !h.lifecycle.ended() {
		ready := h.node.Ready()
		if h.handling {
			if !h.suspended {
				h.sendUnrestricted(&ready)
			}
			break
		}
		if ready.Empty() && !h.node.SnapshotDue() {
			break
		}
		messagesOnly := !ready.Empty() && !ready.MustSync() && len(ready.CommittedEntries) == 0
		if messagesOnly && !h.suspended {
			h.transport.enqueueAll(ready.Messages)
			h.node.Advance(ready)
			continue
		}
		if h.lifecycle.ctx == nil { // before Run no goroutine may be started
			h.handleBatches()
			return
		}
		h.startHandling()
		break
	}
	if !h.stopped() {
		h.publishProgress()
	}
}

// startHandling starts the goroutine that runs handleBatches.
func (h *raftHost) startHandling() {
	h.handling = true
	h.lifecycle.tasks.Go(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.handleBatches()
	})
}

// handleBatches processes what the node has ready, one batch after the other, until nothing is
// left or a disk write fails.
func (h *raftHost) handleBatches() {
	h.handling = true
	for !h.stopped() {
		ready := h.node.Ready()
		if ready.Empty() && len(h.pendingMessages) == 0 {
			if h.node.SnapshotDue() && h.compact() {
				continue
			}
			break
		}
		if !h.persistAndApply(ready) {
			break
		}
	}
	h.handling = false
	if !h.stopped() {
		h.publishProgress()
	}
}

// sendUnrestricted sends the messages of a Ready that acknowledge only data already on disk; the
// others become pendingMessages until their data is stored. A leader's messages are unrestricted:
// it counts its own copy toward a majority only once it has stored it.
func (h *raftHost) sendUnrestricted(ready *raft.Ready) {
	unsaved := ready.HardState != nil || ready.Snapshot != nil
	for _, m := range ready.Messages {
		unrestricted := h.node.Role() == raft.Leader || m.Kind == raft.AppendEntriesReply &&
			(m.Reject || len(ready.Entries) == 0 || m.Index < ready.Entries[0].Index)
		if unrestricted && !unsaved {
			h.transport.enqueue(m)
		} else {
			h.pendingMessages = append(h.pendingMessages, m)
		}
	}
	h.node.Advance(raft.Ready{Messages: ready.Messages})
}

// persistAndApply processes one batch. The order matters: first the batch is written to disk, then
// the messages that acknowledge it are sent, then its snapshot is installed and its committed
// entries are applied. It reports whether the next batch may follow.
func (h *raftHost) persistAndApply(ready raft.Ready) bool {
	h.sendUnrestricted(&ready)
	due := h.pendingMessages // may be sent once this batch is on disk
	h.pendingMessages = nil
	if ready.MustSync() {
		if err := h.writeToDisk(func() error { return h.cfg.Store.Save(ready) }); err != nil {
			h.handleWriteError(err, due)
			return false // the next tick retries; no acknowledgement was sent
		}
	}
	if h.suspended {
		h.suspended = false
		h.cfg.Log.Info("disk writes recovered")
	}
	h.transport.enqueueAll(due)
	if ready.Snapshot != nil {
		if err := h.stateMachine.installSnapshot(ready.Snapshot); err != nil {
			h.failStop("committed snapshot is unreadable", err)
			return false
		}
		h.notify.notifyWatchers()
	}
	h.node.Advance(raft.Ready{HardState: ready.HardState, Snapshot: ready.Snapshot, Entries: ready.Entries})
	if len(ready.CommittedEntries) == 0 {
		return true
	}
	if err := h.stateMachine.applyEntries(ready.CommittedEntries); err != nil {
		h.failStop("committed configuration is unreadable", err)
		return false
	}
	h.node.Advance(raft.Ready{CommittedEntries: ready.CommittedEntries})
	h.notify.notifyReaders()
	return true
}

// handleWriteError suspends this member until a write succeeds, and keeps the messages that depend
// on the write. If the store has lost acknowledged data, the member is stopped for good.
func (h *raftHost) handleWriteError(err error, due []raft.Message) {
	if h.checkLostDurability(err) {
		return
	}
	if !h.suspended {
		h.cfg.Log.Error("disk write failed, member suspended", "error", err)
	}
	h.suspended = true
	h.pendingMessages = append(due, h.pendingMessages...)
	h.node.StepDown()
}

// writeToDisk runs a disk write with the mutex released. If the write takes stallTicks or longer,
// the member is suspended until it returns.
func (h *raftHost) writeToDisk(write func() error) error {
	h.disk.begin()
	h.mu.Unlock()
	err := write()
	h.mu.Lock()
	if h.disk.end() {
		h.suspended = false
		h.cfg.Log.Info("disk stall ended", "ticks", h.disk.ticks)
	}
	return err
}

// compact takes a snapshot and compacts the log up to it. It reports whether the snapshot could be
// encoded.
func (h *raftHost) compact() bool {
	index := h.node.AppliedIndex()
	data, err := h.stateMachine.encodeSnapshot()
	if err != nil {
		h.cfg.Log.Error("snapshot encoding failed", "error", err)
		return false
	}
	if s := h.node.Compact(index, data); s != nil {
		err := h.writeToDisk(func() error { return h.cfg.Store.Compact(*s) })
		if err != nil && !h.checkLostDurability(err) {
			h.cfg.Log.Warn("log compaction failed", "error", err)
		}
	}
	return true
}

// publishProgress notifies waiting goroutines of a changed role or leader and of confirmed read
// indexes, and logs rejected snapshots.
func (h *raftHost) publishProgress() {
	if rejected := h.node.RejectedSnapshots(); rejected != h.rejectedReported {
		h.rejectedReported = rejected
		h.cfg.Log.Warn("snapshot rejected, requested again", "rejected", rejected, "leader", hexID(h.node.Leader()))
	}
	if h.role != h.node.Role() || h.leader != h.node.Leader() {
		h.role, h.leader = h.node.Role(), h.node.Leader()
		h.cfg.Log.Info("role changed", "role", h.role.String(), "term", h.node.Term(), "leader", hexID(h.leader))
		h.roleChanged(h.role)
		h.notify.notifyWatchers()
	}
	if round := h.node.ConfirmedReadIndexRound(); h.role == raft.Leader && round != h.confirmedRound {
		h.confirmedRound = round
		h.notify.notifyReaders()
	}
}

// failStop stops this member for good because it can't apply committed data: it must not serve an
// older state. Nothing is lost: its log stays as it is, for a program version that can apply it.
func (h *raftHost) failStop(reason string, err error) {
	h.cfg.Log.Error("member stopped, committed state is unreadable", "reason", reason, "error", err)
	h.stopServing(reason, err)
}

// checkLostDurability stops this member for good if an error means that its store has lost
// acknowledged data. It reports whether that is so.
func (h *raftHost) checkLostDurability(err error) bool {
	if !errors.Is(err, storage.ErrCorrupt) {
		return false
	}
	h.lostDurability = err
	h.stopServing("lost durability", err)
	return true
}

// stopServing stops this member for good: it no longer acknowledges or answers anything.
func (h *raftHost) stopServing(reason string, err error) {
	h.stopReason = fmt.Sprintf("%s: %v", reason, err)
	h.suspended = true
	h.node.StepDown()
	h.publishProgress()
	h.notify.notifyWatchers()
}
