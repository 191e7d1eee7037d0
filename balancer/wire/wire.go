// Package wire encodes and decodes the simulator's line protocol. It translates between lines
// of text and the types of package balancer; all decisions are made there.
//
// The simulator sends batches of messages to numbered instances, each of which is a Limiter. A
// batch begins with SYNC and the time and ends with COMMIT. The reply to a batch consists of
// the actions of the instances and ends with YIELD.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"example.org/elmspan/balancer"
)

// maxLineBytes bounds the length of an input line.
const maxLineBytes = 64 << 20

// maxLists is the number of server lists that the protocol can address.
const maxLists = 16

// MessageKind tells the host how to handle a [Message].
type MessageKind int

// The kinds of message.
const (
	Event  MessageKind = iota // an event for an existing instance
	Begin                     // creates an instance
	Retire                    // deletes an instance
)

// Message is one line of a batch that is addressed to an instance.
type Message struct {
	Kind     MessageKind
	Instance int
	Event    balancer.Event // nil if the limiter ignores the message
	Seed     uint64
	Settings balancer.Settings
	Err      error // why the settings are invalid, or nil
}

// Reader decodes batches of messages.
type Reader struct {
	in    *bufio.Scanner
	line  int                             // number of the current line, from 1
	lists [maxLists][]balancer.ServerInfo // by list number; ENDPOINTS messages refer to them
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 1<<16), maxLineBytes)
	return &Reader{in: s}
}

// fields parses the space-separated values of one line in order and keeps the first error.
type fields struct {
	rest string
	err  error
}

var errTooFewValues = errors.New("too few values")

func (f *fields) token() string {
	if f.rest == "" {
		f.fail(errTooFewValues)
		return ""
	}
	w, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	if w == "" {
		f.fail(errors.New("empty value"))
	}
	return w
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *fields) number() float64 {
	w := f.token()
	if w == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("%q is not a number", w))
	}
	return v
}

func (f *fields) integer() int {
	w := f.token()
	if w == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.Atoi(w)
	if err != nil {
		f.fail(fmt.Errorf("%q is not an integer", w))
	}
	return v
}

func (f *fields) id() uint64 {
	w := f.token()
	if w == "-" || f.err != nil {
		return 0
	}
	v, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not an id", w))
	}
	return v
}

func (f *fields) flag() bool {
	switch w := f.token(); w {
	case "1":
		return true
	case "0", "-", "":
	default:
		f.fail(fmt.Errorf("%q is not a bool", w))
	}
	return false
}

// parseEnum reads a value that must be one of the names.
func parseEnum[T any](f *fields, names map[string]T) (v T) {
	w := f.token()
	if f.err != nil {
		return v
	}
	v, ok := names[w]
	if !ok {
		f.fail(fmt.Errorf("unknown value %q", w))
	}
	return v
}

// load parses a load report: name:value pairs separated by commas, or "-". Unknown names are
// skipped.
func (f *fields) load() balancer.Load {
	l := balancer.Load{Busy: -1, Pending: -1, ServiceMs: -1}
	w := f.token()
	if w == "-" || f.err != nil {
		return l
	}
	for _, pair := range strings.Split(w, ",") {
		name, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			f.fail(fmt.Errorf("malformed load report entry %q", pair))
			return l
		}
		switch name {
		case "busy_reqs":
			l.Busy = v
		case "pending":
			l.Pending = v
		case "svc_ms":
			l.ServiceMs = v
		}
	}
	return l
}

var results = map[string]balancer.Result{
	"pass": balancer.Success, "fault": balancer.ServerError, "no_room": balancer.Rejected,
	"too_slow": balancer.TimedOut, "no_route": balancer.ConnectFailed, "cut": balancer.ConnectionLost,
	"undone": balancer.Canceled, "stale_send": balancer.NotSent,
}

var scopes = map[string]balancer.Scope{
	"Partial": balancer.Partial, "Complete": balancer.Complete,
	"Persisted": balancer.Persisted, "Error": balancer.Failed,
}

var phases = map[string]balancer.Phase{
	"up": balancer.Up, "draining": balancer.Draining, "removed": balancer.Removed,
}

