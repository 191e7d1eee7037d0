// Package attempt classifies the outcome of an attempt to send a request to a server, without I/O,
// clock or goroutines. From what was written and what was received, [Classify] determines whether
// the server may have executed the request, which response the client can get, and what the outcome
// means for the server's health. [Evidence.Reusable] determines whether the connection may carry
// another request. A [Tracker] follows the attempts at one request and decides whether the request
// may be sent to another server, or which status ends it.
//
// The rules rely on what servers guarantee (RFC 9110, 9.2.2 and 9.3.1; RFC 9112, 9.2 and 9.6):
//   - a request of which no byte was written to the connection has not reached any server;
//   - a response with Not-Executed or with status 421 states that the request was not executed
//     and never will be;
//   - nothing else states this: after any byte was written, a reset, a close, a timeout or a
//     malformed response leaves open whether the request was executed, or is still being executed;
//   - a response belongs to the request whose Attempt-Id it carries exactly once.
package attempt

import (
	"net/http"

	"example.org/elmspan/dataplane/balance"
)

// WriteProgress is how much of a request was written to its connection.
type WriteProgress int

// The write progress of an attempt.
const (
	NotWritten    WriteProgress = iota // no byte was written, so no server has received it
	PartlyWritten                      // the server may have received enough to start executing it
	FullyWritten
)

// ResponseOwner is the request to which a response belongs.
type ResponseOwner int

// The owners of a response.
const (
	OwnerUnknown ResponseOwner = iota // no Attempt-Id, or more than one
	OtherRequest                      // the Attempt-Id of another request
	ThisRequest
)

// OwnerOf returns the owner of a response that was received for the request with ID requestID.
// responseID is the Attempt-Id of the response, and count is how many Attempt-Ids it carries.
func OwnerOf(responseID string, count int, requestID string) ResponseOwner {
	switch {
	case responseID == "" || count != 1:
		return OwnerUnknown
	case responseID != requestID:
		return OtherRequest
	}
	return ThisRequest
}

// MaxStrayResponses is the maximum number of responses to other requests that are skipped on a
// connection before the response to the request itself.
const MaxStrayResponses = 2

// ShouldSkip reports whether to skip a response whose owner is not [ThisRequest] and to read the
// next one. count is the number of such responses on this connection, including this one. bounded
// reports whether the length of the response is known and small enough to read.
func ShouldSkip(o ResponseOwner, count int, bounded bool) bool {
	return o == OtherRequest && count <= MaxStrayResponses && bounded
}

// ResponseProgress is how much of the response to a request was received.
type ResponseProgress int

// The progress of a response.
const (
	// NoResponse: no header of the request's own response was received. The request timed out, the
	// connection was closed, or the response was malformed or belongs to another request.
	NoResponse ResponseProgress = iota
	// RequestAborted: the client's request body was cut off, so the server never received all of
	// it.
	RequestAborted
	// Truncated: the header was received, and the body ended early or was malformed.
	Truncated
	// Streaming: the header and the beginning of a long body were received. The body is forwarded
	// while it arrives.
	Streaming
	// Complete: the whole response was received.
	Complete
)

// Evidence is what is known of an attempt that has ended, or whose response is [Streaming].
type Evidence struct {
	Written        WriteProgress
	Response       ResponseProgress
	Status         int  // set if Response is Truncated, Streaming or Complete
	NotExecuted    bool // the server states that it did not execute the request
	Sealed         bool // the response has Server-Seal, no content encoding, and a detectable end
	Closes         bool // the connection is closed after the response
	HeadRequest    bool // the method is HEAD, so a later stray response could not be skipped
	StrayResponses int  // responses to other requests that were received before
	TrailingBytes  int  // bytes that were received after the response
}

// ClientResponse is the response that a client can get after an attempt.
type ClientResponse int

// The responses to a client.
const (
	NoClientResponse ClientResponse = iota // none yet: another attempt follows, or [Tracker.FinalStatus]
	ServerResponse                         // the server's response, unchanged
	BadGateway                             // 502 in place of a server error that cannot be forwarded
	ClientError                            // the error response to a fault in the client's own request
)

// Classification is the meaning of the outcome of an attempt.
type Classification struct {
	Result     balance.Result // for the server's load and health
	MayHaveRun bool           // the server may have executed the request, or may still be executing it
	Response   ClientResponse
}

// Classify returns the meaning of the outcome of an attempt.
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

// classifySuccess forwards a success only if the server sealed it and it was not truncated.
func classifySuccess(e Evidence) Classification {
	if e.Sealed && e.Response != Truncated {
		return Classification{balance.Success, true, ServerResponse}
	}
	return Classification{balance.Failure, true, NoClientResponse}
}

// classifyNotExecuted lets the request be sent to another server, except after status 400, which
// every server would return.
func classifyNotExecuted(e Evidence) Classification {
	if e.Status == http.StatusBadRequest && e.Response != Truncated {
		return Classification{balance.Success, false, ServerResponse}
	}
	return Classification{Result: balance.Rejected}
}

// classifyFailure classifies a response that is not a success and does not state whether the
// request was executed.
func classifyFailure(e Evidence) Classification {
	switch e.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Forwarded, these would state that the request was not executed, which the server did not.
		return Classification{balance.Failure, true, BadGateway}
	}
	// Forwarding a truncated failure would either make it look complete, or close the client's
	// connection and abort the other requests on it.
	response := ServerResponse
	if e.Response == Truncated {
		response = BadGateway
	}
	switch {
	case e.Status == http.StatusGatewayTimeout: // the deadline has passed, which is not the server's fault
		return Classification{balance.Cancelled, true, response}
	case e.Status >= 500:
		return Classification{balance.ServerError, true, response}
	case e.Response == Truncated:
		return Classification{balance.Failure, true, response}
	}
	return Classification{balance.Success, true, response}
}

// Reusable reports whether the connection may carry another request after the response is
// [Complete]. A server that has sent a stray response may send another one. A repeated response to
// a HEAD request could not be skipped: its header may announce a body, but none follows.
func (e Evidence) Reusable() bool {
	clean := !e.HeadRequest && e.StrayResponses == 0 && e.TrailingBytes == 0
	return e.Written == FullyWritten && e.Response == Complete && !e.Closes && clean
}

// Rules are the decisions of this package as used by a gateway. Tests replace them to show that a
// fault in each of them is detected.
type Rules struct {
	OwnerOf  func(responseID string, count int, requestID string) ResponseOwner
	Classify func(Evidence) Classification
	Reusable func(Evidence) bool
}

// DefaultRules returns the decisions of this package.
func DefaultRules() Rules { return Rules{OwnerOf, Classify, Evidence.Reusable} }
