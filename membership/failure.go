package membership

import (
	"slices"
	"time"

	"example.org/elmspan/api"
)

const (
	// failureTimeout is how long a watcher waits for a heartbeat before it declares a process
	// dead: five intervals. Shorter finds failures sooner and declares more living processes
	// dead, each of which then has to refute it.
	failureTimeout = 2500 * time.Millisecond
	// deadRetention is how long a dead process is remembered, so that older statements that
	// it is alive are overridden. It must be longer than statements travel.
	deadRetention = 60 * time.Second
	// maxPause is the longest time between two calls of DetectFailures after which heartbeats
	// are judged. After a longer one this process itself was paused, and has not received
	// what was sent meanwhile.
	maxPause = time.Second
)

// RecordHeartbeat takes in that a process sent a heartbeat, and its statement about itself. It
// reports whether the view changed.
func (v *View) RecordHeartbeat(now time.Duration, from api.Peer) bool {
	changed := v.Merge(now, []api.Peer{from})
	if r := v.peers[from.Name]; r != nil && r.StartID == from.StartID {
		r.heartbeatAt = now
	}
	return changed
}

// DetectFailures declares those dead whom this process watches and who have sent no heartbeat
// in time, and returns their names in order. It also forgets those who have been dead for
// long. The host calls it at each heartbeat of its own.
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
	v.forgetDead(now)
	slices.Sort(failed)
	return failed
}

func (v *View) wasPaused(now time.Duration) bool {
	return v.checkedAt != 0 && now-v.checkedAt > maxPause
}

// updateWatched finds whom this process watches now, and returns those of them whose
// heartbeats have failed to come.
func (v *View) updateWatched(now time.Duration) (failed []string) {
	watched := map[string]bool{}
	for _, name := range v.watchedBySelf() {
		r := v.peers[name]
		if r == nil {
			continue
		}
		watched[name] = true
		if !v.watched[name] { // it sends its heartbeats here only from now on
			r.heartbeatAt = now
		}
		if now-r.heartbeatAt > failureTimeout {
			failed = append(failed, name)
		}
	}
	v.watched = watched
	return failed
}

func (v *View) forgetDead(now time.Duration) {
	if v.dead == 0 {
		return
	}
	for name, r := range v.peers {
		if r.State == Dead && now-r.deadAt > deadRetention {
			v.replaceStatement(&r.Peer, nil)
			delete(v.peers, name)
			v.dead--
		}
	}
}
