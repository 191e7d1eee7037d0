package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// stateMachine is what committed entries and snapshots are applied to. Its methods are called
// under Core.mu; applyEntries, installSnapshot and encodeSnapshot give it up meanwhile.
type stateMachine interface {
	// applyEntries applies committed entries in one step, or none of them.
	applyEntries([]raft.Entry) error
	// installSnapshot replaces the state by that of a snapshot which was checked before.
	installSnapshot(*raft.Snapshot) error
	// encodeSnapshot encodes the present state.
	encodeSnapshot() ([]byte, error)
}

// raftHost drives a [raft.Node], which does no I/O of its own: it lets time pass, stores what
// must be stored, then sends, then applies. All fields are guarded by Core.mu, which is given
// up while the disk writes, so that heartbeats, watches and leases don't wait for it.
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
	// handling: a goroutine handles what the node has ready, one batch after the other. Nothing
	// else changes the applied state, or what the node counts as stored and applied.
	handling bool
	// pendingMessages are sent once what they acknowledge is on disk.
	pendingMessages []raft.Message
	// suspended: nothing is acknowledged or answered, as the disk takes no writes or, where
	// stopReason says why, as this member can't go on.
	suspended        bool
	stopReason       string // why this member stopped serving for good; empty: it serves
	lostDurability   error  // the store lost what was acknowledged: Run returns it
	role             raft.Role
	leader           raft.ID
	confirmedRound   uint64 // read index round that readers were last notified of
	rejectedReported uint64 // rejected snapshots that were logged
}

// hexID is an id as logs and the status show it.
func hexID(id raft.ID) string { return fmt.Sprintf("%x", uint64(id)) }

// leads reports whether this member leads and may answer.
func (h *raftHost) leads() bool { return h.node.Role() == raft.Leader && !h.suspended }

// stopped reports whether this member has stopped serving for good.
func (h *raftHost) stopped() bool { return h.stopReason != "" }

// leaderAddr is the address of the leader, empty where none is known.
func (h *raftHost) leaderAddr() string {
	for _, m := range h.node.Members() {
		if m.ID == h.node.Leader() {
			return m.Addr
		}
	}
	return ""
}

// memberAddrs are the addresses of the present members.
func (h *raftHost) memberAddrs() []string {
	var out []string
	for _, m := range h.node.Members() {
		out = append(out, m.Addr)
	}
	return out
}

// isolated reports whether no leader is known, or this process is no member.
func (h *raftHost) isolated() bool { return h.node.Leader() == 0 || !h.isMember() }

// isMember reports whether this process is a member, as far as its log says.
func (h *raftHost) isMember() bool {
	return slices.ContainsFunc(h.node.Members(), func(m raft.Member) bool { return m.ID == h.id })
}

// tick lets one tick pass. Only a leader's node is ticked while a write is in flight: a candidate
// would begin another election before its vote for itself is stored.
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

// handleReady handles what the node has ready. It is called after each tick, message, proposal
// and heartbeat. Messages alone are sent at once; what must be stored or applied is left to a
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
		if h.lifecycle.ctx == nil { // before Run there are no goroutines
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

// startHandling starts the goroutine that handles what the node has ready.
func (h *raftHost) startHandling() {
	h.handling = true
	h.lifecycle.tasks.Go(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.handleBatches()
	})
}

// handleBatches handles what the node has ready, one batch after the other, until there is
// nothing more or the disk fails.
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

// sendUnrestricted sends of a Ready those messages that acknowledge nothing which is not on
// disk yet; the others wait until what comes with them is. A leader's own messages are
// unrestricted: it counts toward a majority only what it has stored itself.
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

// persistAndApply handles one batch. The order matters: first the batch is on disk, then the
// messages go out that acknowledge it, then it is installed and applied. It reports whether the
// next batch may follow.
func (h *raftHost) persistAndApply(ready raft.Ready) bool {
	h.sendUnrestricted(&ready)
	due := h.pendingMessages // all that they acknowledge is on disk once this batch is
	h.pendingMessages = nil
	if ready.MustSync() {
		if err := h.writeToDisk(func() error { return h.cfg.Store.Save(ready) }); err != nil {
			h.handleWriteError(err, due)
			return false // the next tick tries again; nothing has gone out
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

// handleWriteError suspends this member until a write succeeds, and keeps the messages that wait
// for it. A store that has lost what was acknowledged stops the member for good.
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

// writeToDisk waits for the disk with the mutex given up. A member whose disk keeps it waiting
// for longer than an election takes is suspended meanwhile.
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

// compact cuts the log behind a snapshot, and reports whether one could be made.
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

// publishProgress notifies those who wait of a changed role and of confirmed read indexes.
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

// failStop stops a member for good that can't apply what the others committed: it must not
// answer from an older state. Nothing is lost: its log stays as it is, for a program that can.
func (h *raftHost) failStop(reason string, err error) {
	h.cfg.Log.Error("member stopped, committed state is unreadable", "reason", reason, "error", err)
	h.stopServing(reason, err)
}

// checkLostDurability stops this member for good if an error says that its store has lost what
// was acknowledged, and reports whether it does.
func (h *raftHost) checkLostDurability(err error) bool {
	if !errors.Is(err, storage.ErrCorrupt) {
		return false
	}
	h.lostDurability = err
	h.stopServing("lost durability", err)
	return true
}

// stopServing stops this member for good: it acknowledges and answers nothing any more.
func (h *raftHost) stopServing(reason string, err error) {
	h.stopReason = fmt.Sprintf("%s: %v", reason, err)
	h.suspended = true
	h.node.StepDown()
	h.publishProgress()
	h.notify.notifyWatchers()
}
