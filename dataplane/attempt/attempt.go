// Package attempt decides what the end of a try at a server means, without I/O, clock
// or goroutines: from what was sent and what was seen, whether the request may have
// run, what its client can be told and whether the connection can be used again
// ([Judge], [Evidence.Reusable]); from how the tries so far have ended, whether another
// server may get it, or what the last word is ([Course]).
//
// What it rests on, of what servers promise (RFC 9110, 9.2.2 and 9.3.1; RFC 9112, 9.6
// and 9.2):
//   - bytes of which none were taken by a connection have reached nobody;
//   - an answer with Not-Executed, and status 421, say that the request has not run
//     and never will;
//   - nothing else says so: after any byte, a reset, a close, silence or nonsense
//     leave open whether it ran, or still runs;
//   - an answer belongs to the request whose Attempt-Id it bears, once.
package attempt

import "example.org/elmspan/dataplane/balance"

// Written is how much of a request its connection has taken.
type Written int

// How much was written.
const (
	Nothing Written = iota // not a byte: no server has it
	Part                   // a server may have what it needs to begin
	Whole
)

// Owner is whose an answer is.
type Owner int

// The owners.
const (
	Nobodys  Owner = iota // without an id, or with several: it could be anybody's
	Anothers              // with another request's id
	Own
)

// OwnerOf tells whose an answer is to a request with the id mine, by the id that it
// bears and how often it bears one.
func OwnerOf(id string, times int, mine string) Owner {
	switch {
	case id == "" || times != 1:
		return Nobodys
	case id != mine:
		return Anothers
	}
	return Own
}

// MostStrays is how many answers that belong to other requests are read past on a
// connection, before one's own.
const MostStrays = 2

// ReadPast tells whether to go on reading behind an answer of an owner other than
// [Own], the one of that count on this connection: bounded tells that its end is
// certain and not too far.
func ReadPast(o Owner, count int, bounded bool) bool {
	return o == Anothers && count <= MostStrays && bounded
}

// Seen is what came back on a connection to which a request was written.
type Seen int

// What came back.
const (
	// Silence: no head of an answer that is one's own. The time was up, the connection
	// ended, what came was no answer, or it was another's.
	Silence Seen = iota
	// Aborted: the client's body broke off, so that the server never had the whole.
	Aborted
	// Broken: one's own head, behind which the body ended early or can't be read.
	Broken
	// Begun: one's own head and the beginning of a long body, which is passed on as it
	// comes.
	Begun
	// Answered: one's own answer, whole.
	Answered
)

// Evidence is all that is known of a try that has ended, or whose answer has begun.
type Evidence struct {
	Written     Written
	Seen        Seen
	Status      int  // from Broken on
	NotExecuted bool // the server says that it did not run the request
	Sealed      bool // its seal, no encoding, and an end that shows
	Closes      bool // the connection ends after the answer
	NoBody      bool // the request was HEAD: a stray body would not show
	Strays      int  // answers of others that came before
	Behind      int  // bytes that stand behind the answer
}

// Say is what a client can be told after a try.
type Say int

// What can be told.
const (
	Nought  Say = iota // nothing yet: another try, or see [Course.Final]
	Servers            // the server's answer, unchanged
	Failure            // 502, in place of a failure of the server's that can't be passed on
	Fault              // what the client did wrong
)

// Verdict is what a try comes to.
type Verdict struct {
	Result balance.Result // what it says about the server
	Ran    bool           // the request may have run, or may still run
	Say    Say
}

// Judge tells what a try comes to.
func Judge(e Evidence) Verdict {
	switch {
	case e.Written == Nothing:
		return Verdict{Result: balance.Unsent}
	case e.Seen == Aborted:
		return Verdict{balance.Given, true, Fault}
	case e.Seen == Silence:
		return Verdict{balance.Failed, true, Nought}
	}
	success := e.Status/100 == 2
	switch {
	case success && e.Sealed && e.Seen != Broken:
		return Verdict{balance.Good, true, Servers}
	case success: // not the server's, or not all of it
		return Verdict{balance.Failed, true, Nought}
	case e.Status == 421:
		return Verdict{Result: balance.Moved}
	case e.NotExecuted && e.Status == 400 && e.Seen != Broken: // no other server would take it
		return Verdict{balance.Good, false, Servers}
	case e.NotExecuted:
		return Verdict{Result: balance.Full}
	case e.Status == 408, e.Status == 429, e.Status == 503:
		// These would promise that it has not run, which the server did not say.
		return Verdict{balance.Failed, true, Failure}
	}
	// A failure that breaks off tells nothing whole: passed on, it would either look
	// complete or end the client's connection, with what else is under way on it.
	say := Servers
	if e.Seen == Broken {
		say = Failure
	}
	switch {
	case e.Status == 504: // its time was up, which says nothing of the server
		return Verdict{balance.Given, true, say}
	case e.Status >= 500:
		return Verdict{balance.Erred, true, say}
	case e.Seen == Broken:
		return Verdict{balance.Failed, true, say}
	}
	return Verdict{balance.Good, true, say}
}

// Reusable tells whether the connection may carry another request, once the answer is
// [Answered]. A server that has lost count once may do so again; and to pass over a
// stray answer to HEAD one would have to know that it is one.
func (e Evidence) Reusable() bool {
	return e.Written == Whole && e.Seen == Answered && !e.Closes && !e.NoBody && e.Strays == 0 && e.Behind == 0
}

// Rules are the decisions that a gateway puts into effect. Others than [Standard] are
// for tests that have to see that faults in them are found.
type Rules struct {
	OwnerOf  func(id string, times int, mine string) Owner
	Judge    func(Evidence) Verdict
	Reusable func(Evidence) bool
}

// Standard are the decisions of this package.
func Standard() Rules { return Rules{OwnerOf, Judge, Evidence.Reusable} }
