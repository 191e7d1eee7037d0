package limiter

import (
	"cmp"
	"slices"
)

// maxQueuedDownloads bounds the queue on every route, however long its callers wait.
const maxQueuedDownloads = 64

// SlotRefusal is a queued download that is refused.
type SlotRefusal struct {
	State        *RequestState
	RetryAfterMs float64 // time after which the same request, with as much time left, would be accepted
}

// byRank orders queued downloads: the higher priority first, and among equals the one whose caller
// gives up first.
func byRank(a, b *RequestState) int {
	return cmp.Or(a.linkPriority.Compare(b.linkPriority),
		cmp.Compare(a.request.DeadlineMs, b.request.DeadlineMs))
}

// queuePosition returns how many queued downloads are served before a new one.
func (d *downloadScheduler) queuePosition(s *RequestState) int {
	i := slices.IndexFunc(d.queued, func(o *RequestState) bool { return byRank(s, o) < 0 })
	if i < 0 {
		return len(d.queued)
	}
	return i
}

// enqueue queues a download, or refuses it: if it is not expected to be complete before its caller
// gives up, if it would make one of the same priority miss that time, or if the queue is full of
// downloads of its priority or higher ones. Those of a lower priority give way: they are refused by
// the next GrantSlots.
func (d *downloadScheduler) enqueue(now float64, s *RequestState) (retryAfterMs float64, refused bool) {
	position := d.queuePosition(s)
	if d.isFullFor(s) {
		return max(d.retryAfterMs(now, s), d.placeFreeAfterMs(now)), true
	}
	if !d.fits(now, s, position) {
		return d.retryAfterMs(now, s), true
	}
	s.expectHeader(d.headerAt(now, position))
	d.queued = slices.Insert(d.queued, position, s)
	d.shiftExpected(position+1, d.periodMs())
	return 0, false
}

// shiftExpected corrects when response headers are expected, from a position of the queue on, after a
// download before it came or went.
func (d *downloadScheduler) shiftExpected(position int, byMs float64) {
	for _, s := range d.queued[position:] {
		s.headerExpectedAt += byMs
	}
}

// dequeue removes a download from the queue, if it is there.
func (d *downloadScheduler) dequeue(s *RequestState) {
	if i := slices.Index(d.queued, s); i >= 0 {
		d.queued = slices.Delete(d.queued, i, i+1)
		d.shiftExpected(i, -d.periodMs())
	}
}

// isFullFor reports whether the queue has no place for a download, not even that of one with a lower
// priority.
func (d *downloadScheduler) isFullFor(s *RequestState) bool {
	if len(d.queued) < maxQueuedDownloads {
		return false
	}
	last := d.queued[len(d.queued)-1]
	return last.linkPriority.Compare(s.linkPriority) <= 0
}

// fits reports whether a download at a position of the queue, and those of the same priority behind
// it, can be complete in their callers' time.
func (d *downloadScheduler) fits(now float64, s *RequestState, position int) bool {
	if d.isLate(now, s, position) {
		return false
	}
	for i, behind := range d.queued[position:] {
		if behind.linkPriority == s.linkPriority && d.isLate(now, behind, position+i+1) {
			return false
		}
	}
	return true
}

// isLate reports whether a download at a position of the queue is not expected to be complete before
// its caller gives up, with a margin for the error of that expectation.
func (d *downloadScheduler) isLate(now float64, s *RequestState, position int) bool {
	if now >= s.request.DeadlineMs {
		return true
	}
	return d.observed() && d.finishAt(now, position)+d.headerError.marginMs() > s.request.DeadlineMs
}

// retryAfterMs returns the time after which a download with as much time left as this one has now
// would be complete in it, behind all queued downloads of its priority and of higher ones. Too little
// time for any download is accepted only where nothing is before it, so after all queued ones.
func (d *downloadScheduler) retryAfterMs(now float64, s *RequestState) float64 {
	margin := d.headerError.marginMs()
	if s.request.DeadlineMs-now <= d.serviceMs(0)+margin {
		return d.nextSlotAt(now) + float64(len(d.queued))*d.periodMs() - now
	}
	ahead := 0
	for _, o := range d.queued {
		if o != s && o.linkPriority.Compare(s.linkPriority) <= 0 {
			ahead++
		}
	}
	return max(0, d.finishAt(now, ahead)+margin-s.request.DeadlineMs)
}

// placeFreeAfterMs returns the time after which the queue is expected to be shorter by one.
func (d *downloadScheduler) placeFreeAfterMs(now float64) float64 {
	return d.nextSlotAt(now) - now
}

// removeRefused removes the downloads that can't be complete any more before their callers give up,
// and those beyond the bound of the queue.
func (d *downloadScheduler) removeRefused(now float64) (refused []SlotRefusal) {
	kept := 0
	for kept < len(d.queued) {
		s := d.queued[kept]
		if kept < maxQueuedDownloads && !d.isLate(now, s, kept) {
			kept++
			continue
		}
		d.dequeue(s)
		d.shares.Record(now, s.request.Priority, false)
		refused = append(refused, SlotRefusal{State: s})
	}
	for i := range refused {
		refused[i].RetryAfterMs = d.retryAfterMs(now, refused[i].State)
	}
	return refused
}

// nextLateAt returns the first time at which a queued download can't be complete any more before its
// caller gives up, if none is granted a slot until then.
func (d *downloadScheduler) nextLateAt() float64 {
	at := d.queued[0].request.DeadlineMs
	for i, s := range d.queued {
		at = min(at, s.request.DeadlineMs)
		if d.observed() {
			at = min(at, s.request.DeadlineMs-d.serviceMs(i)-d.headerError.marginMs())
		}
	}
	return at
}
