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

// scriptedRequest is a request as a scripted server has it.
type scriptedRequest struct {
	net.Conn
	in   *bufio.Reader
	head *h1.Head
	id   string
	prev string // id of the request before on the connection, or an unknown one
}

func (a *scriptedRequest) reset() bool {
	resetOnClose(a.Conn)
	return false
}

func (a *scriptedRequest) say(parts ...string) { write(a, strings.Join(parts, "")) }

// wait waits until the gateway gives the connection up.
func (a *scriptedRequest) wait() bool {
	_, _ = io.Copy(io.Discard, a.in) // it ends with the connection, in whatever way
	return false
}

func answerHead(status, id, fields string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + fields + "\r\n"
}

func sized(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func sealed(id string) string { return "Server-Seal: seal-" + id + "\r\n" }

func ownBody(id string) string { return "own:" + id }

func longBody(id string) string {
	return strings.Repeat(id+"|", 2*maxHeldResponse/(len(id)+1))
}

// body is a body, unless the request is one that has none in its answer.
func (a *scriptedRequest) body(s string) string {
	if a.head.Method == "HEAD" {
		return ""
	}
	return s
}

func (a *scriptedRequest) whole() string {
	b := ownBody(a.id)
	return answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))) + a.body(b)
}

func (a *scriptedRequest) failure(status, fields string) string {
	b := "fail:" + a.id
	return answerHead(status, a.id, "Failed: 1\r\n"+fields+sized(len(b))) + a.body(b)
}

const secret = "SOMEONE-ELSES"

func responseTo(id string) string {
	return answerHead("200 OK", id, sealed(id)+sized(len(secret))) + secret
}

var nobodysAnswer = "HTTP/1.1 200 OK\r\nServer-Seal: x\r\n" + sized(len(secret)) + "\r\n" + secret

// move is what a server does with a request. It returns whether the connection goes on.
type move struct {
	name    string
	runs    bool // it has begun work on it
	early   bool // before it has read the body
	breaks  bool // an answer may end before its end, visibly
	crosses bool // what it sends later may meet the next request on its way
	do      func(a *scriptedRequest) bool
}

var fine = move{name: "answers", runs: true, do: func(a *scriptedRequest) bool { a.say(a.whole()); return true }}

// moves are all that a server can do.
var moves = []move{
	fine,
	{name: "resets before the body", early: true, do: (*scriptedRequest).reset},
	{name: "closes before the body", early: true, do: func(*scriptedRequest) bool { return false }},
	{name: "refuses before the body", early: true, do: func(a *scriptedRequest) bool {
		a.say(a.failure("503 x", "Not-Executed: full\r\nConnection: close\r\n"))
		return false
	}},
	{name: "resets", runs: true, do: (*scriptedRequest).reset},
	{name: "closes", runs: true, do: func(*scriptedRequest) bool { return false }},
	{name: "is silent", runs: true, do: (*scriptedRequest).wait},
	{name: "says nonsense", runs: true, do: func(a *scriptedRequest) bool { a.say(secret, "\r\n\r\n"); return false }},
	{name: "part of a head, closes", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole()[:30])
		return false
	}},
	{name: "part of a head, silent", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole()[:30])
		return a.wait()
	}},
	{name: "part of a body, closes", runs: true, do: func(a *scriptedRequest) bool {
		w := a.whole()
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "part of a body, silent", runs: true, do: func(a *scriptedRequest) bool {
		w := a.whole()
		a.say(w[:len(w)-3])
		return a.wait()
	}},
	{name: "in chunks", runs: true, do: func(a *scriptedRequest) bool {
		b := ownBody(a.id)
		head := answerHead("200 OK", a.id, sealed(a.id)+"Transfer-Encoding: chunked\r\n")
		a.say(head, a.body(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)))
		return true
	}},
	{name: "in chunks, no last one", runs: true, breaks: true, do: func(a *scriptedRequest) bool {
		b := ownBody(a.id)
		head := answerHead("200 OK", a.id, sealed(a.id)+"Transfer-Encoding: chunked\r\n")
		a.say(head, fmt.Sprintf("%x\r\n%s\r\n", len(b), b))
		return false
	}},
	{name: "long", runs: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))), a.body(b))
		return true
	}},
	{name: "long, resets", runs: true, breaks: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))), a.body(b[:len(b)-9]))
		return a.reset()
	}},
	{name: "a failure, cut short", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("500 x", "")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "not found, cut short", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("404 x", "")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "a long failure", runs: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("500 x", a.id, "Failed: 1\r\n"+sized(len(b))), a.body(b))
		return true
	}},
	{name: "500", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("500 x", "")); return true }},
	{name: "504", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("504 x", "")); return true }},
	{name: "404", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("404 x", "")); return true }},
	{name: "204", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("204 x", a.id, sealed(a.id)))
		return true
	}},
	{name: "bare 503", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("503 x", "")); return true }},
	{name: "bare 429", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("429 x", "")); return true }},
	{name: "bare 408", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("408 x", "")); return true }},
	{name: "bare 400", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("400 x", "")); return true }},
	{name: "421", do: func(a *scriptedRequest) bool { a.say(a.failure("421 x", "")); return true }},
	{name: "503, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("503 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "429, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("429 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "500, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("500 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "400, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("400 x", "Not-Executed: bad\r\n"))
		return true
	}},
	{name: "503, not executed, cut short", do: func(a *scriptedRequest) bool {
		w := a.failure("503 x", "Not-Executed: full\r\n")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "no seal", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("200 OK", a.id, sized(2)), a.body("no"))
		return true
	}},
	{name: "without an end", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("200 OK", a.id, sealed(a.id)), a.body("no end"))
		return false
	}},
	{name: "announces it", runs: true, do: func(a *scriptedRequest) bool {
		a.say("HTTP/1.1 103 x\r\nX: 1\r\n\r\n", a.whole())
		return true
	}},
	{name: "says that it closes", runs: true, do: func(a *scriptedRequest) bool {
		a.say(strings.Replace(a.whole(), "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	}},
	{name: "another's before", runs: true, do: func(a *scriptedRequest) bool {
		a.say(responseTo(a.prev), a.whole())
		return true
	}},
	{name: "another's instead", runs: true, do: func(a *scriptedRequest) bool {
		a.say(responseTo(a.prev))
		return false
	}},
	{name: "nobody's before", runs: true, do: func(a *scriptedRequest) bool {
		a.say(nobodysAnswer, a.whole())
		return true
	}},
	{name: "nobody's instead", runs: true, do: func(a *scriptedRequest) bool { a.say(nobodysAnswer); return true }},
	{name: "with two ids", runs: true, do: func(a *scriptedRequest) bool {
		a.say(strings.Replace(a.whole(), "\r\n", "\r\nAttempt-Id: x\r\n", 1))
		return true
	}},
	{name: "twice", runs: true, do: func(a *scriptedRequest) bool { a.say(a.whole(), a.whole()); return true }},
	{name: "nobody's behind", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole(), nobodysAnswer)
		return true
	}},
	{name: "part of another's behind", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole(), responseTo("x")[:40])
		return true
	}},
	{name: "twice, the second late", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		a.say(a.whole())
		return true
	}},
	{name: "closes behind its answer", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		return false
	}},
	{name: "resets behind its answer", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		return a.reset()
	}},
}

// script is what becomes of one request, and the record of what did.
type script struct {
	moves    [2]*move // of the first servers that it reaches; the third answers
	arrivals atomic.Int32
	runs     atomic.Int32
}