// Batch reads the next batch, from SYNC to COMMIT. It returns io.EOF at the end of the input;
// any other error contains the line number.
func (r *Reader) Batch() (now float64, messages []Message, err error) {
	f, name, err := r.next()
	if err != nil {
		return 0, nil, err
	}
	if name != "SYNC" {
		return 0, nil, r.lineError(fmt.Errorf("got %q, expected SYNC", name))
	}
	if now = f.number(); f.err != nil {
		return 0, nil, r.lineError(f.err)
	}
	for {
		f, name, err = r.next()
		if errors.Is(err, io.EOF) {
			return 0, nil, r.lineError(errors.New("unexpected end of input inside a batch"))
		}
		if err != nil {
			return 0, nil, err
		}
		switch name {
		case "COMMIT":
			return now, messages, nil
		case "LIST":
			if err := r.list(f); err != nil {
				return 0, nil, err
			}
		default:
			m, err := r.message(name, f)
			if err != nil {
				return 0, nil, r.lineError(fmt.Errorf("%s: %w", name, err))
			}
			messages = append(messages, m)
		}
	}
}

// next reads a line and returns its first word and the values after it.
func (r *Reader) next() (*fields, string, error) {
	if !r.in.Scan() {
		if err := r.in.Err(); err != nil {
			return nil, "", fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return nil, "", io.EOF
	}
	r.line++
	f := &fields{rest: r.in.Text()}
	name, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return f, name, nil
}

// lineError adds the line number to an error.
func (r *Reader) lineError(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// list reads a server list: the LIST line, whose fields are passed, and the ROW lines after it.
func (r *Reader) list(f *fields) error {
	index, n := f.integer(), f.integer()
	if f.err == nil && (index < 0 || index >= maxLists || n < 0) {
		f.fail(errors.New("list number or row count out of range"))
	}
	if f.err != nil {
		return r.lineError(fmt.Errorf("LIST: %w", f.err))
	}
	var rows []balancer.ServerInfo
	for range n {
		f, name, err := r.next()
		if errors.Is(err, io.EOF) || (err == nil && name != "ROW") {
			return r.lineError(fmt.Errorf("LIST: got %d of %d rows", len(rows), n))
		}
		if err != nil {
			return err
		}
		s := balancer.ServerInfo{Kind: f.integer(), ReadyAt: f.number(), Zone: f.integer()}
		s.Phase, s.ID = parseEnum(f, phases), f.id()
		s.Cell, s.Weight = f.integer(), f.number()
		if f.err != nil {
			return r.lineError(fmt.Errorf("ROW: %w", f.err))
		}
		rows = append(rows, s)
	}
	r.lists[index] = rows
	return nil
}

// message decodes a line that is addressed to an instance.
func (r *Reader) message(name string, f *fields) (Message, error) {
	m := Message{Instance: f.integer()}
	switch name {
	case "BEGIN":
		m.Kind, m.Seed = Begin, f.seed()
		if f.err == nil {
			m.Settings, m.Err = parseSettings(f.rest)
		}
	case "RETIRE":
		m.Kind = Retire
	case "ADDED": // result of a shared counter, which the limiter does not use
	default:
		var err error
		if m.Event, err = r.event(name, f); err != nil {
			return m, err
		}
	}
	return m, f.err
}

// event decodes the values of an event.
func (r *Reader) event(name string, f *fields) (balancer.Event, error) {
	switch name {
	case "ENDPOINTS":
		return r.endpoints(f)
	case "SUBMIT":
		return f.submit(), nil
	case "FIRST":
		return balancer.FirstByte{ID: f.token(), Attempt: f.integer()}, nil
	case "REPORT_BACK":
		return f.outcome(), nil
	case "ABORTED":
		return balancer.ClientDisconnected{ID: f.token()}, nil
	case "ALARM":
		return balancer.TimerFired{Name: f.token()}, nil
	case "HEALTH_RESULT":
		e := balancer.ProbeResult{LatencyMs: f.number(), Server: f.id(), Result: parseEnum(f, results)}
		e.Load = f.load()
		return e, nil
	case "FROM_PEER":
		return f.peerMessage()
	}
	return nil, errors.New("unknown message type")
}

func (r *Reader) endpoints(f *fields) (balancer.Event, error) {
	e := balancer.Endpoints{Scope: parseEnum(f, scopes)}
	f.token() // the revision: not needed, as events arrive in order and without gaps
	if index := f.integer(); f.err == nil && e.Scope != balancer.Failed {
		if index < 0 || index >= maxLists {
			return nil, errors.New("list number out of range")
		}
		e.Servers = r.lists[index]
	}
	return e, nil
}

func (f *fields) submit() balancer.Submit {
	e := balancer.Submit{ID: f.token(), TimeoutMs: f.number(), Units: f.number(), Class: f.integer(), Retry: f.flag()}
	e.Plan = f.integer()
	f.flag() // write: not needed, as the class has the idempotency
	e.LimiterCount, e.FirstLimiter, e.Customer = int(f.number()), int(f.number()), f.id()
	return e
}

func (f *fields) outcome() balancer.Outcome {
	e := balancer.Outcome{ID: f.token(), Attempt: f.integer(), Server: f.id(), Result: parseEnum(f, results)}
	e.LatencyMs, e.Final = f.number(), f.flag()
	f.number() // quota_use: not needed, as the limiters account quota among themselves
	e.ActualUnits, e.Load = f.number(), f.load()
	return e
}

func (f *fields) peerMessage() (balancer.Event, error) {
	e := balancer.PeerMessage{From: f.integer()}
	w := f.token()
	if w == "-" || f.err != nil {
		return e, nil
	}
	data, err := hex.DecodeString(w)
	if err != nil {
		return nil, fmt.Errorf("malformed hex data: %w", err)
	}
	e.Data = data
	return e, nil
}

// seed parses a 64-bit integer, signed or unsigned.
func (f *fields) seed() uint64 {
	w := f.token()
	if v, err := strconv.ParseUint(w, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%q is not a 64-bit integer", w))
	}
	return uint64(v)
}

// Writer encodes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<16)} }

// Yield ends a reply and flushes it. It returns the first error from writing the reply.
func (w *Writer) Yield() error {
	w.write("YIELD\n")
	return w.out.Flush()
}

// Fault reports that an instance failed.
func (w *Writer) Fault(instance int, text string) { w.line("FAULT", instance, oneLine(text)) }

// Action encodes an action of an instance.
func (w *Writer) Action(instance int, a balancer.Action) {
	switch a := a.(type) {
	case balancer.StartAttempt:
		w.line("PASS_ON", instance, a.ID, formatNumber(a.TimeoutMs), strconv.FormatUint(a.Server, 10))
	case balancer.Reject:
		w.line("OVERLOAD_REPLY", instance, a.ID, formatNumber(a.RetryAfterMs))
	case balancer.Fail:
		w.line("ERROR", instance, a.ID)
	case balancer.CancelAttempt:
		w.line("ABORT_ATTEMPT", instance, a.ID, strconv.Itoa(a.Attempt))
	case balancer.SetTimer:
		w.line("TIMER", instance, formatNumber(a.At), a.Name)
	case balancer.ProbeServer:
		w.line("INSPECT", instance, strconv.FormatUint(a.Server, 10))
	case balancer.SendPeer:
		bytes := "-"
		if len(a.Data) > 0 {
			bytes = hex.EncodeToString(a.Data)
		}
		w.line("SHARE", instance, strconv.Itoa(a.To), bytes)
	case balancer.Log:
		w.line("DEBUG", instance, oneLine(a.Line))
	case balancer.WatchEndpoints:
		w.line("LISTEN", instance, "1")
	case balancer.FetchEndpoints:
		w.line("QUERY_ALL", instance)
	}
}

func (w *Writer) line(name string, instance int, values ...string) {
	w.write(name)
	w.write(" ")
	w.write(strconv.Itoa(instance))
	for _, v := range values {
		w.write(" ")
		w.write(v)
	}
	w.write("\n")
}

// write buffers text. The buffer keeps the first error, which Yield returns.
func (w *Writer) write(text string) { _, _ = w.out.WriteString(text) }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }
