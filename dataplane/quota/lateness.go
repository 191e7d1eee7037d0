package quota

import "math"

// offsetDriftPerMs is how much the minimum offset of a peer is raised per millisecond to follow
// clock drift. Real clocks drift far less than this.
const offsetDriftPerMs = 0.001

// lateness estimates the delay of the messages of one incarnation of a peer without synchronized
// clocks. Each message carries its sender's age. The offset, the time of receipt minus that age, is
// smallest for the fastest message. A larger offset shows how much longer another message took in
// queues, on links, or because a process was suspended.
type lateness struct {
	minOffset float64
	at        float64 // time of the last message; 0: none yet
	ms        float64 // lateness of the last message
}

// observe records a message that is received now, and returns how much longer it took than the
// fastest one.
func (l *lateness) observe(now, senderAgeMs float64) (ms float64) {
	offset := now - senderAgeMs
	if l.at == 0 {
		l.minOffset = offset
	}
	l.minOffset = math.Min(offset, l.minOffset+offsetDriftPerMs*(now-l.at))
	l.at, l.ms = now, offset-l.minOffset
	return l.ms
}

// LatenessMs returns the highest lateness among the last messages of the live peers in this
// limiter's group. Lateness is the delay beyond that of the peer's fastest message.
func (e *Enforcer) LatenessMs(now float64) (highest float64) {
	for _, p := range e.peers {
		if now-p.lastReceived <= e.livenessTimeout() {
			highest = max(highest, p.lateness.ms)
		}
	}
	return highest
}
