package membership

import (
	"slices"
	"time"

	"example.org/elmspan/api"
)

const (
	// failureTimeout is how long a watcher waits for a heartbeat before it declares a process
	// dead: five heartbeat intervals. A shorter timeout detects failures sooner, but declares
	// more live processes dead, each of which then has to refute that.
	failureTimeout = 2500 * time.Millisecond
	// deadRetention is how long the entry of a dead process is kept, so that it overrides older
	// statements that the process is alive. It must exceed the time for which such statements
	// still circulate.
	deadRetention = 60 * time.Second
	// pauseThreshold is the time between two calls of DetectFailures above which this process
	// is assumed to have been paused. After a pause all failure timeouts restart, as the
	// heartbeats sent in the meantime have not been received.
	pauseThreshold = time.Second
)

// RecordHeartbeat records the receipt of a heartbeat and merges the sender's statement about
// itself. It reports whether the view changed.
func (v *View) RecordHeartbeat(now time.Duration, from api.Peer) bool {
	changed := v.Merge(now, []api.Peer{from})
	if r := v.peers[from.Name]; r != nil && r.StartID == from.StartID {
		r.heartbeatAt = now
	}
	return changed
}

// DetectFailures declares the watched processes dead whose failure timeout has expired, and
// returns their names in sorted order. It also removes the entries of processes that have been
// dead for longer than the retention period. Call it before sending heartbeats.
func (v *View) DetectFailures(now time.Duration) []string {
	if v.wasPaused(now) {
		for _, r := range v.peers {
			r.heartbeatAt = max(r.heartbeatAt, now)
		}
	}
	v.checkedAt = now
	failed := v.updateWatched(now)
	for _, name := range failed {
		p := v.peers[name].Peer
		p.State = Dead
		v.store(now, p)
	}
	v.removeExpiredDead(now)
	slices.Sort(failed)
	return failed
}

// wasPaused reports whether more than pauseThreshold has passed since the last call of
// DetectFailures.
func (v *View) wasPaused(now time.Duration) bool {
	return v.checkedAt != 0 && now-v.checkedAt > pauseThreshold
}

// updateWatched updates the set of processes that this one watches, and returns those of them
// whose failure timeout has expired.
func (v *View) updateWatched(now time.Duration) (failed []string) {
	watched := map[string]bool{}
	for _, name := range v.watchedBySelf() {
		r := v.peers[name]
		if r == nil {
			continue
		}
		watched[name] = true
		if !v.watched[name] { // newly watched: it sends its heartbeats here only from now on
			r.heartbeatAt = now
		}
		if now-r.heartbeatAt > failureTimeout {
			failed = append(failed, name)
		}
	}
	v.watched = watched
	return failed
}

func (v *View) removeExpiredDead(now time.Duration) {
	if v.deadCount == 0 {
		return
	}
	for name, r := range v.peers {
		if r.State == Dead && now-r.deadAt > deadRetention {
			v.replaceStatement(&r.Peer, nil)
			v.rememberRemoved(r.Addr)
			delete(v.peers, name)
			v.deadCount--
		}
	}
}
