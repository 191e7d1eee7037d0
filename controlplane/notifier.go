package controlplane

// notifier wakes goroutines that wait for a change. A waiting goroutine reads a channel while it
// holds Core.mu, releases the mutex, and checks its condition again once the channel is closed.
// Guarded by Core.mu.
type notifier struct {
	changed      chan struct{} // closed when there may be something new for watchers
	acknowledged chan struct{} // closed when a read index is confirmed or a call has its result
}

func newNotifier() notifier {
	return notifier{changed: make(chan struct{}), acknowledged: make(chan struct{})}
}

// notifyWatchers wakes goroutines that wait for a new revision, server list or leader.
func (n *notifier) notifyWatchers() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// notifyReaders wakes goroutines that wait for a read index or for the result of a call.
func (n *notifier) notifyReaders() {
	close(n.acknowledged)
	n.acknowledged = make(chan struct{})
}
