package limiter

import (
	"cmp"
	"slices"

	"example.org/elmspan/shedding"
)

// Downloads arrive over the machine's link in bursts: a server writes as much as the TCP window
// of the connection allows, regardless of other traffic. Whatever is queued behind a burst waits
// for all of it, which can delay another request twice: when the request arrives from the client,
// and when its response arrives from the server. No buffer on this machine can prevent that, but
// requests for downloads can be delayed so that bursts follow one another instead of overlapping.
// Other traffic then waits for one burst at most, without a loss of link utilization. Waiting
// downloads are queued (downloadqueue.go) as long as they can be complete before their callers give
// up, and refused as soon as they can't.
const (
	// Until a download has been answered, one of defaultBytes, an ordinary receive buffer, after
	// defaultTTFBMs is assumed. That paces the first requests and refuses nobody.
	defaultBytes  = 64 << 10
	defaultTTFBMs = 100.0

	minSizeWeight     = 0.02 // minimum smoothing weight of a download in the mean size
	minTTFBWeight     = 0.05 // minimum smoothing weight of a download in the mean time to first byte
	slotTimeoutFactor = 2.5  // a slot is released after this multiple of the mean time to first byte
	lateCheckDelayMs  = 1.0  // after a download becomes late, so that it is late despite rounding
)

// downloadScheduler decides when downloads may be requested over a link that they can saturate.
// It grants slots: a download holds one from its request until its response header arrives.
type downloadScheduler struct {
	bytesPerMs    float64         // link bandwidth; 0: downloads cannot saturate it, all get a slot immediately
	linkBusyUntil float64         // when the link will have carried the bursts that have begun
	meanBytes     float64         // mean size of a download
	sizeSamples   float64         // downloads of known size, which determine the weight of the next
	meanTTFBMs    float64         // mean time from the request to the response header
	ttfbSamples   float64         // response headers, which determine the weight of the next
	headerError   predictionError // of the time at which a response header is expected
	inFlight      []*RequestState // requested, without a response header yet
	queued        []*RequestState // waiting for a slot, ordered by byRank
	shares        shedding.ServedShares
}

func newDownloadScheduler(bytesPerMs float64) downloadScheduler {
	return downloadScheduler{
		bytesPerMs: bytesPerMs,
		meanBytes:  defaultBytes,
		meanTTFBMs: defaultTTFBMs,
	}
}

// observed reports whether a download has been answered yet. Until then its times are assumptions,
// on which no caller is refused.
func (d *downloadScheduler) observed() bool { return d.headerError.observed }

// transferMs returns the time that the link takes for a download of mean size.
func (d *downloadScheduler) transferMs() float64 { return d.meanBytes / d.bytesPerMs }

// slots returns how many downloads may be requested at the same time: as many as the link can carry
// within meanTTFBMs, but at least one.
func (d *downloadScheduler) slots() int { return max(1, int(d.meanTTFBMs/d.transferMs())) }

// periodMs returns the time between two downloads while others are queued.
func (d *downloadScheduler) periodMs() float64 {
	return max(d.transferMs(), d.meanTTFBMs/float64(d.slots()))
}

// nextSlotAt returns the time at which the next slot is expected to be free.
func (d *downloadScheduler) nextSlotAt(now float64) float64 {
	at := max(now, d.linkBusyUntil-d.meanTTFBMs)
	if len(d.inFlight) < d.slots() {
		return at
	}
	oldest := slices.MinFunc(d.inFlight, func(a, b *RequestState) int { return cmp.Compare(a.sentAt, b.sentAt) })
	return max(at, oldest.sentAt+float64(d.slots())*d.periodMs())
}

// serviceMs returns the time from the next free slot until a download is complete that is queued
// behind a number of others.
func (d *downloadScheduler) serviceMs(ahead int) float64 {
	return float64(ahead)*d.periodMs() + d.meanTTFBMs + d.transferMs()
}

// finishAt returns the time at which a download is expected to be complete that is queued now behind
// a number of others.
func (d *downloadScheduler) finishAt(now float64, ahead int) float64 {
	return d.nextSlotAt(now) + d.serviceMs(ahead)
}

// headerAt returns the time at which its response header is expected.
func (d *downloadScheduler) headerAt(now float64, ahead int) float64 {
	return d.finishAt(now, ahead) - d.transferMs()
}

// slotFree reports whether another download may be requested now. If not, it returns the time
// from which it may, or 0 if it must wait for another download's response header.
func (d *downloadScheduler) slotFree(now float64) (ok bool, nextAt float64) {
	taken := 0
	for _, r := range d.inFlight {
		if now-r.sentAt < slotTimeoutFactor*d.meanTTFBMs {
			taken++
		}
	}
	if taken >= d.slots() {
		return false, 0
	}
	if nextAt = d.linkBusyUntil - d.meanTTFBMs; now < nextAt {
		return false, nextAt
	}
	return true, 0
}

