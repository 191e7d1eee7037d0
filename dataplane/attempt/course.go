package attempt

import "example.org/elmspan/dataplane/balance"

// Course is what the tries of one request have come to so far. The zero value is that
// of a request that may run once and was sent nowhere.
type Course struct {
	Repeatable bool // it may run more than once
	out        int  // tries that have not ended
	sent       int  // tries begun
	ran        bool // it may have run, or may still run
	came       bool // it has reached a server
}

// Begin notes that a try begins.
func (c *Course) Begin() { c.out++; c.sent++ }

// Sent is how many tries have begun.
func (c *Course) Sent() int { return c.sent }

// Came tells whether the request has reached a server: another one is charged to the
// budget of further tries.
func (c *Course) Came() bool { return c.came }

// Next is what follows on the end of a try.
type Next int

// What follows.
const (
	Deliver  Next = iota // its answer is the final one
	Await                // another try is out
	Relaunch             // a further try may be made
	Stop                 // none may: see [Course.Final]
)

// Ended notes how a try ended. ran: the server may have run it. answered: it brought
// an answer that a client can be given; started: a part of a body that is not held is
// gone, so that no other server can get it.
func (c *Course) Ended(result balance.Result, ran, answered, started bool) Next {
	c.out--
	c.ran = c.ran || ran
	c.came = c.came || result != balance.Unsent
	switch {
	case answered && (result == balance.Good || !c.Repeatable):
		return Deliver
	case c.out > 0:
		return Await // the other one may still answer; a failure of a server's is kept till then
	case c.ran && !c.Repeatable, started:
		return Stop
	}
	return Relaunch
}

// Final is the status of the last word where no server's answer can be it: 503
// promises that the request has not run and never will; late tells that its time is up.
func (c *Course) Final(late bool) int {
	switch {
	case !c.ran:
		return 503
	case late:
		return 504
	}
	return 502
}
