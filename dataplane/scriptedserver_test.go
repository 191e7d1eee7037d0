package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"

	"example.org/elmspan/dataplane/h1"
)

// scriptedRequest is a request that a scripted server has received.
type scriptedRequest struct {
	net.Conn
	in   *bufio.Reader
	head *h1.Head
	id   string
	prev string // id of the previous request on the connection, or an unknown id
}

// reset resets the connection. Like waitForClose, it returns false, so that it can end a behavior's do function.
func (a *scriptedRequest) reset() bool {
	resetOnClose(a.Conn)
	return false
}

func (a *scriptedRequest) send(parts ...string) { write(a, strings.Join(parts, "")) }

// waitForClose waits until the gateway closes the connection.
func (a *scriptedRequest) waitForClose() bool {
	_, _ = io.Copy(io.Discard, a.in) // returns when the connection ends, for whatever reason
	return false
}

// responseHead returns the head of a response, with fields as complete lines.
func responseHead(status, id, fields string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + fields + "\r\n"
}

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func sealField(id string) string { return "Server-Seal: seal-" + id + "\r\n" }

func expectedBody(id string) string { return "own:" + id }

func longResponseBody(id string) string {
	return strings.Repeat(id+"|", 2*maxHeldResponse/(len(id)+1))
}

// bodyUnlessHead returns a body, or an empty one if the request is a HEAD.
func (a *scriptedRequest) bodyUnlessHead(s string) string {
	if a.head.Method == "HEAD" {
		return ""
	}
	return s
}

func (a *scriptedRequest) success() string {
	b := expectedBody(a.id)
	return responseHead("200 OK", a.id, sealField(a.id)+lengthField(len(b))) + a.bodyUnlessHead(b)
}

func (a *scriptedRequest) failure(status, fields string) string {
	b := "fail:" + a.id
	return responseHead(status, a.id, "Failed: 1\r\n"+fields+lengthField(len(b))) + a.bodyUnlessHead(b)
}

// foreignBody is the body of responses that belong to another request or to none.
const foreignBody = "SOMEONE-ELSES"

func foreignResponse(id string) string {
	return responseHead("200 OK", id, sealField(id)+lengthField(len(foreignBody))) + foreignBody
}

var responseWithoutID = "HTTP/1.1 200 OK\r\nServer-Seal: x\r\n" + lengthField(len(foreignBody)) + "\r\n" + foreignBody

// behavior is what a server does with a request. do reports whether the server keeps the connection open.
type behavior struct {
	name       string
	runs       bool // the server has started to execute the request
	beforeBody bool // acts before it has read the body
	truncates  bool // the response may be visibly truncated
	racesNext  bool // what it does after the response may race with the next request
	do         func(a *scriptedRequest) bool
}

var normalResponse = behavior{name: "answers", runs: true, do: func(a *scriptedRequest) bool {
	a.send(a.success())
	return true
}}