// AcquireSlot requests a slot on the link. It must be called before the first StartAttempt. A
// request that is neither granted a slot nor refused is queued, and [Limiter.GrantSlots] returns
// it once it has a slot or is refused. A download that can't be complete before its caller gives up
// is refused, and one for which the queue has no room; the client should retry after retryAfterMs.
// Requests other than downloads are granted a slot immediately, and a download with nothing before
// it is: only its own size, which is not known, could make it late.
func (s *RequestState) AcquireSlot(now float64) (granted bool, retryAfterMs float64, refused bool) {
	d := &s.limiter.downloads
	if !s.request.Bulk || d.bytesPerMs == 0 {
		return true, 0, false
	}
	if ok, _ := d.slotFree(now); ok && len(d.queued) == 0 {
		s.expectHeader(d.headerAt(now, 0))
		d.shares.Record(now, s.request.Priority, true)
		return true, 0, false
	}
	s.linkPriority = d.shares.Effective(s.request.Priority)
	if retryAfterMs, refused = d.enqueue(now, s); refused {
		d.shares.Record(now, s.request.Priority, false)
	}
	return false, retryAfterMs, refused
}

// GrantSlots returns the queued requests that have been granted a slot now, those that are refused,
// and the time at which the host must call it again, or 0 if the queue is empty. A queued download is
// refused as soon as it can't be complete any more before its caller gives up. The host must also
// call GrantSlots when a request has been queued, when a response header arrives and when a request
// finishes.
func (l *Limiter) GrantSlots(now float64) (granted []*RequestState, refused []SlotRefusal, nextAt float64) {
	d := &l.downloads
	for {
		refused = append(refused, d.removeRefused(now)...)
		if len(d.queued) == 0 {
			return granted, refused, 0
		}
		ok, nextAt := d.slotFree(now)
		if !ok {
			if nextAt == 0 { // a server that does not respond must not hold its slot indefinitely
				nextAt = now + slotTimeoutFactor*d.meanTTFBMs
			}
			return granted, refused, min(nextAt, d.nextLateAt()+lateCheckDelayMs)
		}
		next := d.queued[0]
		d.queued = d.queued[1:]
		next.recordSent(now)
		d.shares.Record(now, next.request.Priority, true)
		granted = append(granted, next)
	}
}

// expectHeader records when the response header of a download is expected.
func (s *RequestState) expectHeader(at float64) { s.predicted, s.headerExpectedAt = true, at }

// recordSent records that a download is requested from a server now, or has been granted a slot and
// is about to be requested.
func (s *RequestState) recordSent(now float64) {
	if d := &s.limiter.downloads; s.request.Bulk && d.bytesPerMs > 0 {
		s.sentAt = now
		if !slices.Contains(d.inFlight, s) {
			d.inFlight = append(d.inFlight, s)
		}
	}
}

// ResponseStarted records the arrival of a response header. bytes is the size of the body,
// negative if unknown, and receiveBuffer how many bytes of it may arrive before any are read: the
// rest comes no faster than it is read, in turn with other traffic. 0: not known; the whole body may.
// It releases the slot of a download.
func (s *RequestState) ResponseStarted(now float64, bytes int64, receiveBuffer int) {
	d := &s.limiter.downloads
	i := slices.Index(d.inFlight, s)
	if i < 0 {
		return
	}
	d.inFlight = slices.Delete(d.inFlight, i, i+1)
	if s.predicted {
		d.headerError.observe(now - s.headerExpectedAt)
		s.predicted = false
	}
	d.recordTTFB(now - s.sentAt)
	size := d.meanBytes
	if bytes >= 0 {
		size = float64(bytes)
		d.sizeSamples++
		d.meanBytes += (size - d.meanBytes) * max(minSizeWeight, 1/d.sizeSamples)
	}
	burst := size
	if receiveBuffer > 0 {
		burst = min(size, float64(receiveBuffer))
	}
	d.linkBusyUntil = max(now, d.linkBusyUntil) + burst/d.bytesPerMs
}

// recordTTFB adds a time to first byte to the mean. The first replaces the default; later ones count
// for no more than the time after which their slots are released.
func (d *downloadScheduler) recordTTFB(ttfbMs float64) {
	if d.ttfbSamples > 0 {
		ttfbMs = min(ttfbMs, slotTimeoutFactor*d.meanTTFBMs)
	}
	d.ttfbSamples++
	d.meanTTFBMs += (ttfbMs - d.meanTTFBMs) * max(minTTFBWeight, 1/d.ttfbSamples)
}

// Finish ends a request, after its response was written or when there will be none. The host must
// call it for each download, followed by [Limiter.GrantSlots].
func (s *RequestState) Finish() {
	d := &s.limiter.downloads
	if i := slices.Index(d.inFlight, s); i >= 0 {
		d.inFlight = slices.Delete(d.inFlight, i, i+1)
	}
	d.dequeue(s)
}
