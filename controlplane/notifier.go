package controlplane

// notifier wakes goroutines that wait for a change. A waiting goroutine reads a channel while it
// holds Core.mu, releases the mutex, and checks its condition again once the channel is closed.
// Guarded by Core.mu.
type notifier struct {
	// changed is closed when there may be something new for watchers.
	changed chan struct{}
	// acknowledged is closed when a read index is confirmed, entries are applied or a call has its
	// result.
	acknowledged chan struct{}
}

func newNotifier() notifier {
	return notifier{changed: make(chan struct{}), acknowledged: make(chan struct{})}
}

// notifyWatchers wakes goroutines that wait for a new revision, server list or leader.
func (n *notifier) notifyWatchers() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// notifyReaders wakes goroutines that wait for a read index, for entries to be applied or for the
// result of a call.
func (n *notifier) notifyReaders() {
	close(n.acknowledged)
	n.acknowledged = make(chan struct{})
}
