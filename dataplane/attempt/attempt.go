// Package attempt classifies the end of an attempt at a server, without I/O, clock or
// goroutines. From what was written and what came back, [Classify] says whether the server
// may have run the request, what the client can be answered and what it means for the
// server's health; [Evidence.Reusable] whether the connection may carry another request.
// A [Tracker] keeps the attempts of one request and decides whether another server may get
// it, or which status ends it.
//
// The rules rest on what servers guarantee (RFC 9110, 9.2.2 and 9.3.1; RFC 9112, 9.2 and 9.6):
//   - a request of which a connection took no byte has reached nobody;
//   - an answer with Not-Executed, and status 421, say that the request has not run and
//     never will;
//   - nothing else says so: after any byte, a reset, a close, a time-out or a malformed
//     answer leave open whether it ran, or still runs;
//   - an answer belongs to the request whose Attempt-Id it carries, once.
package attempt

import (
	"net/http"

	"example.org/elmspan/dataplane/balance"
)

// WriteProgress is how much of a request its connection took.
type WriteProgress int

// The write progress of an attempt.
const (
	NotWritten    WriteProgress = iota // no byte: no server has it
	PartlyWritten                      // the server may have enough to begin
	FullyWritten
)

// ResponseOwner is the request that an answer belongs to.
type ResponseOwner int

// The owners of an answer.
const (
	OwnerUnknown ResponseOwner = iota // without an Attempt-Id, or with several
	OtherRequest                      // with the Attempt-Id of another request
	ThisRequest
)

// OwnerOf returns the owner of an answer to the request with the id requestID. responseID is
// the Attempt-Id that the answer carries, and count how many it carries.
func OwnerOf(responseID string, count int, requestID string) ResponseOwner {
	switch {
	case responseID == "" || count != 1:
		return OwnerUnknown
	case responseID != requestID:
		return OtherRequest
	}
	return ThisRequest
}

// MaxStrayResponses is how many answers to other requests are skipped on a connection
// before the request's own.
const MaxStrayResponses = 2

// ShouldSkip reports whether to skip an answer whose owner is not [ThisRequest] and to read
// the next one. count is how many of them came on this connection, this one included;
// bounded reports that its end is known and not too far.
func ShouldSkip(o ResponseOwner, count int, bounded bool) bool {
	return o == OtherRequest && count <= MaxStrayResponses && bounded
}

// ResponseProgress is how much of an answer came back for a request that was written.
type ResponseProgress int

// The progress of an answer.
const (
	// NoResponse: no head of this request's own answer. The time was up, the connection
	// ended, the answer was malformed, or it belonged to another request.
	NoResponse ResponseProgress = iota
	// RequestAborted: the client's body broke off, so that the server never had all of it.
	RequestAborted
	// Truncated: the head came, and the body ended early or was malformed.
	Truncated
	// Streaming: the head and the beginning of a long body came; it is forwarded as it comes.
	Streaming
	// Complete: the whole answer came.
	Complete
)

// Evidence is all that is known of an attempt that has ended, or whose answer is
// [Streaming].
type Evidence struct {
	Written        WriteProgress
	Response       ResponseProgress
	Status         int  // from Truncated on
	NotExecuted    bool // the server says that it did not run the request
	Sealed         bool // the answer has Server-Seal, no encoding, and an end that shows
	Closes         bool // the connection ends after the answer
	HeadRequest    bool // the method is HEAD: the body of a stray answer would not show
	StrayResponses int  // answers to other requests that came before
	TrailingBytes  int  // bytes that were read behind the answer
}

// ClientResponse is what a client can be answered after an attempt.
type ClientResponse int

// The answers to a client.
const (
	NoClientResponse ClientResponse = iota // none yet: another attempt, or [Tracker.FinalStatus]
	ServerResponse                         // the server's answer, unchanged
	BadGateway                             // 502, in place of a server's failure that can't be forwarded
	ClientError                            // the error in the client's own request
)

// Classification is the meaning of an attempt's end.
type Classification struct {
	Result     balance.Result // for the server's load and health
	MayHaveRun bool           // the server may have run the request, or may still run it
	Response   ClientResponse
}

// Classify returns the meaning of an attempt's end.
func Classify(e Evidence) Classification {
	switch {
	case e.Written == NotWritten:
		return Classification{Result: balance.NotSent}
	case e.Response == RequestAborted:
		return Classification{balance.Cancelled, true, ClientError}
	case e.Response == NoResponse:
		return Classification{balance.Failure, true, NoClientResponse}
	case e.Status/100 == 2:
		return classifySuccess(e)
	case e.Status == http.StatusMisdirectedRequest:
		return Classification{Result: balance.Replaced}
	case e.NotExecuted:
		return classifyNotExecuted(e)
	}
	return classifyFailure(e)
}

// classifySuccess forwards a success only if the server sealed it and all of it can come.
func classifySuccess(e Evidence) Classification {
	if e.Sealed && e.Response != Truncated {
		return Classification{balance.Success, true, ServerResponse}
	}
	return Classification{balance.Failure, true, NoClientResponse}
}

// classifyNotExecuted lets another server have the request, unless none would take it.
func classifyNotExecuted(e Evidence) Classification {
	if e.Status == http.StatusBadRequest && e.Response != Truncated {
		return Classification{balance.Success, false, ServerResponse}
	}
	return Classification{Result: balance.Rejected}
}

// classifyFailure classifies an answer that is no success and does not say whether the
// request ran.
func classifyFailure(e Evidence) Classification {
	switch e.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// These would assure the client that it has not run, which the server did not say.
		return Classification{balance.Failure, true, BadGateway}
	}
	// A truncated failure would either look complete to the client, or end its connection
	// and with it the other requests on it.
	answer := ServerResponse
	if e.Response == Truncated {
		answer = BadGateway
	}
	switch {
	case e.Status == http.StatusGatewayTimeout: // the time was up, which is not the server's fault
		return Classification{balance.Cancelled, true, answer}
	case e.Status >= 500:
		return Classification{balance.ServerError, true, answer}
	case e.Response == Truncated:
		return Classification{balance.Failure, true, answer}
	}
	return Classification{balance.Success, true, answer}
}

// Reusable reports whether the connection may carry another request once the answer is
// [Complete]. A server that sent a stray answer may send another one, and to skip a stray
// answer to HEAD one would have to know that it has no body.
func (e Evidence) Reusable() bool {
	clean := !e.HeadRequest && e.StrayResponses == 0 && e.TrailingBytes == 0
	return e.Written == FullyWritten && e.Response == Complete && !e.Closes && clean
}

// Rules are the decisions that a gateway applies. Tests replace them to show that a fault
// in each one is found.
type Rules struct {
	OwnerOf  func(responseID string, count int, requestID string) ResponseOwner
	Classify func(Evidence) Classification
	Reusable func(Evidence) bool
}

// DefaultRules returns the decisions of this package.
func DefaultRules() Rules { return Rules{OwnerOf, Classify, Evidence.Reusable} }
