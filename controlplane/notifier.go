package controlplane

// notifier wakes goroutines that wait for something to change. Whoever waits reads a channel
// under Core.mu, gives the mutex up, and looks again once the channel is closed.
// Guarded by Core.mu.
type notifier struct {
	changed      chan struct{} // closed when watchers may have something new to be sent
	acknowledged chan struct{} // closed when a read index is confirmed or a call has its result
}

func newNotifier() notifier {
	return notifier{changed: make(chan struct{}), acknowledged: make(chan struct{})}
}

// notifyWatchers wakes those who wait for a new revision, server list or leader.
func (n *notifier) notifyWatchers() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// notifyReaders wakes those who wait for a read index or for the result of a call.
func (n *notifier) notifyReaders() {
	close(n.acknowledged)
	n.acknowledged = make(chan struct{})
}