// behaviors are all behaviors of servers.
var behaviors = []behavior{
	normalResponse,
	{name: "resets before the body", beforeBody: true, do: (*scriptedRequest).reset},
	{name: "closes before the body", beforeBody: true, do: func(*scriptedRequest) bool { return false }},
	{name: "rejects before the body", beforeBody: true, do: func(a *scriptedRequest) bool {
		a.send(a.failure("503 x", "Not-Executed: full\r\nConnection: close\r\n"))
		return false
	}},
	{name: "resets", runs: true, do: (*scriptedRequest).reset},
	{name: "closes", runs: true, do: func(*scriptedRequest) bool { return false }},
	{name: "is silent", runs: true, do: (*scriptedRequest).waitForClose},
	{name: "sends a malformed response", runs: true, do: func(a *scriptedRequest) bool {
		a.send(foreignBody, "\r\n\r\n")
		return false
	}},
	{name: "part of a head, closes", runs: true, do: func(a *scriptedRequest) bool {
		a.send(a.success()[:30])
		return false
	}},
	{name: "part of a head, silent", runs: true, do: func(a *scriptedRequest) bool {
		a.send(a.success()[:30])
		return a.waitForClose()
	}},
	{name: "part of a body, closes", runs: true, do: func(a *scriptedRequest) bool {
		w := a.success()
		a.send(w[:len(w)-3])
		return false
	}},
	{name: "part of a body, silent", runs: true, do: func(a *scriptedRequest) bool {
		w := a.success()
		a.send(w[:len(w)-3])
		return a.waitForClose()
	}},
	{name: "in chunks", runs: true, do: func(a *scriptedRequest) bool {
		b := expectedBody(a.id)
		head := responseHead("200 OK", a.id, sealField(a.id)+"Transfer-Encoding: chunked\r\n")
		a.send(head, a.bodyUnlessHead(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)))
		return true
	}},
	{name: "in chunks, no last chunk", runs: true, truncates: true, do: func(a *scriptedRequest) bool {
		b := expectedBody(a.id)
		head := responseHead("200 OK", a.id, sealField(a.id)+"Transfer-Encoding: chunked\r\n")
		a.send(head, fmt.Sprintf("%x\r\n%s\r\n", len(b), b))
		return false
	}},
	{name: "long", runs: true, do: func(a *scriptedRequest) bool {
		b := longResponseBody(a.id)
		a.send(responseHead("200 OK", a.id, sealField(a.id)+lengthField(len(b))), a.bodyUnlessHead(b))
		return true
	}},
	{name: "long, resets", runs: true, truncates: true, do: func(a *scriptedRequest) bool {
		b := longResponseBody(a.id)
		a.send(responseHead("200 OK", a.id, sealField(a.id)+lengthField(len(b))), a.bodyUnlessHead(b[:len(b)-9]))
		return a.reset()
	}},
	{name: "a failure, truncated", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("500 x", "")
		a.send(w[:len(w)-3])
		return false
	}},
	{name: "not found, truncated", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("404 x", "")
		a.send(w[:len(w)-3])
		return false
	}},
	{name: "a long failure", runs: true, do: func(a *scriptedRequest) bool {
		b := longResponseBody(a.id)
		a.send(responseHead("500 x", a.id, "Failed: 1\r\n"+lengthField(len(b))), a.bodyUnlessHead(b))
		return true
	}},
	{name: "a long failure, without a length", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseHead("500 x", a.id, "Failed: 1\r\n"), a.bodyUnlessHead(longResponseBody(a.id)))
		return false
	}},
	{name: "a long failure, without a length, resets", runs: true, truncates: true, do: func(a *scriptedRequest) bool {
		b := longResponseBody(a.id)
		a.send(responseHead("500 x", a.id, "Failed: 1\r\n"), a.bodyUnlessHead(b[:len(b)-9]))
		return a.reset()
	}},
	{name: "500", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("500 x", "")); return true }},
	{name: "504", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("504 x", "")); return true }},
	{name: "404", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("404 x", "")); return true }},
	{name: "204", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseHead("204 x", a.id, sealField(a.id)))
		return true
	}},
	{name: "bare 503", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("503 x", "")); return true }},
	{name: "bare 429", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("429 x", "")); return true }},
	{name: "bare 408", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("408 x", "")); return true }},
	{name: "bare 400", runs: true, do: func(a *scriptedRequest) bool { a.send(a.failure("400 x", "")); return true }},
	{name: "421", do: func(a *scriptedRequest) bool { a.send(a.failure("421 x", "")); return true }},
	{name: "503, not executed", do: func(a *scriptedRequest) bool {
		a.send(a.failure("503 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "429, not executed", do: func(a *scriptedRequest) bool {
		a.send(a.failure("429 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "500, not executed", do: func(a *scriptedRequest) bool {
		a.send(a.failure("500 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "400, not executed", do: func(a *scriptedRequest) bool {
		a.send(a.failure("400 x", "Not-Executed: bad\r\n"))
		return true
	}},
	{name: "503, not executed, truncated", do: func(a *scriptedRequest) bool {
		w := a.failure("503 x", "Not-Executed: full\r\n")
		a.send(w[:len(w)-3])
		return false
	}},
	{name: "no seal", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseHead("200 OK", a.id, lengthField(2)), a.bodyUnlessHead("no"))
		return true
	}},
	{name: "without a length", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseHead("200 OK", a.id, sealField(a.id)), a.bodyUnlessHead("no end"))
		return false
	}},
	{name: "interim response first", runs: true, do: func(a *scriptedRequest) bool {
		a.send("HTTP/1.1 103 x\r\nX: 1\r\n\r\n", a.success())
		return true
	}},
	{name: "sends Connection: close", runs: true, do: func(a *scriptedRequest) bool {
		a.send(strings.Replace(a.success(), "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	}},
	{name: "foreign response before", runs: true, do: func(a *scriptedRequest) bool {
		a.send(foreignResponse(a.prev), a.success())
		return true
	}},
	{name: "foreign response instead", runs: true, do: func(a *scriptedRequest) bool {
		a.send(foreignResponse(a.prev))
		return false
	}},
	{name: "response without an id before", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseWithoutID, a.success())
		return true
	}},
	{name: "response without an id instead", runs: true, do: func(a *scriptedRequest) bool {
		a.send(responseWithoutID)
		return true
	}},
	{name: "with two ids", runs: true, do: func(a *scriptedRequest) bool {
		a.send(strings.Replace(a.success(), "\r\n", "\r\nAttempt-Id: x\r\n", 1))
		return true
	}},
	{name: "twice", runs: true, do: func(a *scriptedRequest) bool { a.send(a.success(), a.success()); return true }},
	{name: "response without an id after", runs: true, do: func(a *scriptedRequest) bool {
		a.send(a.success(), responseWithoutID)
		return true
	}},
	{name: "part of a foreign response after", runs: true, do: func(a *scriptedRequest) bool {
		a.send(a.success(), foreignResponse("x")[:40])
		return true
	}},
	{name: "twice, the second late", runs: true, racesNext: true, do: func(a *scriptedRequest) bool {
		a.send(a.success())
		a.send(a.success())
		return true
	}},
	{name: "closes after its response", runs: true, racesNext: true, do: func(a *scriptedRequest) bool {
		a.send(a.success())
		return false
	}},
	{name: "resets after its response", runs: true, racesNext: true, do: func(a *scriptedRequest) bool {
		a.send(a.success())
		return a.reset()
	}},
}

// script says how servers treat one request, and counts how often it arrived and ran.
type script struct {
	behaviors [2]*behavior // of the first two servers that it reaches; the third responds normally
	arrivals  atomic.Int32
	runs      atomic.Int32
}
