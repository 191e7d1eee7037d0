package limiter

import "slices"

// Long answers come over the machine's link in one burst: a server writes as much
// as the connection's window takes, whatever else is waiting to come in. What
// comes behind waits for all of it, each request once on its way in and once more
// with its answer. No buffer here can hold that back, but the requests for such
// answers can be: so that one burst follows on the other and no two come at the
// same time. All else so waits for one burst at most, and the link is as full as
// before. An answer that could not be carried within its aim is refused at once:
// the client finds another limiter, which may have room.
const (
	burst       = 78 << 10 // bytes that a server sends before it waits for us
	meanWeight  = 0.02
	meanBytes   = 64 << 10 // of a long answer, before any has come
	typicalMs   = 100.0    // until its head comes, likewise
	workShare   = 0.05     // of one answer in that
	stuckTimes  = 2.5      // a server that has not answered for so much longer is not waited for
	berthRoom   = 0.6      // of the aim may be planned for ...
	berthAgain  = 0.85     // ... of a request that has been refused before
	leastAgain  = 40.0     // ms until it is worth asking again
	mostWaiting = 64
	mostRoutes  = 1024 // whose clients' time is remembered
	laterTry    = 0.97 // of the time that clients of a route have: with less, it is a later try
)

// berths says when long answers may be asked for, on a link that they can fill.
type berths struct {
	perMs   float64 // bytes a millisecond; 0: no plan is needed
	busyTo  float64 // the link brings what has begun until then
	mean    float64 // bytes of a long answer
	n       float64
	workMs  float64
	asked   []*Flight          // whose heads have not come
	waiting []*Flight          // first come, first served
	budgets map[string]float64 // the most time that a client of a route had
}

func newBerths(perMs float64) berths {
	return berths{perMs: perMs, mean: meanBytes, workMs: typicalMs, budgets: map[string]float64{}}
}

// transfer is how long the link takes for a typical long answer.
func (b *berths) transfer() float64 { return b.mean / b.perMs }

// free tells whether one more may be asked for, and else from when on it may; 0:
// from when the head of another has come. Where the link brings several in the
// time that a server works on one, so many may be asked for.
func (b *berths) free(now float64) (ok bool, at float64) {
	out := 0
	for _, f := range b.asked {
		if now-f.askedAt < stuckTimes*b.workMs {
			out++
		}
	}
	if out >= max(1, int(b.workMs/b.transfer())) {
		return false, 0
	}
	if at = b.busyTo - b.workMs; now < at {
		return false, at
	}
	return true, 0
}

// finish is when an answer that is asked for now would be here, behind all others.
func (b *berths) finish(now float64) float64 {
	ahead := float64(len(b.waiting) + len(b.asked))
	return max(now, b.busyTo-b.workMs) + b.workMs + (ahead+1)*b.transfer()
}

// Berth asks for a place on the link, before the first Launch. Where it has to be
// waited for, [Limiter.Berths] hands the flight out when its time has come. One
// that would come past its aim is refused: waitMs tells when to come back.
func (f *Flight) Berth(now float64) (granted bool, waitMs float64, refused bool) {
	b := &f.l.berths
	if !f.r.Bulk || b.perMs == 0 {
		return true, 0, false
	}
	if ok, _ := b.free(now); ok && len(b.waiting) == 0 {
		return true, 0, false
	}
	if f.r.AimMs > 0 {
		room := berthRoom
		if f.later() {
			room = berthAgain
		}
		if over := b.finish(now) - f.r.ArrivedMs - room*f.r.AimMs; over > 0 || len(b.waiting) >= mostWaiting {
			return false, max(leastAgain, over), true
		}
	}
	b.waiting = append(b.waiting, f)
	return false, 0, false
}

// later tells whether the client has asked before: it has less time than clients
// of the route have at first.
func (f *Flight) later() bool {
	b, left := &f.l.berths, f.r.DeadlineMs-f.r.ArrivedMs
	if most := b.budgets[f.r.Route]; left >= most {
		if len(b.budgets) >= mostRoutes { // those that are asked for come back
			clear(b.budgets)
		}
		b.budgets[f.r.Route] = left
		return false
	} else {
		return left < laterTry*most
	}
}

// Berths returns the flights whose time has come, and when to ask again; 0: there
// is no need before something else happens.
func (l *Limiter) Berths(now float64) (start []*Flight, at float64) {
	b := &l.berths
	for len(b.waiting) > 0 {
		ok, at := b.free(now)
		if !ok {
			if at == 0 { // a server that is stuck is not waited for without end
				at = now + stuckTimes*b.workMs
			}
			return start, at
		}
		f := b.waiting[0]
		b.waiting = b.waiting[1:]
		f.ask(now)
		start = append(start, f)
	}
	return start, 0
}

// ask notes that a server is asked for the answer now.
func (f *Flight) ask(now float64) {
	if b := &f.l.berths; f.r.Bulk && b.perMs > 0 {
		f.askedAt = now
		if !slices.Contains(b.asked, f) {
			b.asked = append(b.asked, f)
		}
	}
}

// Head notes that the head of a long answer has come, of so many bytes; below 0:
// it does not say.
func (f *Flight) Head(now float64, bytes int64) {
	b := &f.l.berths
	i := slices.Index(b.asked, f)
	if i < 0 {
		return
	}
	b.asked = slices.Delete(b.asked, i, i+1)
	b.workMs += (min(now-f.askedAt, stuckTimes*b.workMs) - b.workMs) * workShare
	size := b.mean
	if bytes >= 0 {
		size = float64(bytes)
		b.n++
		b.mean += (size - b.mean) * max(meanWeight, 1/b.n)
	}
	b.busyTo = max(now, b.busyTo) + min(size, burst)/b.perMs
}

// Over ends a flight: its answer was written, or none will be. The host calls it
// for each, and then [Limiter.Berths].
func (f *Flight) Over() {
	b := &f.l.berths
	is := func(o *Flight) bool { return o == f }
	b.asked = slices.DeleteFunc(b.asked, is)
	b.waiting = slices.DeleteFunc(b.waiting, is)
}
