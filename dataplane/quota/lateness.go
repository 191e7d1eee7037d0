package quota

import "math"

// offsetDriftPerMs is by how much the least offset that was seen of a peer is raised in each millisecond: clocks drift
// apart, by far less than this.
const offsetDriftPerMs = 0.001

// lateness estimates how late the messages of one incarnation of a peer come, without clocks that agree. A message has
// its sender's age. What the receiver's clock is ahead of that age is least for the message that was quickest; what it
// is more for another one is how much longer that one took, in queues, on links, or at a process that stood still.
type lateness struct {
	minOffset float64
	at        float64 // time of the last message; 0: none yet
	ms        float64 // of the last message
}

// observe notes a message that is received now, and returns how much later it came than the quickest one.
func (l *lateness) observe(now, senderAgeMs float64) (ms float64) {
	offset := now - senderAgeMs
	if l.at == 0 {
		l.minOffset = offset
	}
	l.minOffset = math.Min(offset, l.minOffset+offsetDriftPerMs*(now-l.at))
	l.at, l.ms = now, offset-l.minOffset
	return l.ms
}

// LatenessMs returns how late the latest of the last messages of the live peers came, beyond the time that their
// quickest took.
func (e *Enforcer) LatenessMs(now float64) (latest float64) {
	for _, p := range e.peers {
		if now-p.lastReceived <= e.livenessTimeout() {
			latest = max(latest, p.lateness.ms)
		}
	}
	return latest
}
