// Package health judges servers by how requests to them end. A server's word on
// itself can be false either way, so only what it does counts: each failure speaks
// against it and each answer for it, by how much likelier that would be at a server
// that is ill than at one that is as the others are (Page, "Continuous Inspection
// Schemes", 1954: the cumulative sum of log likelihood ratios). So three failures in
// a row keep a server off, and so do four among ten answers; one among twenty does not,
// and where all servers of a service fail alike none is kept off for it. What leaves no
// doubt, as a connect in vain, weighs more: two are enough. A server that
// was kept off comes back on trial: the next failure keeps it off for twice as long.
//
// It does no I/O, reads no clock and draws no numbers; times are in milliseconds.
package health

import "math"

const (
	illShare  = 0.35 // of the requests at a server that is ill fail
	usualLow  = 0.02 // what fails at servers that are well, at the least ...
	usualMost = 0.25 // ... and at the most
	usualPart = 0.01 // of one request in the usual share
	keepOffAt = 6.5  // sum at which a server is kept off: three failures among few answers
	trialAt   = 4.5  // sum that a server comes back with: one failure keeps it off again
	fadeMs    = 3000.0
	offMs     = 1000.0 // the first time; doubled with each further one
	offMost   = 8000.0
	recovers  = 4 * offMost // without a failure: the next time is the first one again
)

// Sure is the weight of a failure that leaves no doubt.
const Sure = 1.3

// Usual is the share of requests to a service that fail, at all its servers
// together. The zero value knows of none.
type Usual struct{ share float64 }

// Note counts a request.
func (u *Usual) Note(failed bool) {
	u.share -= usualPart * u.share
	if failed {
		u.share += usualPart
	}
}

// Share is the usual share of failures.
func (u *Usual) Share() float64 { return u.share }

// ratios are what a failure and an answer add to a server's sum.
func (u *Usual) ratios() (failure, answer float64) {
	usual := min(max(usualLow, u.share), usualMost)
	ill := max(illShare, min(0.9, 3*usual))
	return math.Log(ill / usual), math.Log((1 - ill) / (1 - usual))
}

// Record is what speaks against one server. The zero value is of one that nothing
// is known of.
type Record struct {
	sum   float64
	at    float64
	offTo float64
	offs  int     // times that it was kept off, each soon after the one before
	badAt float64 // the last failure
}

func (r *Record) fade(now float64) {
	if now > r.at {
		r.sum *= math.Exp((r.at - now) / fadeMs)
		r.at = now
	}
}

// Failed counts a failure, weighed: 1 for a request that failed, [Sure] where nothing
// answers at all, less for what is told or may have other causes. spare tells whether the service can do without this server: one
// that it can't is not kept off. It tells whether the server is kept off from now on.
func (r *Record) Failed(now, weight float64, u *Usual, spare bool) bool {
	r.fade(now)
	if now-r.badAt > recovers {
		r.offs = 0
	}
	r.badAt = now
	failure, _ := u.ratios()
	r.sum = min(2*keepOffAt, r.sum+weight*failure)
	if r.sum < keepOffAt || now < r.offTo || !spare {
		return false
	}
	r.offTo = now + min(offMost, offMs*math.Pow(2, float64(r.offs)))
	r.offs++
	r.sum, r.at = trialAt, r.offTo // it does not fade while nothing is tried
	return true
}

// Answered counts an answer of use.
func (r *Record) Answered(now float64, u *Usual) {
	if now < r.offTo {
		return // to a request from before
	}
	r.fade(now)
	_, answer := u.ratios()
	r.sum = max(0, r.sum+answer)
}

// Off tells whether the server is kept off.
func (r *Record) Off(now float64) bool { return now < r.offTo }

// Doubt is how much speaks against a server that is not kept off: 0 nothing, 1 nearly
// enough.
func (r *Record) Doubt(now float64) float64 {
	r.fade(now)
	return min(1, r.sum/keepOffAt)
}
